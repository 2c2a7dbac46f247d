#pragma once
// What applying a ledger command asks the role to do. Effects are
// deterministic: every replica computes the same ones; only the leader sends
// replies.

#include <string>
#include <variant>
#include <vector>

#include "caraway/wire/batch_messages.h"
#include "caraway/wire/call_messages.h"

namespace caraway {

// Write into a blob file; offsets are part of the ledger state, so a replay
// after a crash rewrites the same bytes.
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

// Items given to a node by an applied lease.
struct ItemsLeasedEffect
{
  InstanceId mNode;
  Epoch mNodeEpoch;
  uint64_t mSequence = 0;
  JobId mJob;
  FencingToken mToken;
  std::vector<uint32_t> mItems; // indexes
};

// Tell nodes to stop the items of this job.
struct JobRevokedEffect
{
  JobId mJob;
  std::vector<InstanceId> mNodes; // nodes that hold leases of it
};

using LedgerEffect = std::variant<BlobWriteEffect,
                                  BlobRemoveEffect,
                                  ItemsLeasedEffect,
                                  JobRevokedEffect>;

} // namespace caraway
