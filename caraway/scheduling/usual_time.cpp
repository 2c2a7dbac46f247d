// How long answers of one kind usually take.

#include "caraway/scheduling/usual_time.h"

#include <cmath>

namespace caraway {

namespace {

constexpr double kWeight = 0.125; // of a new sample
// Mean absolute deviations above the mean, as for the time-outs of TCP (RFC
// 6298).
constexpr double kDeviations = 4;

} // namespace

void
RecordTime(UsualTime& aTime, Duration aSample)
{
  const double seconds = aSample.Seconds();
  if (aTime.mSeconds == 0) {
    aTime = { seconds, seconds / 2 };
    return;
  }
  const double difference = seconds - aTime.mSeconds;
  aTime.mSeconds += kWeight * difference;
  aTime.mDeviation += kWeight * (std::abs(difference) - aTime.mDeviation);
}

Duration
MeanTime(const UsualTime& aTime)
{
  constexpr double kMicros = 1e6;
  return Micros(static_cast<int64_t>(aTime.mSeconds * kMicros));
}

Duration
UsuallyWithin(const UsualTime& aTime)
{
  constexpr double kMicros = 1e6;
  const double seconds = aTime.mSeconds + kDeviations * aTime.mDeviation;
  return Micros(static_cast<int64_t>(seconds * kMicros));
}

} // namespace caraway
