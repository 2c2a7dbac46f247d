// Even shares of the rate.

#include "caraway/admission/fallback_share.h"

#include <algorithm>

namespace caraway {

namespace {

// A share holds no more than this time of its rate, so that a workspace whose
// burst was just spent under grants does not get it again.
constexpr double kHeldSeconds = 1;

} // namespace

bool
TakeShare(FallbackShares& aShares,
          MonoTime aNow,
          const Contract& aContract,
          uint32_t aEntries)
{
  const double rate = aContract.mRate / std::max<uint32_t>(1, aEntries);
  const double most = std::max(1.0, rate * kHeldSeconds);
  auto [place, fresh] = aShares.mBuckets.try_emplace(aContract.mWorkspace);
  ShareBucket& bucket = place->second;
  if (fresh) {
    bucket.mFilledAt = aNow;
  }
  bucket.mTokens =
    std::min(most, bucket.mTokens + rate * (aNow - bucket.mFilledAt).Seconds());
  bucket.mFilledAt = aNow;
  if (bucket.mTokens < 1) {
    return false;
  }
  --bucket.mTokens;
  return true;
}

} // namespace caraway
