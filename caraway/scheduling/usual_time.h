#pragma once
// How long answers of one kind usually take: a moving mean and deviation.

#include "caraway/base/time.h"

namespace caraway {

struct UsualTime
{
  double mSeconds = 0;   // mean; 0: nothing recorded yet
  double mDeviation = 0; // mean absolute deviation, seconds
};

void
RecordTime(UsualTime& aTime, Duration aSample);

Duration
MeanTime(const UsualTime& aTime);

// Most answers take no longer than this.
Duration
UsuallyWithin(const UsualTime& aTime);

} // namespace caraway
