#pragma once
// The measured rate at which online work is served, for early refusal.

#include "caraway/base/time.h"

namespace caraway {

struct ServiceRate
{
  double mCost = 0;    // usual cost of a call
  double mSeconds = 0; // usual time of a call; 0 = nothing measured yet
};

void
RecordService(ServiceRate& aRate, double aCost, Duration aTime);

// Time until aCostAhead is served by aPlaces calls at once; 0 while unknown.
Duration
ExpectedWait(const ServiceRate& aRate, double aCostAhead, uint32_t aPlaces);

} // namespace caraway
