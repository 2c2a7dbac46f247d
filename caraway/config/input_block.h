#pragma once
// A block on requests whose input crashes the targets that serve it.

#include <cstdint>

#include "caraway/base/time.h"
#include "caraway/poison/input_part.h"

namespace caraway {

using InputBlockId = NumberId<struct InputBlockTag>;

struct InputBlock
{
  InputBlockId mId; // derived from mParts and mWorkspace
  // A request is blocked if it has all of these parts. Sorted, not empty.
  InputParts mParts;
  // Blocked only for this workspace. Empty: for all, since the crashes were
  // caused by requests of several workspaces.
  WorkspaceId mWorkspace;
  uint32_t mCrashes = 0; // that led to the block
  MonoTime mSince;       // control's logical time
  Duration mLength;      // of the block, and of the probation after it
  // The block's time has ended: requests pass, and the next crash under them
  // blocks them again, for twice as long.
  bool mProbation = false;

  bool operator==(const InputBlock&) const = default;
};

// Limit of blocks in the configuration.
constexpr size_t kMaxInputBlocks = 512;

InputBlockId
InputBlockIdOf(const InputParts& aParts, const WorkspaceId& aWorkspace);

// In hexadecimal, as operators name it.
std::string
FormatInputBlockId(InputBlockId aBlock);

// True if the block's parts and workspace cover the request, also while it is
// on probation. aParts need not be sorted.
bool
Covers(const InputBlock& aBlock,
       const WorkspaceId& aWorkspace,
       const InputParts& aParts);

} // namespace caraway
