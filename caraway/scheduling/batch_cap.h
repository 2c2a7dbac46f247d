#pragma once
// How many calls may run in total while batch work is added.
//
// The concurrency limit is bounded by the latency goals; batch work stops
// earlier, at the point where more calls cost latency and bring no throughput.
// The bound is twice the unloaded time between tokens, and three
// quarters of the goal for 95 of 100 of them, so that batch work alone never
// makes the limit shrink.

#include <limits>

#include "caraway/scheduling/sample_window.h"

namespace caraway {

struct BatchCap
{
  uint32_t mValue = std::numeric_limits<uint32_t>::max(); // calls in total
  Duration mUnloaded;        // shortest usual time between tokens, 0 = unknown
  SampleWindow mTokenGaps;   // since the last judgement
  MonoTime mAdjustedAt{ 0 }; // last judgement
  uint32_t mPeakCalls = 0;   // most calls that ran since then
};

void
RecordBatchGap(BatchCap& aCap, Duration aGap);

// Judges the samples once a second: down by 4% when the median time between
// tokens is over the bound; up while within it and the cap is used, by 4% near
// the bound and by an eighth far from it.
void
AdjustBatchCap(BatchCap& aCap,
               MonoTime aNow,
               Duration aTokenGoal,
               uint32_t aRunning);

} // namespace caraway
