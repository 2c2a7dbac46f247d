#pragma once
// When a process that was asked to stop must be done with what. Its supervisor
// kills it at the end of the grace, without a warning.

#include <algorithm>

#include "caraway/base/time.h"

namespace caraway {

// Default of the settings: the least that usual supervisors allow.
constexpr Duration kDefaultStopGrace = Seconds(10);

// Answers given at the last moment have to reach their callers, and peers have
// to be told, before the kill. Includes signals that are delivered late.
constexpr Duration kStopMargin = Millis(600);

inline Duration
StopMargin(Duration aGrace)
{
  constexpr int64_t kMarginDivisor = 4; // of a short grace
  return std::min(kStopMargin, aGrace / kMarginDivisor);
}

// Everything that has been read has its answer by then. kNever before a stop.
inline MonoTime
AnswersDue(MonoTime aStopSince, Duration aGrace)
{
  return aStopSince == kNever ? kNever
                              : aStopSince + aGrace - StopMargin(aGrace);
}

// The process ends then at the latest.
inline MonoTime
ExitDue(MonoTime aStopSince, Duration aGrace)
{
  return aStopSince == kNever ? kNever
                              : aStopSince + aGrace - StopMargin(aGrace) / 2;
}

} // namespace caraway
