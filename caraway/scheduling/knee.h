#pragma once
// The number of calls beyond which more calls bring no more throughput.
//
// A target that slows badly above some number of calls may still meet the
// latency goals there while it does less work in all. The measured tokens per
// second at each number of calls show where that begins.

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "caraway/base/time.h"

namespace caraway {

constexpr size_t kKneeBuckets = 96; // eight per doubling of the calls

struct ThroughputKnee
{
  uint32_t mBound = std::numeric_limits<uint32_t>::max(); // calls at once
  std::array<double, kKneeBuckets> mRates{}; // tokens/s by calls, 0 = unknown
  MonoTime mSince{ 0 };                      // start of this measurement
  uint64_t mTokens = 0;                      // since then
  uint64_t mCallSum = 0; // running calls, summed over the tokens
};

void
RecordKneeToken(ThroughputKnee& aKnee, uint32_t aRunning);

// Judges once a second. Falls back to the best known number of calls when the
// present number gives 3% less, and tries one more each second otherwise.
void
AdjustKnee(ThroughputKnee& aKnee, MonoTime aNow);

} // namespace caraway
