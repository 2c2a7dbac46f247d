// Guards callers whose request reaches an entry that has just started: it is
// served once the configuration is there, and refused as not run if that takes
// too long or the entry stops.
#define BOOST_TEST_MODULE entry_early
#include <boost/test/unit_test.hpp>

#include "entry_rig.h"

using namespace caraway;

namespace {

struct Early : EntryRig
{
  Early() { mEntry.mSettings.mServeWithoutLease = true; }

  uint64_t Ask(Duration aDeadline = Seconds(5))
  {
    ForwardRequest request;
    const uint64_t call = mNextCall++;
    request.mCall = HttpCallId(call);
    request.mId = RequestId("r" + std::to_string(call));
    request.mHost = "h";
    request.mMethod = "POST";
    request.mPath = "/look/x";
    request.mDeadline = aDeadline;
    Step(request);
    return call;
  }

  // A plan with one open route and a plain service of one target.
  void Configure()
  {
    ServingPlan plan;
    plan.mVersion = 1;
    plan.mServices.resize(1);
    plan.mServices[0].mId = ServiceId("store");
    PlanRoute route;
    route.mId = RouteId("look");
    route.mHost = "h";
    route.mPathPrefix = "/look/";
    route.mKind = CallKind::eIdempotent;
    route.mShares = { { ServiceId("store"), 1 } };
    route.mTimeout = Seconds(5);
    route.mLatencyGoal = Millis(300);
    route.mMaxAttempts = 2;
    route.mOpen = true;
    plan.mRoutes = { route };
    Target target;
    target.mId = TargetId("t");
    target.mService = ServiceId("store");
    target.mAddress = "10.0.0.1:1";
    target.mZone = ZoneId("a");
    target.mStartedAt = 1;
    Change(SetTarget{ target });
    Change(SetPlan{ plan });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(early, Early)

BOOST_AUTO_TEST_CASE(request_is_served_once_the_configuration_is_known)
{
  const uint64_t call = Ask();
  Advance(Millis(600));
  BOOST_TEST(Status(call) == 0);
  Configure();
  BOOST_REQUIRE(mTargetCalls.size() == 1u);
  // The time on hold is the caller's.
  BOOST_TEST(mTargetCalls[0].mContext.mTimeLeft.Millis() <= 4400);
}

BOOST_AUTO_TEST_CASE(request_is_refused_while_its_caller_can_still_go_elsewhere)
{
  const uint64_t patient = Ask(Seconds(5));
  const uint64_t hasty = Ask(Millis(900));
  Advance(Millis(350));
  BOOST_TEST(Status(hasty) == 503);
  BOOST_TEST(Status(patient) == 0);
  Advance(Millis(1300));
  BOOST_TEST(Status(patient) == 503);
  Configure();
  BOOST_TEST(mTargetCalls.empty()); // what was refused never runs
}

BOOST_AUTO_TEST_CASE(request_of_a_caller_that_left_does_not_run)
{
  const uint64_t call = Ask();
  Step(HttpClosed{ HttpCallId(call) });
  Configure();
  BOOST_TEST(mTargetCalls.empty());
}

BOOST_AUTO_TEST_CASE(stop_leaves_no_request_without_an_answer)
{
  const uint64_t call = Ask(Seconds(30));
  Step(StopRequested{});
  Advance(Seconds(5));
  BOOST_TEST(Status(call) == 503);
}

BOOST_AUTO_TEST_CASE(requests_on_hold_are_bounded)
{
  uint64_t last = 0;
  for (int at = 0; at < 600; ++at) {
    last = Ask();
  }
  BOOST_TEST(mEntry.mEarly.size() <= 512u);
  BOOST_TEST(Status(last) == 503);
}

BOOST_AUTO_TEST_SUITE_END()
