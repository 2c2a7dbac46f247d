#pragma once
// The measured rate at which online work is served. It predicts waits, so that
// work that cannot start in time is refused early.

#include "caraway/base/time.h"

namespace caraway {

struct ServiceRate
{
  double mCost = 0;    // mean cost of a call
  double mSeconds = 0; // mean duration of a call; 0 = nothing measured yet
};

void
RecordService(ServiceRate& aRate, double aCost, Duration aTime);

// Expected time to serve work of aCostAhead with aPlaces concurrent calls; 0
// while the rate is unknown.
Duration
ExpectedWait(const ServiceRate& aRate, double aCostAhead, uint32_t aPlaces);

} // namespace caraway
