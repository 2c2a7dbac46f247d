#pragma once
// Counts of the answers of some targets, with a histogram of their times.

#include <array>
#include <cstddef>
#include <cstdint>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

// Half octaves from 1 ms: the last bucket begins at 16 s.
constexpr size_t kTimeBuckets = 28;

struct AnswerCounts
{
  uint64_t mAnswers = 0;  // complete answers and failures
  uint64_t mFailures = 0; // of these, failures for which the target answers
  // Complete answers by time from the call to their end. Answers of targets
  // that have just started are left out, since these are slow at first.
  std::array<uint32_t, kTimeBuckets> mTimes{};
};

size_t
TimeBucket(Duration aTime);

void
AddCounts(AnswerCounts& aTo, const AnswerCounts& aFrom);

// Timed answers in bucket aFirst or later.
uint64_t
TimedFrom(const AnswerCounts& aCounts, size_t aFirst);

} // namespace caraway
