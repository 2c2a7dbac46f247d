#pragma once
// A serving plan: routes, services and workspaces with their keys. An operator
// replaces it as a whole under a version; the highest version is in force.

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "caraway/config/api_key.h"
#include "caraway/config/plan_route.h"

namespace caraway {

struct PlanService
{
  ServiceId mId;
  std::string mHealthPath;
  uint32_t mMaxConnections = 0; // to one target, from all callers together
  double mColdRate = 0; // requests/s that a cold target can take, 0: no limit
  Duration mColdTime;   // how long a target is cold after its start
  bool mEngine = false; // model engine: streams, slots, prefixes
};

struct PlanWorkspace
{
  WorkspaceId mId;
  std::vector<KeyDigest> mKeys;
  double mRate = 0;  // requests/s over the whole fleet, 0: no limit
  double mBurst = 0; // requests
  uint32_t mPriority = 0;
  bool mHasPriority = false; // true: mPriority overrides the route's priority
};

struct ServingPlan
{
  uint64_t mVersion = 0; // increasing, not necessarily by 1
  std::vector<PlanRoute> mRoutes;
  std::vector<PlanService> mServices;
  std::vector<PlanWorkspace> mWorkspaces;
  std::string mSource; // as the operator sent it, returned by reads
};

// eInvalidArgument if a route names an unknown service, two routes share host
// and prefix, the weights of a route add up to 0, a timeout is 0, or two
// workspaces share a key.
absl::Status
CheckPlan(const ServingPlan& aPlan);

// The route with the longest prefix among those of the host; nullptr if none.
const PlanRoute*
FindPlanRoute(const ServingPlan& aPlan,
              const std::string& aHost,
              const std::string& aPath);

const PlanRoute*
PlanRouteById(const ServingPlan& aPlan, const RouteId& aId);

const PlanService*
PlanServiceById(const ServingPlan& aPlan, const ServiceId& aId);

const PlanWorkspace*
PlanWorkspaceById(const ServingPlan& aPlan, const WorkspaceId& aId);

// Chooses the service for a request by weight. aDraw is a random number.
const ServiceId&
ChooseService(const PlanRoute& aRoute, uint64_t aDraw);

} // namespace caraway
