#pragma once
// How long answers of one kind usually take: a moving mean and deviation.

#include "caraway/base/time.h"

namespace caraway {

struct UsualTime
{
  bool mKnown = false;
  double mSeconds = 0;   // mean
  double mDeviation = 0; // mean absolute deviation, seconds
};

void
RecordTime(UsualTime& aTime, Duration aSample);

// Most answers take no longer than this; aUnknown if nothing is recorded.
Duration
UsuallyWithin(const UsualTime& aTime, Duration aUnknown);

} // namespace caraway
