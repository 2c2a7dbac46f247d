// Buckets of answer times.

#include "caraway/rollout/answer_counts.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace caraway {

size_t
TimeBucket(Duration aTime)
{
  constexpr double kBucketsPerOctave = 2;
  const double millis =
    std::max(1.0, static_cast<double>(aTime.mMicros) / 1000.0);
  const auto bucket =
    static_cast<size_t>(std::log2(millis) * kBucketsPerOctave);
  return std::min(bucket, kTimeBuckets - 1);
}

void
AddCounts(AnswerCounts& aTo, const AnswerCounts& aFrom)
{
  aTo.mAnswers += aFrom.mAnswers;
  aTo.mFailures += aFrom.mFailures;
  for (size_t at = 0; at < kTimeBuckets; ++at) {
    aTo.mTimes[at] += aFrom.mTimes[at];
  }
}

uint64_t
TimedFrom(const AnswerCounts& aCounts, size_t aFirst)
{
  const auto from = static_cast<ptrdiff_t>(std::min(aFirst, kTimeBuckets));
  return std::accumulate(
    aCounts.mTimes.begin() + from, aCounts.mTimes.end(), uint64_t{ 0 });
}

} // namespace caraway
