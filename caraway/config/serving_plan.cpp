// Validates serving plans and looks up their parts.

#include "caraway/config/serving_plan.h"

#include <algorithm>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "caraway/base/error.h"

namespace caraway {

namespace {

template<class List, class Id>
auto
FindById(const List& aList, const Id& aId) -> decltype(aList.data())
{
  auto found =
    std::find_if(aList.begin(), aList.end(), [&](const auto& aEntry) {
      return aEntry.mId == aId;
    });
  return found == aList.end() ? nullptr : &*found;
}

absl::Status
Invalid(const std::string& aWhat, std::string_view aRemedy)
{
  return MakeError(ErrorKind::eInvalidArgument, aWhat, aRemedy);
}

absl::Status
CheckRoute(const ServingPlan& aPlan, const PlanRoute& aRoute)
{
  uint64_t weights = 0;
  for (const RouteShare& share : aRoute.mShares) {
    weights += share.mWeight;
    if (PlanServiceById(aPlan, share.mService) == nullptr) {
      return Invalid(absl::StrCat("route ",
                                  aRoute.mId.mValue,
                                  " names the unknown service ",
                                  share.mService.mValue),
                     "add the service or correct the route");
    }
  }
  if (weights == 0) {
    return Invalid(
      absl::StrCat("the weights of route ", aRoute.mId.mValue, " add up to 0"),
      "give one service a weight above 0");
  }
  if (aRoute.mTimeout <= Duration{}) {
    return Invalid(
      absl::StrCat("route ", aRoute.mId.mValue, " has no timeout above 0"),
      "set the longest time that a caller may be kept waiting");
  }
  if (!aRoute.mPathPrefix.starts_with('/') ||
      !aRoute.mPathPrefix.ends_with('/')) {
    return Invalid(absl::StrCat("the prefix of route ",
                                aRoute.mId.mValue,
                                " does not begin and end with a slash"),
                   "correct the prefix");
  }
  return absl::OkStatus();
}

} // namespace

absl::Status
CheckPlan(const ServingPlan& aPlan)
{
  std::set<std::pair<std::string, std::string>> hostPrefixes;
  for (const PlanRoute& route : aPlan.mRoutes) {
    if (absl::Status status = CheckRoute(aPlan, route); !status.ok()) {
      return status;
    }
    if (!hostPrefixes.emplace(route.mHost, route.mPathPrefix).second) {
      return Invalid(absl::StrCat("two routes have the host ",
                                  route.mHost,
                                  " and the prefix ",
                                  route.mPathPrefix),
                     "remove one of them");
    }
  }
  std::set<KeyDigest> keys;
  for (const PlanWorkspace& workspace : aPlan.mWorkspaces) {
    for (const KeyDigest& key :
         std::set<KeyDigest>(workspace.mKeys.begin(), workspace.mKeys.end())) {
      if (!keys.insert(key).second) {
        return Invalid(absl::StrCat("workspace ",
                                    workspace.mId.mValue,
                                    " shares a key with another workspace"),
                       "give each workspace keys of its own");
      }
    }
  }
  return absl::OkStatus();
}

const PlanRoute*
FindPlanRoute(const ServingPlan& aPlan,
              const std::string& aHost,
              const std::string& aPath)
{
  const PlanRoute* best = nullptr;
  for (const PlanRoute& route : aPlan.mRoutes) {
    if (route.mHost == aHost && aPath.starts_with(route.mPathPrefix) &&
        (best == nullptr ||
         route.mPathPrefix.size() > best->mPathPrefix.size())) {
      best = &route;
    }
  }
  return best;
}

const PlanRoute*
PlanRouteById(const ServingPlan& aPlan, const RouteId& aId)
{
  return FindById(aPlan.mRoutes, aId);
}

const PlanService*
PlanServiceById(const ServingPlan& aPlan, const ServiceId& aId)
{
  return FindById(aPlan.mServices, aId);
}

const PlanWorkspace*
PlanWorkspaceById(const ServingPlan& aPlan, const WorkspaceId& aId)
{
  return FindById(aPlan.mWorkspaces, aId);
}

const ServiceId&
ChooseService(const PlanRoute& aRoute, uint64_t aDraw)
{
  uint64_t total = 0;
  for (const RouteShare& share : aRoute.mShares) {
    total += share.mWeight;
  }
  uint64_t remaining = total == 0 ? 0 : aDraw % total;
  for (const RouteShare& share : aRoute.mShares) {
    if (remaining < share.mWeight) {
      return share.mService;
    }
    remaining -= share.mWeight;
  }
  return aRoute.mShares.front().mService;
}

} // namespace caraway
