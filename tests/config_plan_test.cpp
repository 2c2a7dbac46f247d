// Tests serving plans: invalid plans are refused, the longest prefix wins, and
// a plan replaces everything that comes from the previous one.
#define BOOST_TEST_MODULE config_plan
#include <boost/test/unit_test.hpp>

#include "caraway/base/error.h"
#include "caraway/config/config_view.h"
#include "caraway/entry/auth.h"
#include "caraway/entry/forward.h"

using namespace caraway;

namespace {

PlanRoute
RouteTo(const char* aId, const char* aPrefix, const char* aService)
{
  PlanRoute route;
  route.mId = RouteId(aId);
  route.mHost = "h";
  route.mPathPrefix = aPrefix;
  route.mShares = { { ServiceId(aService), 1 } };
  route.mTimeout = Seconds(1);
  return route;
}

ServingPlan
Plan(uint64_t aVersion)
{
  ServingPlan plan;
  plan.mVersion = aVersion;
  plan.mServices.resize(1);
  plan.mServices[0].mId = ServiceId("s");
  plan.mRoutes = { RouteTo("r", "/a/", "s") };
  PlanWorkspace workspace;
  workspace.mId = WorkspaceId("w");
  workspace.mKeys = { DigestOfKey("key-" + std::to_string(aVersion)) };
  workspace.mRate = static_cast<double>(aVersion);
  workspace.mBurst = 10;
  plan.mWorkspaces = { workspace };
  return plan;
}

bool
IsValid(const ServingPlan& aPlan)
{
  return CheckPlan(aPlan).ok();
}

} // namespace

BOOST_AUTO_TEST_CASE(invalid_plans_are_refused)
{
  BOOST_TEST(IsValid(Plan(1)));
  ServingPlan plan = Plan(1);
  plan.mRoutes[0].mShares[0].mService = ServiceId("unknown");
  BOOST_TEST(!IsValid(plan));
  plan = Plan(1);
  plan.mRoutes.push_back(RouteTo("other", "/a/", "s"));
  BOOST_TEST(!IsValid(plan));
  plan = Plan(1);
  plan.mRoutes[0].mShares[0].mWeight = 0;
  BOOST_TEST(!IsValid(plan));
  plan = Plan(1);
  plan.mRoutes[0].mTimeout = {};
  BOOST_TEST(!IsValid(plan));
  plan = Plan(1);
  plan.mWorkspaces.push_back(plan.mWorkspaces[0]);
  plan.mWorkspaces[1].mId = WorkspaceId("other");
  BOOST_TEST(!IsValid(plan)); // two workspaces share a key
}

BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_wins)
{
  ServingPlan plan = Plan(1);
  plan.mRoutes.push_back(RouteTo("long", "/a/b/", "s"));
  plan.mRoutes.push_back(RouteTo("elsewhere", "/a/b/c/", "s"));
  plan.mRoutes.back().mHost = "other";
  BOOST_TEST(FindPlanRoute(plan, "h", "/a/b/c/d")->mId.mValue == "long");
  BOOST_TEST(FindPlanRoute(plan, "h", "/a/x")->mId.mValue == "r");
  BOOST_TEST(FindPlanRoute(plan, "h", "/a") == nullptr);
  BOOST_TEST(FindPlanRoute(plan, "unknown", "/a/x") == nullptr);
}

BOOST_AUTO_TEST_CASE(services_are_chosen_by_weight)
{
  PlanRoute route = RouteTo("r", "/a/", "s");
  route.mShares = { { ServiceId("s"), 90 }, { ServiceId("t"), 10 } };
  int second = 0;
  for (uint64_t draw = 0; draw < 1000; ++draw) {
    second += ChooseService(route, draw).mValue == "t" ? 1 : 0;
  }
  BOOST_TEST(second == 100);
}

BOOST_AUTO_TEST_CASE(plan_replaces_contracts_and_keys_of_the_former_one)
{
  ConfigView view;
  ApplyChange(view, { Revision(1), SetPlan{ Plan(3) } });
  BOOST_TEST(WorkspaceOfKey(view, "key-3").ok());
  BOOST_TEST(view.mContracts.at(WorkspaceId("w")).mRate == 3);
  ServingPlan next = Plan(5);
  next.mWorkspaces[0].mId = WorkspaceId("v");
  ApplyChange(view, { Revision(2), SetPlan{ next } });
  BOOST_TEST(!WorkspaceOfKey(view, "key-3").ok());
  BOOST_TEST(WorkspaceOfKey(view, "key-5")->mValue == "v");
  BOOST_TEST(!view.mContracts.contains(WorkspaceId("w")));
}

BOOST_AUTO_TEST_CASE(snapshot_rebuilds_plan_and_targets)
{
  ConfigView view;
  ApplyChange(view, { Revision(1), SetPlan{ Plan(3) } });
  Target target;
  target.mId = TargetId("t");
  target.mStartedAt = 7;
  ApplyChange(view, { Revision(2), SetTarget{ target } });
  ConfigView copy;
  BOOST_TEST(ApplySnapshot(
               copy, view.mRevision, SnapshotChanges(view, ConfigScope::eAll))
               .ok());
  BOOST_TEST(copy.mPlan->mVersion == 3u);
  BOOST_TEST(copy.mContracts.size() == 1u);
  BOOST_TEST((copy.mTargets.at(TargetId("t")) == target));
  ConfigView node;
  ApplySnapshot(
    node, view.mRevision, SnapshotChanges(view, ConfigScope::eNodeOnly))
    .IgnoreError();
  BOOST_TEST(!node.mPlan); // keys do not reach nodes
  BOOST_TEST(node.mTargets.size() == 1u);
}

BOOST_AUTO_TEST_CASE(only_the_recorded_start_of_a_target_is_removed)
{
  ConfigView view;
  Target target;
  target.mId = TargetId("t");
  target.mStartedAt = 7;
  ApplyChange(view, { Revision(1), SetTarget{ target } });
  ApplyChange(view, { Revision(2), RemoveTarget{ TargetId("t"), 6 } });
  BOOST_TEST(view.mTargets.size() == 1u);
  ApplyChange(view, { Revision(3), RemoveTarget{ TargetId("t"), 7 } });
  BOOST_TEST(view.mTargets.empty());
}
