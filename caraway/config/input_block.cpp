// Ids of input blocks, and which requests they cover.

#include "caraway/config/input_block.h"

#include <algorithm>

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace caraway {

InputBlockId
InputBlockIdOf(const InputParts& aParts, const WorkspaceId& aWorkspace)
{
  uint64_t hash = XXH64(aWorkspace.mValue.data(), aWorkspace.mValue.size(), 0);
  for (const InputPartId& part : aParts) {
    hash = XXH64(&part.mValue, sizeof(part.mValue), hash);
  }
  return InputBlockId(hash);
}

std::string
FormatInputBlockId(InputBlockId aBlock)
{
  return absl::StrCat(absl::Hex(aBlock.mValue, absl::kZeroPad16));
}

bool
Covers(const InputBlock& aBlock,
       const WorkspaceId& aWorkspace,
       const InputParts& aParts)
{
  return (aBlock.mWorkspace.Empty() || aBlock.mWorkspace == aWorkspace) &&
         std::all_of(aBlock.mParts.begin(),
                     aBlock.mParts.end(),
                     [&](const InputPartId& aPart) {
                       return std::find(aParts.begin(), aParts.end(), aPart) !=
                              aParts.end();
                     });
}

} // namespace caraway
