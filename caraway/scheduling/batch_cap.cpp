// Cap on the total number of calls up to which batch work is added.

#include "caraway/scheduling/batch_cap.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Duration kAdjustInterval = Seconds(1);
constexpr size_t kMinBatchSamples = 32;
constexpr uint32_t kStepDivisor = 25; // 4%
constexpr uint32_t kFastStepDivisor = 8;

Duration
Bound(const BatchCap& aCap, Duration aTokenGoal)
{
  return std::min(aTokenGoal * 3 / 4, std::max(aCap.mUnloaded * 2, Millis(1)));
}

void
Judge(BatchCap& aCap, Duration aTokenGoal)
{
  const Duration median = SampleQuantile(aCap.mTokenGaps, 0.5);
  // The unloaded time may rise slowly (0.01% per adjustment), so that a single
  // outlier second does not lower the cap permanently.
  aCap.mUnloaded = aCap.mUnloaded.mMicros == 0
                     ? median
                     : std::min(median, aCap.mUnloaded * 10001 / 10000);
  const Duration bound = Bound(aCap, aTokenGoal);
  const Duration slowest = SampleQuantile(aCap.mTokenGaps, 0.95);
  if (median > bound || slowest > aTokenGoal * 3 / 4) {
    const uint32_t base = std::min(aCap.mValue, aCap.mPeakCalls);
    aCap.mValue = std::max<uint32_t>(1, base - (base / kStepDivisor + 1));
    return;
  }
  const bool unbounded = aCap.mValue == BatchCap().mValue;
  if (!unbounded &&
      aCap.mPeakCalls * 8 >= aCap.mValue * 7) { // up to an eighth is headroom
    const bool far = median * 4 < bound * 3;
    aCap.mValue += aCap.mValue / (far ? kFastStepDivisor : kStepDivisor) + 1;
  }
}

} // namespace

void
RecordBatchGap(BatchCap& aCap, Duration aGap)
{
  AddSample(aCap.mTokenGaps, aGap);
}

void
AdjustBatchCap(BatchCap& aCap,
               MonoTime aNow,
               Duration aTokenGoal,
               uint32_t aRunning)
{
  aCap.mPeakCalls = std::max(aCap.mPeakCalls, aRunning);
  if (aNow - aCap.mAdjustedAt < kAdjustInterval) {
    return;
  }
  aCap.mAdjustedAt = aNow;
  // Calls that do not stream yield no token gaps; then only the concurrency
  // limit applies.
  if (aCap.mTokenGaps.mMicros.size() >= kMinBatchSamples) {
    Judge(aCap, aTokenGoal);
  }
  aCap.mPeakCalls = aRunning;
  ClearSamples(aCap.mTokenGaps);
}

} // namespace caraway
