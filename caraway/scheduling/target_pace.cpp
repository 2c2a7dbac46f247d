// Moving means of answer times.

#include "caraway/scheduling/target_pace.h"

#include <algorithm>

namespace caraway {

namespace {

// Weight of one answer. A spell of half a second, in which a target is 2.5
// times slower, moves the mean by less than the lasting difference.
constexpr double kGain = 0.1;
constexpr double kUsualGain = 0.02;
constexpr uint32_t kLeastSamples = 5;
// An answer outside tells of a fault, not of the pace.
constexpr double kLeastRatio = 0.25;
constexpr double kMostRatio = 4;

} // namespace

void
RecordPace(TargetPace& aPace, double aRatio)
{
  const double ratio = std::clamp(aRatio, kLeastRatio, kMostRatio);
  ++aPace.mSamples;
  const double gain =
    std::max(kGain, 1.0 / static_cast<double>(aPace.mSamples));
  aPace.mRatio += gain * (ratio - aPace.mRatio);
}

double
PaceOf(const TargetPace& aPace)
{
  return aPace.mSamples < kLeastSamples ? 1 : aPace.mRatio;
}

double
RecordAgainstUsual(UsualPace& aUsual, double aSeconds)
{
  if (aUsual.mSeconds <= 0) {
    aUsual.mSeconds = aSeconds;
  }
  const double ratio = aUsual.mSeconds > 0 ? aSeconds / aUsual.mSeconds : 1;
  aUsual.mSeconds +=
    kUsualGain *
    (std::min(aSeconds, kMostRatio * aUsual.mSeconds) - aUsual.mSeconds);
  return ratio;
}

} // namespace caraway
