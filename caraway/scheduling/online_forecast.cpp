// How many online calls a target will have at once, by its recent past.

#include "caraway/scheduling/online_forecast.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace caraway {

namespace {

constexpr Duration kInterval = Millis(250);
constexpr size_t kIntervals = 80; // twenty seconds: two of the longest periods
constexpr size_t kLongestPeriod = 40;
constexpr size_t kShortestPeriod = 8;
// Fewer calls than this between pauses and bursts are no pattern.
constexpr uint32_t kLeastSwing = 2;

using Peaks = std::deque<uint32_t>;

uint32_t
Highest(const Peaks& aPeaks, size_t aBegin, size_t aEnd)
{
  uint32_t highest = 0;
  for (size_t at = aBegin; at < std::min(aEnd, aPeaks.size()); ++at) {
    highest = std::max(highest, aPeaks[at]);
  }
  return highest;
}

// True if the intervals hold most of the swing between pauses and bursts.
bool
HoldsSwing(const Peaks& aPeaks, size_t aBegin, size_t aEnd, uint32_t aSwing)
{
  const auto begin = aPeaks.begin() + static_cast<std::ptrdiff_t>(aBegin);
  const auto end = aPeaks.begin() + static_cast<std::ptrdiff_t>(aEnd);
  const auto [low, high] = std::minmax_element(begin, end);
  return (*high - *low) * 4 >= aSwing * 3;
}

// Mean difference between the last period and the one before it, or nullopt if
// one of them holds no whole swing.
std::optional<double>
PeriodError(const Peaks& aPeaks, size_t aPeriod, uint32_t aSwing)
{
  const size_t begin = aPeaks.size() - aPeriod;
  if (!HoldsSwing(aPeaks, begin, aPeaks.size(), aSwing) ||
      !HoldsSwing(aPeaks, begin - aPeriod, begin, aSwing)) {
    return std::nullopt;
  }
  double error = 0;
  for (size_t at = begin; at < aPeaks.size(); ++at) {
    error += std::abs(static_cast<double>(aPeaks[at]) -
                      static_cast<double>(aPeaks[at - aPeriod]));
  }
  return error / static_cast<double>(aPeriod);
}

// The period that explains the last one best, if it explains most of the swing.
size_t
FindPeriod(const Peaks& aPeaks)
{
  constexpr double kMostError = 0.25; // of the swing
  const auto [low, high] = std::minmax_element(aPeaks.begin(), aPeaks.end());
  const uint32_t swing = *high - *low;
  if (swing < kLeastSwing) {
    return 0;
  }
  size_t best = 0;
  double least = swing * kMostError;
  const size_t longest = std::min(kLongestPeriod, aPeaks.size() / 2);
  for (size_t period = kShortestPeriod; period <= longest; ++period) {
    const std::optional<double> error = PeriodError(aPeaks, period, swing);
    if (error && *error < least) {
      best = period;
      least = *error;
    }
  }
  return best;
}

// The peak of the past that stands for the time until aAhead.
uint32_t
PastPeak(const OnlineForecast& aForecast, Duration aAhead)
{
  const Peaks& peaks = aForecast.mPeaks;
  if (aForecast.mPeriod == 0) {
    const size_t kept = std::min(peaks.size(), kLongestPeriod);
    return Highest(peaks, peaks.size() - kept, peaks.size());
  }
  // One interval more on each side, since periods are no whole intervals.
  const size_t now = peaks.size() - aForecast.mPeriod;
  const auto ahead = static_cast<size_t>(aAhead.mMicros / kInterval.mMicros);
  return Highest(peaks, now > 0 ? now - 1 : 0, now + ahead + 2);
}

void
CloseInterval(OnlineForecast& aForecast)
{
  if (!aForecast.mPeaks.empty()) {
    const uint32_t expected = PastPeak(aForecast, Duration{});
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
  aForecast.mPeriod = FindPeriod(aForecast.mPeaks);
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
LeastExpectedCalls(const OnlineForecast& aForecast, Duration aAhead)
{
  const Peaks& peaks = aForecast.mPeaks;
  const auto ahead =
    std::min(aForecast.mPeriod,
             static_cast<size_t>(aAhead.mMicros / kInterval.mMicros) + 2);
  const size_t begin = peaks.size() - 2 * aForecast.mPeriod;
  uint32_t least = std::numeric_limits<uint32_t>::max();
  for (size_t at = begin; at < begin + aForecast.mPeriod; ++at) {
    least = std::min(least, Highest(peaks, at, at + ahead));
  }
  return least;
}

Duration
PeriodOf(const OnlineForecast& aForecast)
{
  return kInterval * static_cast<int64_t>(aForecast.mPeriod);
}

uint32_t
ExpectedOnlineCalls(const OnlineForecast& aForecast, Duration aAhead)
{
  const uint32_t past = PastPeak(aForecast, aAhead);
  return aForecast.mPeriod == 0 ? std::max(past, aForecast.mPeak)
                                : std::max(past, aForecast.mCalls);
}

} // namespace caraway
