#pragma once
// Lease arithmetic, the same for configuration, item, grant and order leases.
//
// The holder measures the lease from the send time of its request, the grantor
// from the request's receipt. The lease ends at the holder before it ends at
// the grantor, because the holder's measurement starts earlier and both sides
// correct for the bound on clock drift.

#include "caraway/base/time.h"

namespace caraway {

// The rates of two clocks differ by at most 1 / kDriftDivisor (1%).
constexpr int64_t kDriftDivisor = 100;

// The last time at which the holder may act.
constexpr MonoTime
HolderLeaseEnd(MonoTime aRequestSent, Duration aLength)
{
  return { aRequestSent.mMicros + aLength.mMicros -
           aLength.mMicros / kDriftDivisor };
}

// The first time at which the grantor may treat the lease as expired.
constexpr MonoTime
GrantorLeaseEnd(MonoTime aRequestReceived, Duration aLength)
{
  return { aRequestReceived.mMicros + aLength.mMicros +
           aLength.mMicros / kDriftDivisor };
}

} // namespace caraway
