#pragma once
// A count over the current time span and the previous one, from which a count
// over a sliding window is estimated.

#include "caraway/base/time.h"

namespace caraway {

struct SpanCount
{
  MonoTime mStart;    // of the current span
  double mNow = 0;    // count in the current span
  double mBefore = 0; // count in the previous span
};

// Starts a new span if the current one is over.
inline void
AdvanceSpan(SpanCount& aCount, MonoTime aNow, Duration aSpan)
{
  const Duration age = aNow - aCount.mStart;
  if (age < aSpan) {
    return;
  }
  const bool next = age < aSpan * 2;
  aCount.mBefore = next ? aCount.mNow : 0;
  aCount.mNow = 0;
  aCount.mStart = next ? aCount.mStart + aSpan : aNow;
}

} // namespace caraway
