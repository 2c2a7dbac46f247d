#pragma once
// Headroom that batch leaves free for online work, following recent bursts.

#include <deque>

#include "caraway/base/time.h"

namespace caraway {

struct BurstTracker
{
  std::deque<MonoTime> mArrivals; // online arrivals of the last quarter second
  double mPeak = 0;               // most of them at once, fading
  MonoTime mPeakAt{ 0 };          // when mPeak was last brought up to date
};

void
RecordArrival(BurstTracker& aTracker, MonoTime aNow);

// Calls to leave free: the recent peak, at most an eighth of the limit.
// Preemption frees a place in the same step, so headroom only has to save batch
// work from being stopped, and more would waste capacity.
uint32_t
Headroom(const BurstTracker& aTracker, MonoTime aNow, uint32_t aLimit);

} // namespace caraway
