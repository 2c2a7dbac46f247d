#pragma once
// Chooses the target of one request from the known load and failures.

#include <optional>
#include <vector>

#include "caraway/base/decision_log.h"
#include "caraway/base/random.h"
#include "caraway/routing/target_state.h"

namespace caraway {

enum class RoutePolicy : uint8_t
{
  eLeastLoaded, // power of two choices, prefix affinity, local zone
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
  uint64_t mPrefix = 0;         // PrefixHash of the prompt, 0: none
  uint64_t mRoundRobin = 0;     // calls so far, only for eRoundRobin
  double mAffinityBound = 1.25; // load that affinity may use, by the mean load
  double mSpillThreshold = 0.8; // mean load above which all zones are used
  RoutePolicy mPolicy = RoutePolicy::eLeastLoaded;
  std::vector<InstanceId> mExclude; // already tried
};

struct RouteChoice
{
  std::optional<InstanceId> mNode; // nullopt: no candidate is left
  DecisionLog mLog;
};

// Candidates that failed recently are used only when no other is left.
RouteChoice
ChooseTarget(const std::vector<RouteCandidate>& aCandidates,
             const TargetStates& aStates,
             const RouteQuery& aQuery,
             MonoTime aNow,
             Random& aRandom);

} // namespace caraway
