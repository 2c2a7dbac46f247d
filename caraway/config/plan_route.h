#pragma once
// A route of a serving plan: which requests match it, how they may be run, and
// which services get them.

#include <cstdint>
#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

enum class CallKind : uint8_t
{
  eIdempotent, // may run more than once
  eOnce,       // runs at most once for each request of a caller
  eStream, // response is a stream of events; runs at most once unless resumable
  eBatch,  // submits batch jobs
};

struct RouteShare
{
  ServiceId mService;
  uint32_t mWeight = 1; // relative to the other shares
};

struct PlanRoute
{
  RouteId mId;
  std::string mHost;       // of the Host header, without a port
  std::string mPathPrefix; // begins and ends with a slash
  CallKind mKind = CallKind::eOnce;
  std::vector<RouteShare> mShares; // at least one with a weight above 0
  Duration mTimeout;               // longest time that a caller waits
  Duration mLatencyGoal;           // streams: to the first event
  Duration mGapGoal;               // streams: longest pause between events
  uint32_t mPriority = 0;          // 0 is the highest
  uint32_t mMaxAttempts = 1;       // targets that may run one request
  bool mOpen = false;              // no key needed
  bool mResumable = false;         // streams: another target may continue one
  // Batch only.
  Duration mCompletionGoal;       // all results are due this long after the
                                  // job was first sent
  Duration mItemLifetime;         // items may be abandoned after this
  uint64_t mMaxWaitingTokens = 0; // of one workspace, 0: no limit
};

// True if a request of this route may run again after an unknown outcome.
inline bool
MayRepeat(const PlanRoute& aRoute)
{
  return aRoute.mKind == CallKind::eIdempotent ||
         (aRoute.mKind == CallKind::eStream && aRoute.mResumable);
}

} // namespace caraway
