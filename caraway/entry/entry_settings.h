#pragma once
// Settings of the entry role. The daemon fills them from flags and environment.

#include <cstdint>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/routing/choose.h"
#include "caraway/scheduling/start_pace.h"

namespace caraway {

struct EntrySettings
{
  InstanceId mInstance; // unique, from the settings
  PeerAddress mAddress; // advertised peer address
  ZoneId mZone;
  RegionId mRegion;
  std::vector<PeerAddress> mControl; // every control replica
  uint64_t mSeed = 1;                // random source; the daemon draws it anew
  RoutePolicy mPolicy = RoutePolicy::eLeastLoaded;
  Duration mDefaultDeadline = Seconds(60);
  uint32_t mSubsetPerModel = 6; // targets watched per model or service
  double mAffinityBound = 1.25; // times the mean load
  double mSpillThreshold = 0.8; // mean local load at which other zones help
  double mRetryBudget = 0.1;    // retries per request
  uint32_t mMaxAttempts = 3;
  uint32_t mMaxActiveRequests = 4096; // more are refused
  ColdTolerance mColdTolerance;       // of targets that state a cold rate
  // Deployments without a list of control replicas: entries that know them.
  std::vector<PeerAddress> mSeeds;
  bool mFirstStart = false; // of the whole system
  // Serves on with the configuration it has when control is away. Without it,
  // keyed work is refused once the configuration lease has run out.
  bool mServeWithoutLease = false;
};

} // namespace caraway
