#pragma once
// What one entry knows of each target: its own calls there, the last load
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
  Epoch mEpoch;              // of the node; a new epoch forgets the rest
  uint32_t mOwn = 0;         // own calls in flight
  LoadFigures mReport;       // last report
  uint32_t mOwnAtReport = 0; // own calls that the report includes
  MonoTime mReportAt{ -kNever.mMicros };
  uint32_t mFailures = 0; // in a row
  MonoTime mAvoidUntil{ -kNever.mMicros };
  MonoTime mFailedAt{ -kNever.mMicros };
};

using TargetStates = absl::flat_hash_map<InstanceId, TargetState>;

// Reports are taken every 2 s; one that is three periods old says nothing.
constexpr Duration kReportLifetime = Seconds(6);

void
RecordReport(TargetState& aTarget, MonoTime aNow, const LoadFigures& aReport);

// (own calls in flight + others in the last report) / limit.
double
LoadOf(const TargetState& aTarget, MonoTime aNow);

uint32_t
LimitOf(const TargetState& aTarget, MonoTime aNow);

// A call failed or the connection was lost: the target is avoided for 250 ms,
// doubled with each failure in a row, at most 8 s.
void
RecordFailure(TargetState& aTarget, MonoTime aNow);

// A success that began after the last failure clears it.
void
RecordSuccess(TargetState& aTarget, MonoTime aBegan);

bool
IsAvoided(const TargetState& aTarget, MonoTime aNow);

} // namespace caraway
