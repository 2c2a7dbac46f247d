// How many online calls a target will have at once, by its recent past.

#include "caraway/scheduling/online_forecast.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Duration kInterval = Millis(250);
constexpr size_t kIntervals = 40; // ten seconds

void
CloseInterval(OnlineForecast& aForecast)
{
  if (!aForecast.mPeaks.empty()) {
    const uint32_t expected =
      *std::max_element(aForecast.mPeaks.begin(), aForecast.mPeaks.end());
    ++aForecast.mChecked;
    if (aForecast.mPeak > expected) {
      ++aForecast.mExceeded;
    } else {
      aForecast.mSpared += expected - aForecast.mPeak;
    }
  }
  aForecast.mPeaks.push_back(aForecast.mPeak);
  if (aForecast.mPeaks.size() > kIntervals) {
    aForecast.mPeaks.pop_front();
  }
  aForecast.mPeak = aForecast.mCalls;
  aForecast.mInterval = aForecast.mInterval + kInterval;
}

} // namespace

void
RecordOnlineCalls(OnlineForecast& aForecast, MonoTime aNow, uint32_t aCalls)
{
  if (aForecast.mInterval == MonoTime{}) {
    aForecast.mInterval = aNow;
  } else if (aNow - aForecast.mInterval > kInterval * (kIntervals + 1)) {
    // The calls have not changed since, so older intervals tell nothing more.
    aForecast.mPeaks.assign(1, aForecast.mCalls);
    aForecast.mPeak = aForecast.mCalls;
    aForecast.mInterval = aNow;
  }
  while (aNow - aForecast.mInterval >= kInterval) {
    CloseInterval(aForecast);
  }
  aForecast.mCalls = aCalls;
  aForecast.mPeak = std::max(aForecast.mPeak, aCalls);
}

uint32_t
ExpectedOnlineCalls(const OnlineForecast& aForecast)
{
  uint32_t expected = aForecast.mPeak;
  for (const uint32_t peak : aForecast.mPeaks) {
    expected = std::max(expected, peak);
  }
  return expected;
}

} // namespace caraway
