#pragma once
// State of the target heartbeats that this entry receives.

#include <cstdint>
#include <map>
#include <vector>

#include "caraway/base/http.h"
#include "caraway/config/target.h"

namespace caraway {

struct HeartbeatRecord
{
  int64_t mStartedAt = 0;
  uint64_t mSequence = 0; // of the newest heartbeat
  MonoTime mHeardAt;
  MonoTime mColdUntil{ 0 };
  MonoTime mReportedAt{ -kNever.mMicros }; // last report to control
};

struct TargetReports
{
  std::map<TargetId, HeartbeatRecord> mHeartbeats;
  std::vector<TargetId> mPendingHeard; // heard from since the last TargetsHeard
  MonoTime mNextTargetsHeard{ 0 };
};

} // namespace caraway
