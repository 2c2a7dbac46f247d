// Guards against a draining target that is put back to use by a late report
// from before, once it was silent and has no record any more.
#define BOOST_TEST_MODULE control_draining_target
#include <boost/test/unit_test.hpp>

#include "tests/control_group.h"

using namespace caraway;

namespace {

const ServiceId kService("engine");

struct Group : ControlGroup
{
  Group()
  {
    ServingPlan plan;
    plan.mVersion = 1;
    plan.mServices.emplace_back().mId = kService;
    SendCall(ReplacePlan{ plan }, Seconds(2));
  }

  void See(bool aDraining, int64_t aStartedAt = 1)
  {
    Register(); // the session ends without renewals
    Target target = TargetOf("t-1", "v1", kService);
    target.mDraining = aDraining;
    target.mStartedAt = aStartedAt;
    SendCall(ReportTargets{ { target }, {} }, Millis(500));
  }

  // Nullptr if it has no record.
  const Target* Record()
  {
    const auto& targets = mLink.mReplicas[mLink.Leader().value()]
                            .mControl->mState.mConfig.mView.mTargets;
    const auto known = targets.find(TargetId("t-1"));
    return known == targets.end() ? nullptr : &known->second;
  }

  void FallSilent()
  {
    mLink.Run(Seconds(7));
    BOOST_REQUIRE(Record() == nullptr);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(late_report_of_a_draining_target_does_not_bring_it_back,
                        Group)
{
  See(false);
  BOOST_REQUIRE(Record() != nullptr);
  See(true);
  BOOST_REQUIRE(Record() != nullptr);
  BOOST_TEST(Record()->mDraining);
  FallSilent();
  See(false);
  BOOST_TEST(Record() == nullptr);
  See(true);
  BOOST_TEST(Record() == nullptr);
}

BOOST_FIXTURE_TEST_CASE(draining_target_is_used_again_once_it_has_started_anew,
                        Group)
{
  See(true);
  FallSilent();
  See(false, 2);
  BOOST_REQUIRE(Record() != nullptr);
  BOOST_TEST(!Record()->mDraining);
}

BOOST_FIXTURE_TEST_CASE(silent_target_that_did_not_drain_comes_back, Group)
{
  See(false);
  FallSilent();
  See(false);
  BOOST_TEST(Record() != nullptr);
}

BOOST_FIXTURE_TEST_CASE(new_leader_does_not_bring_it_back_either, Group)
{
  See(true);
  FallSilent();
  ChangeLeader();
  See(false);
  BOOST_TEST(Record() == nullptr);
}
