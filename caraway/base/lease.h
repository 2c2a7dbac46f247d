#pragma once
// Lease arithmetic. One rule for configuration, item, grant and order leases.
//
// The holder stamps its send time in the request and counts the lease from
// there; the grantor counts from the receipt. The holder always stops first,
// because it started earlier and both sides correct for the drift bound.

#include "caraway/base/time.h"

namespace caraway {

// Two clocks differ in rate by at most 1 in this many.
constexpr int64_t kDriftDivisor = 100;

// The last moment at which the holder may act.
constexpr MonoTime
HolderLeaseEnd(MonoTime aRequestSent, Duration aLength)
{
  return { aRequestSent.mMicros + aLength.mMicros -
           aLength.mMicros / kDriftDivisor };
}

// The first moment at which the grantor may treat the lease as ended.
constexpr MonoTime
GrantorLeaseEnd(MonoTime aRequestReceived, Duration aLength)
{
  return { aRequestReceived.mMicros + aLength.mMicros +
           aLength.mMicros / kDriftDivisor };
}

} // namespace caraway
