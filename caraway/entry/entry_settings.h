#pragma once
// Settings of the entry role, which the daemon fills from flags and environment
// variables.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "caraway/admission/overrun.h"
#include "caraway/base/ids.h"
#include "caraway/base/stop_times.h"
#include "caraway/base/time.h"
#include "caraway/rollout/exposure.h"
#include "caraway/routing/choose.h"
#include "caraway/scheduling/start_pace.h"

namespace caraway {

struct EntrySettings
{
  InstanceId mInstance; // unique in the system
  PeerAddress mAddress; // advertised peer address
  ZoneId mZone;
  RegionId mRegion;
  std::vector<PeerAddress> mControl; // all control replicas
  uint64_t mSeed = 1; // of the random generator; the daemon sets a random one
  RoutePolicy mPolicy = RoutePolicy::eLeastLoaded;
  Duration mDefaultDeadline = Seconds(60);
  uint32_t mSubsetPerModel = 6; // targets watched for each model or service
  double mAffinityBound = 1.25; // load limit of affinity, times the mean load
  // Mean load of targets in the own zone above which other zones are used.
  double mSpillThreshold = 0.8;
  double mRetryBudget = 0.1; // retries allowed per request
  uint32_t mMaxAttempts = 3;
  uint32_t mMaxActiveRequests = 4096; // further requests are refused
  // Bytes of all answers that are collected until they are whole. Beyond it,
  // large ones are passed on as they arrive.
  size_t mMaxCollectedBytes = 256 << 20;
  ColdTolerance mColdTolerance; // for targets that state a cold rate
  RateTolerance mRateTolerance; // above the contracts
  ExposureLimit mExposure;      // of versions on trial
  // Keep connections to targets open for later calls, see
  // routing/connection_pool.h.
  bool mReuseConnections = false;
  // Send requests whose prompts share parts to the same target, see
  // routing/placement.h.
  bool mPrefixLocality = false;
  // For deployments that don't list the control replicas: addresses of entries
  // to ask for them.
  std::vector<PeerAddress> mSeeds;
  bool mFirstStart = false; // first start of the whole system
  // Keep serving with the last known configuration while control is
  // unreachable. If false, requests with a key are refused once the
  // configuration lease has expired.
  bool mServeWithoutLease = false;
  // SHA-256 of the operators' token in hexadecimal; empty: none may ask.
  std::string mOperatorTokenDigest;
  Duration mStopGrace = kDefaultStopGrace; // from the request to stop to a kill
};

} // namespace caraway
