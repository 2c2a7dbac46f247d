// How many calls may run in total while batch work is added.

#include "caraway/scheduling/batch_cap.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Duration kJudgeEvery = Seconds(1);
constexpr size_t kEnoughSamples = 32;
constexpr double kStep = 0.04;
constexpr double kFastStep = 0.5;

} // namespace

void
RecordBatchGap(BatchCap& aCap, Duration aGap)
{
  AddSample(aCap.mTokenGaps, aGap);
}

void
JudgeBatchCap(BatchCap& aCap,
              MonoTime aNow,
              Duration aTokenGoal,
              uint32_t aLimit)
{
  const auto limit = static_cast<double>(aLimit);
  aCap.mValue = std::clamp(aCap.mValue, 1.0, limit);
  if (aNow - aCap.mJudgedAt < kJudgeEvery) {
    return;
  }
  aCap.mJudgedAt = aNow;
  if (aCap.mTokenGaps.mMicros.size() < kEnoughSamples) {
    // No tokens are seen (calls without streaming): the limit alone decides.
    aCap.mValue = std::min(limit, aCap.mValue * (1 + kFastStep) + 1);
    return;
  }
  const Duration median = SampleQuantile(aCap.mTokenGaps, 0.5);
  // The unloaded time may rise slowly, so that one lucky second does not bind
  // the cap for ever.
  aCap.mUnloaded = aCap.mUnloaded.mMicros == 0
                     ? median
                     : std::min(median, aCap.mUnloaded * 1001 / 1000);
  const Duration bound =
    std::min(aTokenGoal * 3 / 4, std::max(aCap.mUnloaded * 2, Millis(1)));
  if (median > bound) {
    aCap.mValue = std::max(1.0, aCap.mValue * (1 - kStep));
  } else if (aCap.mReached) {
    // Far from the bound the cap follows the limit quickly.
    const double step = median * 4 < bound * 3 ? kFastStep : kStep;
    aCap.mValue = std::min(limit, aCap.mValue * (1 + step) + 1);
  }
  aCap.mReached = false;
  ClearSamples(aCap.mTokenGaps);
}

} // namespace caraway
