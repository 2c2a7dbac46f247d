#pragma once
// A count over the present span of time and the one before.

#include "caraway/base/time.h"

namespace caraway {

struct SpanCount
{
  MonoTime mStart;    // of the present span
  double mNow = 0;    // in the present span
  double mBefore = 0; // in the span before
};

// Begins a new span if the present one is over.
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
