#pragma once
// Cap on the total number of calls up to which batch work is added.
//
// The latency goals bound the concurrency limit. Batch work stops earlier, at
// the point where more calls raise the latency without raising the throughput.
// Two bounds on the time between tokens define this point: the median may be
// at most twice the unloaded time, and the 95th percentile at most three
// quarters of the goal, so that batch work alone never shrinks the concurrency
// limit.

#include <limits>

#include "caraway/scheduling/sample_window.h"

namespace caraway {

struct BatchCap
{
  uint32_t mValue = std::numeric_limits<uint32_t>::max(); // calls in total
  Duration mUnloaded;        // shortest usual time between tokens, 0 = unknown
  SampleWindow mTokenGaps;   // since the last adjustment
  MonoTime mAdjustedAt{ 0 }; // last adjustment
  uint32_t mPeakCalls = 0;   // most concurrent calls since then
};

void
RecordBatchGap(BatchCap& aCap, Duration aGap);

// Adjusts the cap once a second. Lowers it by 4% when a bound on the time
// between tokens is exceeded. Raises it while the bounds hold and the cap is
// used: by 4% near the bound on the median, by an eighth far below it.
void
AdjustBatchCap(BatchCap& aCap,
               MonoTime aNow,
               Duration aTokenGoal,
               uint32_t aRunning);

} // namespace caraway
