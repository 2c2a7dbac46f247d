#pragma once
// What one entry knows of each target: its own calls in flight, the last load
// report, and recent failures.

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

struct LoadFigures
{
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  uint32_t mLimit = 0; // 0: unknown
};

struct TargetState
{
  Epoch mEpoch;              // of the node; a new epoch resets the rest
  uint32_t mOwn = 0;         // own calls in flight
  LoadFigures mReport;       // last report
  uint32_t mOwnAtReport = 0; // own calls that the report includes
  MonoTime mReportAt{ -kNever.mMicros };
  uint32_t mFailures = 0; // consecutive
  MonoTime mAvoidUntil{ -kNever.mMicros };
  MonoTime mFailedAt{ -kNever.mMicros };
};

using TargetStates = absl::flat_hash_map<InstanceId, TargetState>;

// Reports arrive every 2 s and expire after three periods.
constexpr Duration kReportLifetime = Seconds(6);

void
RecordReport(TargetState& aTarget, MonoTime aNow, const LoadFigures& aReport);

// (own calls in flight + others in the last report) / limit.
double
LoadOf(const TargetState& aTarget, MonoTime aNow);

uint32_t
LimitOf(const TargetState& aTarget, MonoTime aNow);

// Records that a call failed or the connection was lost. The target is avoided
// for 250 ms, doubled with each consecutive failure, at most 8 s.
void
RecordFailure(TargetState& aTarget, MonoTime aNow);

// Records a success. It clears the failures if the call began after the last
// of them.
void
RecordSuccess(TargetState& aTarget, MonoTime aBegan);

bool
IsAvoided(const TargetState& aTarget, MonoTime aNow);

} // namespace caraway
