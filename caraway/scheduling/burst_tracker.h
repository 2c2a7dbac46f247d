#pragma once
// Headroom that batch work leaves free for online work, sized by the recent
// bursts of online arrivals.

#include <deque>

#include "caraway/base/time.h"

namespace caraway {

struct BurstTracker
{
  std::deque<MonoTime> mArrivals; // online arrivals of the last quarter second
  double mPeak = 0;      // largest size of mArrivals, decaying over time
  MonoTime mPeakAt{ 0 }; // time up to which mPeak has been decayed
};

void
RecordArrival(BurstTracker& aTracker, MonoTime aNow);

// Calls to leave free: the recent peak, at most an eighth of the limit.
// Preemption frees a slot in the same step, so headroom only serves to avoid
// preempting batch work; a larger one would waste capacity.
uint32_t
Headroom(const BurstTracker& aTracker, MonoTime aNow, uint32_t aLimit);

} // namespace caraway
