#pragma once
// How many online calls a target will have at once, by its recent past.
//
// Answers the load of demand that swings within a second, again and again:
// batch work that fills the pauses is cut by each burst. Where the demand
// recurs with a period, a batch call starts only into what online work left
// free one period ago, for as long as the call runs; else into what it left
// free lately.

#include <cstddef>
#include <cstdint>
#include <deque>

#include "caraway/base/time.h"

namespace caraway {

struct OnlineForecast
{
  std::deque<uint32_t> mPeaks; // most calls at once, by interval, oldest first
  size_t mPeriod = 0;          // in intervals, 0: none is seen
  uint32_t mPeak = 0;          // of the present interval
  uint32_t mCalls = 0;         // by the last record
  MonoTime mInterval{ 0 };     // begin of the present interval
  // Intervals with a forecast, those whose peak exceeded it, and the sum of
  // what the others stayed below it.
  uint64_t mChecked = 0;
  uint64_t mExceeded = 0;
  uint64_t mSpared = 0;
};

// Records the online calls that run and wait now.
void
RecordOnlineCalls(OnlineForecast& aForecast, MonoTime aNow, uint32_t aCalls);

// The most online calls at once to expect from now until aAhead: those of the
// same time one period ago, or without a period those of the last ten seconds.
uint32_t
ExpectedOnlineCalls(const OnlineForecast& aForecast, Duration aAhead);

// The least that ExpectedOnlineCalls returns at any time of a period, so the
// best that a start can wait for. Needs a period.
uint32_t
LeastExpectedCalls(const OnlineForecast& aForecast, Duration aAhead);

// 0: none is seen.
Duration
PeriodOf(const OnlineForecast& aForecast);

} // namespace caraway
