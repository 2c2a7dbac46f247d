#pragma once
// State of the target heartbeats that this entry receives.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
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
  // By service too: another writer may use the id of a target.
  std::map<std::pair<TargetId, ServiceId>, HeartbeatRecord> mHeartbeats;
  // When a target of an unlisted service was last heard from at an address. Its
  // first heartbeat there left a log line.
  std::map<std::string, MonoTime> mUnlistedHeard;
  MonoTime mNextDrop{ 0 };             // when old records are dropped next
  std::vector<TargetId> mPendingHeard; // heard from since the last TargetsHeard
  MonoTime mNextTargetsHeard{ 0 };
};

} // namespace caraway
