// Load and recent failures of targets.

#include "caraway/routing/target_state.h"

#include <algorithm>

namespace caraway {

namespace {

// Assumed without a recent report. Small, since a new target may be cold.
constexpr uint32_t kAssumedLimit = 4;
constexpr Duration kFirstAvoidance = Millis(250);
constexpr uint32_t kMaxDoublings = 5; // 250 ms * 32 = 8 s

bool
IsFresh(const TargetState& aTarget, MonoTime aNow)
{
  return aNow - aTarget.mReportAt < kReportLifetime;
}

} // namespace

void
RecordReport(TargetState& aTarget, MonoTime aNow, const LoadFigures& aReport)
{
  aTarget.mReport = aReport;
  aTarget.mOwnAtReport = aTarget.mOwn;
  aTarget.mReportAt = aNow;
}

uint32_t
LimitOf(const TargetState& aTarget, MonoTime aNow)
{
  if (!IsFresh(aTarget, aNow) || aTarget.mReport.mLimit == 0) {
    return kAssumedLimit;
  }
  return aTarget.mReport.mLimit;
}

double
LoadOf(const TargetState& aTarget, MonoTime aNow)
{
  uint32_t calls = aTarget.mOwn;
  if (IsFresh(aTarget, aNow)) {
    const uint32_t reported =
      aTarget.mReport.mRunning + aTarget.mReport.mQueued;
    calls += reported - std::min(reported, aTarget.mOwnAtReport);
  }
  return static_cast<double>(calls) / LimitOf(aTarget, aNow);
}

void
RecordFailure(TargetState& aTarget, MonoTime aNow)
{
  const uint32_t doublings = std::min(aTarget.mFailures, kMaxDoublings);
  aTarget.mAvoidUntil = aNow + kFirstAvoidance * (int64_t{ 1 } << doublings);
  aTarget.mFailedAt = aNow;
  ++aTarget.mFailures;
}

void
RecordSuccess(TargetState& aTarget, MonoTime aBegan)
{
  if (aBegan >= aTarget.mFailedAt) {
    aTarget.mFailures = 0;
    aTarget.mAvoidUntil = { -kNever.mMicros };
  }
}

bool
IsAvoided(const TargetState& aTarget, MonoTime aNow)
{
  return aNow < aTarget.mAvoidUntil;
}

} // namespace caraway
