// Baseline admission policies.

#include "caraway/admission/policies.h"

#include <algorithm>

#include <xxhash.h>

namespace caraway {

bool
TakeFromBucket(RateBucket& aBucket,
               MonoTime aNow,
               const Contract& aContract,
               double aPart)
{
  const Duration passed = aNow - aBucket.mRefilledAt;
  aBucket.mRefilledAt = aNow;
  aBucket.mLevel =
    std::min(aBucket.mLevel + aContract.mRate * aPart * passed.Seconds(),
             std::max(1.0, aContract.mBurst * aPart));
  if (aBucket.mLevel < 1) {
    return false;
  }
  --aBucket.mLevel;
  return true;
}

size_t
OwnerOf(const WorkspaceId& aWorkspace, const std::vector<InstanceId>& aEntries)
{
  size_t owner = 0;
  uint64_t best = 0;
  for (size_t entry = 0; entry < aEntries.size(); ++entry) {
    const std::string& name = aEntries[entry].mValue;
    const uint64_t seed = XXH3_64bits(name.data(), name.size());
    const uint64_t score = XXH3_64bits_withSeed(
      aWorkspace.mValue.data(), aWorkspace.mValue.size(), seed);
    if (entry == 0 || score > best) {
      owner = entry;
      best = score;
    }
  }
  return owner;
}

} // namespace caraway
