#pragma once
// How long a request without a token is on hold before it is refused. The
// entry, the holder and the grantor agree on it.

#include <algorithm>
#include <cmath>

#include "caraway/base/time.h"

namespace caraway {

constexpr Duration kGrantHold = Millis(200);

// Tokens granted for a request on hold are gone after this time. It must exceed
// a round trip to the leader, and stay well below the hold, since spent tokens
// limit the refill until it ends.
constexpr Duration kBriefLease = Millis(100);

// How many of aMissing tokens come within the hold, if all of them take
// aRetryAfter.
inline double
ExpectedInHold(double aMissing, Duration aRetryAfter)
{
  return aRetryAfter <= kGrantHold
           ? aMissing
           : std::floor(aMissing * kGrantHold.Seconds() /
                        aRetryAfter.Seconds());
}

} // namespace caraway
