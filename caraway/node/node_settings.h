#pragma once
// Settings of the node role. The daemon fills them from flags and environment.

#include <cstdint>
#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/scheduling/scheduler.h"

namespace caraway {

struct NodeSettings
{
  InstanceId mInstance; // unique, from the settings
  PeerAddress mAddress; // advertised peer address
  ZoneId mZone;
  RegionId mRegion;
  std::vector<PeerAddress> mControl; // every control replica
  uint64_t mSeed = 1;
  SchedulePolicy mPolicy = SchedulePolicy::eOnlineFirst;
  uint32_t mColdLimit = 1;          // calls that a cold target bears
  ColdTolerance mColdTolerance;     // of targets that state a cold rate
  uint32_t mMaxLimit = 256;         // calls at most, whatever is measured
  Duration mTokenGoal = Millis(74); // between tokens, p95
  Duration mFirstTokenGoal = Millis(750);
  uint32_t mMaxOnlineQueue = 512;    // requests; more are refused
  bool mTargetChecksFencing = false; // --target-fencing=checked
  // Deployments in which targets announce themselves to entries: the address of
  // the target beside this node, and entries that know the control replicas.
  std::string mTargetAddress; // "ip:port", empty: the target announces here
  std::vector<PeerAddress> mSeeds;
  // Works on without a configuration lease, see EntrySettings.
  bool mServeWithoutLease = false;
  // Load reports on a change: at most one round in this time, and this much
  // longer for each watching entry.
  Duration mReportGap = Millis(200);
  Duration mReportGapPerWatcher = Millis(40);
  // Items kept ready beyond those that run, in seconds of work.
  double mPrefetchSeconds = 2;
  Duration mMaxItemWait = Seconds(10); // without room, then back to the ledger
};

} // namespace caraway
