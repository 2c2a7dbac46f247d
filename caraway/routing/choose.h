#pragma once
// The choice of a target for one request.

#include <optional>
#include <vector>

#include "caraway/base/decision_log.h"
#include "caraway/base/random.h"
#include "caraway/routing/target_state.h"

namespace caraway {

enum class RoutePolicy : uint8_t
{
  eLeastLoaded, // two random choices, prefix affinity, zone first
  eRoundRobin,  // baseline
  eRandom,      // baseline
};

struct RouteCandidate
{
  InstanceId mNode;
  ZoneId mZone;
};

struct RouteQuery
{
  RequestId mRequest;     // for the log
  WorkspaceId mWorkspace; // for the log
  ZoneId mLocalZone;
  uint64_t mPrefix = 0;     // PrefixHash, 0 for none
  uint64_t mRoundRobin = 0; // calls so far; round robin only
  double mAffinityBound = 1.25;
  double mSpillThreshold = 0.8;
  RoutePolicy mPolicy = RoutePolicy::eLeastLoaded;
  std::vector<InstanceId> mExclude; // tried before
};

struct RouteChoice
{
  std::optional<InstanceId> mNode; // none: no candidate is left
  DecisionLog mLog;
};

// Candidates that failed lately are used only when no other is left.
RouteChoice
ChooseTarget(const std::vector<RouteCandidate>& aCandidates,
             const TargetStates& aStates,
             const RouteQuery& aQuery,
             MonoTime aNow,
             Random& aRandom);

} // namespace caraway
