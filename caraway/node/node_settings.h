#pragma once
// Settings of the node role. The daemon fills them from command line flags and
// environment variables.

#include <cstdint>
#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/stop_times.h"
#include "caraway/base/time.h"
#include "caraway/scheduling/scheduler.h"

namespace caraway {

struct NodeSettings
{
  InstanceId mInstance; // unique name of this node
  PeerAddress mAddress; // advertised peer address
  ZoneId mZone;
  RegionId mRegion;
  std::vector<PeerAddress> mControl; // every control replica
  uint64_t mSeed = 1;
  SchedulePolicy mPolicy = SchedulePolicy::eOnlineFirst;
  uint32_t mColdLimit = 1;      // concurrent calls allowed to a cold target
  ColdTolerance mColdTolerance; // for targets that state a cold rate
  uint32_t mMaxLimit = 256;     // upper bound of the adaptive concurrency limit
  Duration mTokenGoal = Millis(74); // p95 time between tokens
  Duration mFirstTokenGoal = Millis(750);
  uint32_t mMaxOnlineQueue = 512; // queued requests; further ones are refused
  bool mTargetChecksFencing = false; // --target-fencing=checked
  // For deployments in which targets announce themselves to entries: the
  // address of this node's target, and entries to ask for the control replicas.
  std::string mTargetAddress; // "ip:port", empty: target announces to the node
  std::vector<PeerAddress> mSeeds;
  // Continues to serve without a configuration lease, see EntrySettings.
  bool mServeWithoutLease = false;
  // Minimum interval between load reports that are sent because the load
  // changed: the larger of mReportGap and mReportGapPerWatcher times the number
  // of watching entries.
  Duration mReportGap = Millis(200);
  Duration mReportGapPerWatcher = Millis(40);
  // Batch items leased ahead of those that run, in seconds of work.
  double mPrefetchSeconds = 2;
  // Items that wait longer for room are returned to the ledger.
  Duration mMaxItemWait = Seconds(10);
  bool mSlowStart = false;                 // see scheduling/slow_start.h
  bool mSpareBursts = false;               // see SchedulerSettings
  Duration mStopGrace = kDefaultStopGrace; // from the request to stop to a kill
};

} // namespace caraway
