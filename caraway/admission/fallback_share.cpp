// Equal shares of the rate for entries that cannot reach control.

#include "caraway/admission/fallback_share.h"

#include <algorithm>

namespace caraway {

namespace {

// A share accumulates at most this many seconds of its rate, so that a
// workspace whose burst was just spent under grants does not get it again.
constexpr double kMaxAccruedSeconds = 1;

} // namespace

std::optional<Duration>
ReserveShare(FallbackShares& aShares,
             MonoTime aNow,
             const Contract& aContract,
             uint32_t aEntries,
             Duration aMaxWait)
{
  const double rate = aContract.mRate / std::max<uint32_t>(1, aEntries);
  if (rate <= 0) {
    return std::nullopt;
  }
  const double capacity = std::max(1.0, rate * kMaxAccruedSeconds);
  auto [place, fresh] = aShares.mBuckets.try_emplace(aContract.mWorkspace);
  ShareBucket& bucket = place->second;
  if (fresh) {
    bucket.mFilledAt = aNow;
  }
  bucket.mTokens = std::min(
    capacity, bucket.mTokens + rate * (aNow - bucket.mFilledAt).Seconds());
  bucket.mFilledAt = aNow;
  const double missing = std::max(0.0, 1 - bucket.mTokens);
  const Duration wait = Micros(static_cast<int64_t>(missing / rate * 1e6));
  if (wait > aMaxWait) {
    return std::nullopt;
  }
  --bucket.mTokens;
  return wait;
}

void
DropUnusedShares(FallbackShares& aShares)
{
  for (auto& [id, bucket] : aShares.mBuckets) {
    bucket.mTokens = std::min(0.0, bucket.mTokens);
  }
}

} // namespace caraway
