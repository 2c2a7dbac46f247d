#pragma once
// How many online calls a target will have at once, by its recent past.
//
// Answers the load of demand that swings within a second, again and again:
// batch work that fills the pauses is cut by each burst. What the last bursts
// used is kept free, so that most batch calls that start also end.

#include <cstdint>
#include <deque>

#include "caraway/base/time.h"

namespace caraway {

struct OnlineForecast
{
  std::deque<uint32_t> mPeaks; // most calls at once, by interval, oldest first
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

// The most online calls at once to expect: those of the last ten seconds, which
// covers bursts that recur within that time.
uint32_t
ExpectedOnlineCalls(const OnlineForecast& aForecast);

} // namespace caraway
