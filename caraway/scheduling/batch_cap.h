#pragma once
// How many calls may run in total while batch work is added.
//
// The concurrency limit is bounded by the latency goals; batch work stops
// earlier, at the point where more calls cost latency and bring no throughput.
// For a target whose time between tokens grows linearly, throughput divided by
// latency is largest at twice the unloaded time, so that is the bound.

#include "caraway/scheduling/sample_window.h"

namespace caraway {

struct BatchCap
{
  double mValue = 1;         // calls in total
  Duration mUnloaded;        // shortest usual time between tokens, 0 = unknown
  SampleWindow mTokenGaps;   // since the last judgement
  MonoTime mJudgedAt{ 0 };   // last judgement
  bool mReached = false;     // the cap was used up since then
};

void
RecordBatchGap(BatchCap& aCap, Duration aGap);

// Judges the samples once a second: up while the median time between tokens is
// within bounds, by 4% near the bound and by half far from it; down by 4% when
// over.
void
JudgeBatchCap(BatchCap& aCap,
              MonoTime aNow,
              Duration aTokenGoal,
              uint32_t aLimit);

} // namespace caraway
