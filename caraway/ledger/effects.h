#pragma once
// The actions that the control process carries out after it applied a ledger
// command. Effects are deterministic: every replica computes the same ones, but
// only the leader sends replies.

#include <string>
#include <variant>
#include <vector>

#include "caraway/wire/batch_messages.h"
#include "caraway/wire/call_messages.h"

namespace caraway {

// Write to a blob file. Offsets derive from the ledger state, so a replay after
// a crash writes the same bytes again.
struct BlobWriteEffect
{
  std::string mName;
  uint64_t mOffset = 0;
  std::string mBytes;
};

struct BlobRemoveEffect
{
  std::string mName;
};

// Items that an applied command leased to a node.
struct ItemsLeasedEffect
{
  InstanceId mNode;
  Epoch mNodeEpoch;
  uint64_t mSequence = 0;
  JobId mJob;
  FencingToken mToken;
  std::vector<uint32_t> mItems; // line numbers
};

// Tell nodes to stop running items of a job that ended.
struct JobRevokedEffect
{
  JobId mJob;
  std::vector<InstanceId> mNodes; // those with leases of the job
};

using LedgerEffect = std::variant<BlobWriteEffect,
                                  BlobRemoveEffect,
                                  ItemsLeasedEffect,
                                  JobRevokedEffect>;

} // namespace caraway
