// Guards against a control state that grows with each change since the group
// was founded: replicas ran out of memory, and each start took longer.
#define BOOST_TEST_MODULE control_history
#include <boost/test/unit_test.hpp>

#include "caraway/control/command.h"
#include "caraway/control/config_polls.h"
#include "caraway/wire/messages.h"

using namespace caraway;

namespace {

const MonoTime kNow{ 5000000 };
constexpr size_t kPlanBytes = 15000;
// The limit of the control state at any number of versions, in plans: the one
// in force and one of changes that follow it.
constexpr size_t kMostPlansStored = 3;

ServingPlan
PlanOf(uint64_t aVersion)
{
  ServingPlan plan;
  plan.mVersion = aVersion;
  plan.mSource =
    std::string(kPlanBytes, static_cast<char>('a' + aVersion % 26));
  PlanWorkspace workspace;
  workspace.mId = WorkspaceId("w" + std::to_string(aVersion % 3));
  plan.mWorkspaces = { workspace };
  return plan;
}

ControlState
StateAfter(uint64_t aVersions)
{
  ControlState state;
  for (uint64_t version = 1; version <= aVersions; ++version) {
    AppendChange(state.mConfig, SetPlan{ PlanOf(version) });
    AppendChange(state.mConfig,
                 SetZoneService{ ZoneId("z"), version % 2 == 0 });
  }
  return state;
}

// Polls until the holder is at the newest revision; returns the plans that it
// passed through.
std::vector<uint64_t>
PlansOnTheWay(const ConfigHistory& aHistory, ConfigView& aView)
{
  std::vector<uint64_t> plans;
  ConfigPolls polls;
  std::vector<ConfigChange> parts;
  ConfigFetch fetch;
  for (int round = 0; aView.mRevision < aHistory.mView.mRevision; ++round) {
    BOOST_REQUIRE(round < 1000);
    fetch.mHeld = aView.mRevision;
    const auto answers = HandleConfigFetch(
      polls, kNow + Seconds(round), aHistory, PeerAddress("m:1"), fetch);
    BOOST_REQUIRE(answers.size() == 1u);
    if (const auto* delta = std::get_if<ConfigDelta>(&answers[0].mMessage)) {
      for (const RevisedChange& change : delta->mChanges) {
        ApplyChange(aView, change);
      }
      aView.mRevision = delta->mTo;
    } else {
      const auto& part = std::get<ConfigSnapshotPart>(answers[0].mMessage);
      parts.insert(parts.end(), part.mChanges.begin(), part.mChanges.end());
      fetch.mSnapshotOffset = parts.size();
      fetch.mSnapshotRevision = part.mRevision;
      if (part.mLast) {
        BOOST_REQUIRE(ApplySnapshot(aView, part.mRevision, parts).ok());
      }
    }
    if (aView.mPlan &&
        (plans.empty() || plans.back() != aView.mPlan->mVersion)) {
      plans.push_back(aView.mPlan->mVersion);
    }
  }
  return plans;
}

} // namespace

BOOST_AUTO_TEST_CASE(state_is_bounded_at_any_number_of_versions)
{
  const ControlState state = StateAfter(1000);
  BOOST_TEST(EncodeControlState(state).size() <=
             kMostPlansStored * kPlanBytes + kMaxKeptChanges * 100);
}

BOOST_AUTO_TEST_CASE(a_member_that_starts_gets_the_newest_plan_only)
{
  const ControlState state = StateAfter(1000);
  ConfigView view;
  const std::vector<uint64_t> plans = PlansOnTheWay(state.mConfig, view);
  BOOST_TEST(plans == std::vector<uint64_t>{ 1000 },
             boost::test_tools::per_element());
  BOOST_TEST(ZoneInService(view, ZoneId("z")));
}

// A running member misses no change when the plans between are dropped.
BOOST_AUTO_TEST_CASE(a_member_that_is_behind_skips_replaced_plans)
{
  ControlState state = StateAfter(10);
  ConfigView view = state.mConfig.mView;
  for (uint64_t version = 11; version <= 300; ++version) {
    AppendChange(state.mConfig, SetPlan{ PlanOf(version) });
  }
  AppendChange(state.mConfig, SetZoneService{ ZoneId("z"), false });
  const std::vector<uint64_t> plans = PlansOnTheWay(state.mConfig, view);
  BOOST_TEST(plans == std::vector<uint64_t>{ 300 },
             boost::test_tools::per_element());
  BOOST_TEST(!ZoneInService(view, ZoneId("z")));
  BOOST_TEST(view.mContracts.size() == 1u);
  BOOST_TEST((view.mRevision == state.mConfig.mView.mRevision));
}

// The bound of the kept changes survives a restore, so that a restored replica
// sends no deltas with gaps.
BOOST_AUTO_TEST_CASE(a_restored_history_knows_what_it_lacks)
{
  ControlState state = StateAfter(kMaxKeptChanges);
  auto restored = DecodeControlState(EncodeControlState(state));
  BOOST_REQUIRE(restored.ok());
  for (uint64_t held = 0; held <= state.mConfig.mView.mRevision.mValue;
       held += 100) {
    BOOST_TEST(HasChangesSince(state.mConfig, Revision(held)) ==
               HasChangesSince(restored->mConfig, Revision(held)));
  }
  BOOST_TEST(!HasChangesSince(state.mConfig, Revision(1)));
}
