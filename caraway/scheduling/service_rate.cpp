// The measured rate at which online work is served.

#include "caraway/scheduling/service_rate.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr double kSmoothing = 0.05;

} // namespace

void
RecordService(ServiceRate& aRate, double aCost, Duration aTime)
{
  const double seconds = std::max(1e-4, aTime.Seconds());
  if (aRate.mSeconds == 0) {
    aRate = { aCost, seconds };
    return;
  }
  aRate.mCost += kSmoothing * (aCost - aRate.mCost);
  aRate.mSeconds += kSmoothing * (seconds - aRate.mSeconds);
}

Duration
ExpectedWait(const ServiceRate& aRate, double aCostAhead, uint32_t aPlaces)
{
  if (aRate.mSeconds == 0 || aRate.mCost <= 0) {
    return {};
  }
  const double perSecond =
    std::max<uint32_t>(1, aPlaces) * aRate.mCost / aRate.mSeconds;
  return { static_cast<int64_t>(aCostAhead / perSecond * 1e6) };
}

} // namespace caraway
