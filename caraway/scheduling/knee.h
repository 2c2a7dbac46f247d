#pragma once
// The knee of the throughput curve: the number of concurrent calls beyond which
// more calls bring no more throughput.
//
// Above some number of calls a target may produce fewer tokens in total while
// it still meets the latency goals. The measured tokens per second at each
// number of calls show where that begins.

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "caraway/base/time.h"

namespace caraway {

constexpr size_t kKneeBuckets = 96; // eight per doubling of the call count

struct ThroughputKnee
{
  uint32_t mBound = std::numeric_limits<uint32_t>::max(); // concurrent calls
  std::array<double, kKneeBuckets> mRates{}; // tokens/s by calls, 0 = unknown
  MonoTime mSince{ 0 };                      // start of this measurement
  uint64_t mTokens = 0;                      // since then
  uint64_t mCallSum = 0; // running calls, summed over the tokens
};

void
RecordKneeToken(ThroughputKnee& aKnee, uint32_t aRunning);

// Adjusts the bound once a second. Lowers it to the call count with the best
// known rate if the current count yields over 3% less; otherwise raises a bound
// in use by one call to probe for a better rate.
void
AdjustKnee(ThroughputKnee& aKnee, MonoTime aNow);

} // namespace caraway
