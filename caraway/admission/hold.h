#pragma once
// How long a request without a token stays on hold before it is refused. The
// entry, the token holder and the grantor use the same time.

#include <algorithm>
#include <cmath>

#include "caraway/base/time.h"

namespace caraway {

constexpr Duration kGrantHold = Millis(200);

// Lease of tokens granted for requests on hold. It must exceed a round trip to
// the leader, and stay well below the hold, since even spent tokens limit the
// refill until the lease ends.
constexpr Duration kBriefLease = Millis(100);

// How many of aMissing tokens are expected within the hold, if all of them take
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
