// Finds the knee of the throughput curve.

#include "caraway/scheduling/knee.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr Duration kAdjustInterval = Seconds(1);
constexpr uint64_t kMinKneeTokens = 64;
constexpr double kPerDoubling = 8;
constexpr double kSmoothing = 0.3;
constexpr double kWorseFactor = 0.97;
constexpr double kRateDecay =
  0.999; // per second, so that old rates lose weight

size_t
BucketOf(double aCalls)
{
  const double place = std::max(0.0, std::log2(aCalls) * kPerDoubling);
  return std::min(kKneeBuckets - 1, static_cast<size_t>(place));
}

uint32_t
UpperEdge(size_t aBucket)
{
  const double edge =
    std::exp2(static_cast<double>(aBucket + 1) / kPerDoubling);
  return static_cast<uint32_t>(std::max(1.0, std::floor(edge)));
}

void
Judge(ThroughputKnee& aKnee, double aCalls, double aRate)
{
  const size_t present = BucketOf(aCalls);
  for (double& rate : aKnee.mRates) {
    rate *= kRateDecay;
  }
  double& known = aKnee.mRates[present];
  known = known == 0 ? aRate : known + kSmoothing * (aRate - known);
  const auto best = std::max_element(
    aKnee.mRates.begin(),
    aKnee.mRates.begin() + static_cast<std::ptrdiff_t>(present) + 1);
  const auto place = static_cast<size_t>(best - aKnee.mRates.begin());
  if (place < present && known < kWorseFactor * *best) {
    aKnee.mBound = UpperEdge(place);
  } else if (aKnee.mBound != ThroughputKnee().mBound &&
             aCalls * kPerDoubling >= aKnee.mBound * (kPerDoubling - 1)) {
    ++aKnee.mBound;
  }
}

} // namespace

void
RecordKneeToken(ThroughputKnee& aKnee, uint32_t aRunning)
{
  ++aKnee.mTokens;
  aKnee.mCallSum += aRunning;
}

void
AdjustKnee(ThroughputKnee& aKnee, MonoTime aNow)
{
  const Duration span = aNow - aKnee.mSince;
  if (span < kAdjustInterval) {
    return;
  }
  // After a pause without calls of this function, the elapsed time does not
  // measure a rate.
  if (aKnee.mTokens >= kMinKneeTokens && span < kAdjustInterval * 2) {
    const auto tokens = static_cast<double>(aKnee.mTokens);
    Judge(aKnee,
          static_cast<double>(aKnee.mCallSum) / tokens,
          tokens / span.Seconds());
  }
  aKnee.mSince = aNow;
  aKnee.mTokens = 0;
  aKnee.mCallSum = 0;
}

} // namespace caraway
