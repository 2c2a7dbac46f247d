// Judges where streams of a service may have begun.

#include "caraway/config/stream_versions.h"

#include <algorithm>

namespace caraway {

namespace {

bool
HasShare(const PlanRoute& aRoute, const ServiceId& aService)
{
  return std::any_of(
    aRoute.mShares.begin(), aRoute.mShares.end(), [&](const RouteShare& aOne) {
      return aOne.mService == aService;
    });
}

// True if streams of the route may have begun at a service other than
// aService. A share of weight 0 counts: the service had the route before.
bool
SharesStreams(const ConfigView& aView,
              const PlanRoute& aRoute,
              const ServiceId& aService)
{
  return aRoute.mKind == CallKind::eStream && HasShare(aRoute, aService) &&
         std::any_of(aRoute.mShares.begin(),
                     aRoute.mShares.end(),
                     [&](const RouteShare& aOne) {
                       return aOne.mService != aService &&
                              aView.mVersions.contains(aOne.mService);
                     });
}

} // namespace

bool
NeedsStreamRecords(const ConfigView& aView, const ServiceId& aService)
{
  if (HasSeveralVersions(aView, aService)) {
    return true;
  }
  return aView.mPlan &&
         std::any_of(aView.mPlan->mRoutes.begin(),
                     aView.mPlan->mRoutes.end(),
                     [&](const PlanRoute& aRoute) {
                       return SharesStreams(aView, aRoute, aService);
                     });
}

Duration
LongestStream(const ConfigView& aView)
{
  Duration longest;
  if (aView.mPlan) {
    for (const PlanRoute& route : aView.mPlan->mRoutes) {
      if (route.mKind == CallKind::eStream) {
        longest = std::max(longest, route.mTimeout);
      }
    }
  }
  return longest;
}

} // namespace caraway
