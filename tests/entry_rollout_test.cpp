// Guards the exposure of callers to a software version on trial, and that a
// version which was taken back, or replaced, gets no request.
#define BOOST_TEST_MODULE entry_rollout
#include <boost/test/unit_test.hpp>

#include "direct_fixture.h"

using namespace caraway;

namespace {

struct RollingOut : Direct
{
  Rollout mRollout;
  int mAtOld = 0;
  int mAtTrial = 0;

  RollingOut()
  {
    mEntry.mSettings.mExposure = { 0.1, 0, Seconds(5) };
    SetVersion("t-a1", "v1");
    SetVersion("t-a2", "v2");
    mRollout.mService = ServiceId("engine");
    mRollout.mTo = "v2";
    mRollout.mFrom = { "v1" };
    mRollout.mNumber = 7;
    mRollout.mDuration = Seconds(12);
    EnterPhase(RolloutPhase::eTrial);
  }

  void SetVersion(const char* aTarget, const char* aVersion)
  {
    Target target = mEntry.mConfig.mTargets.at(TargetId(aTarget));
    target.mVersion = aVersion;
    Change(SetTarget{ target });
  }

  void EnterPhase(RolloutPhase aPhase)
  {
    mRollout.mPhase = aPhase;
    Change(SetRollout{ mRollout });
    mSent.clear();
  }

  // Serves one request and counts where it ran.
  void Serve(int aStatus = 200)
  {
    uint64_t call = 0;
    const StartTargetCall start = StartCall("look", call);
    (start.mContext.mExpected == TargetId("t-a2") ? mAtTrial : mAtOld) += 1;
    Begin(start, aStatus);
    Step(TargetCallEnded{ start.mCall });
    Advance(Millis(10));
  }

  std::vector<RolloutReport> Reports()
  {
    mSent.clear();
    Advance(Millis(500));
    return Sent<RolloutReport>();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(rollout, RollingOut)

BOOST_AUTO_TEST_CASE(version_on_trial_gets_its_share_and_no_more)
{
  for (int request = 1; request <= 200; ++request) {
    Serve();
    BOOST_REQUIRE(mAtTrial <= 0.1 * request);
  }
  BOOST_TEST(mAtTrial >= 10);
}

BOOST_AUTO_TEST_CASE(entry_without_a_lease_uses_no_version_on_trial)
{
  for (int request = 0; request < 50; ++request) {
    Serve();
  }
  mEntry.mSession.mLeaseEnd = mNow;
  mAtTrial = 0;
  for (int request = 0; request < 50; ++request) {
    Serve();
  }
  BOOST_TEST(mAtTrial == 0);
}

BOOST_AUTO_TEST_CASE(version_is_preferred_while_the_traffic_moves)
{
  EnterPhase(RolloutPhase::eMoving);
  for (int request = 0; request < 20; ++request) {
    Serve();
  }
  BOOST_TEST(mAtOld == 0);
}

BOOST_AUTO_TEST_CASE(old_version_gets_nothing_new_once_it_drains)
{
  for (const RolloutPhase phase :
       { RolloutPhase::eDraining, RolloutPhase::eCompleted }) {
    EnterPhase(phase);
    for (int request = 0; request < 20; ++request) {
      Serve();
    }
  }
  BOOST_TEST(mAtOld == 0);
}

BOOST_AUTO_TEST_CASE(version_that_was_taken_back_gets_nothing)
{
  EnterPhase(RolloutPhase::eRolledBack);
  for (int request = 0; request < 30; ++request) {
    Serve();
  }
  BOOST_TEST(mAtTrial == 0);
}

// Its targets have not left yet when the next order comes.
BOOST_AUTO_TEST_CASE(withdrawn_version_gets_nothing_in_a_later_roll_out)
{
  for (const RolloutPhase phase : { RolloutPhase::eTrial,
                                    RolloutPhase::eMoving,
                                    RolloutPhase::eDraining,
                                    RolloutPhase::eRolledBack }) {
    mRollout.mNumber = 8;
    mRollout.mTo = "v3";
    mRollout.mFrom = { phase == RolloutPhase::eDraining ? "v0" : "v1" };
    mRollout.mWithdrawn = { "v2" };
    EnterPhase(phase);
    for (int request = 0; request < 20; ++request) {
      Serve();
    }
  }
  BOOST_TEST(mAtTrial == 0);
  BOOST_TEST(mAtOld == 80);
}

// The entry was frozen while the version was taken back and its targets left.
BOOST_AUTO_TEST_CASE(entry_that_wakes_in_an_old_phase_uses_no_trial_target)
{
  for (int request = 0; request < 50; ++request) {
    Serve();
  }
  BOOST_REQUIRE(mAtTrial > 0);
  mAtTrial = 0;
  mLease = false; // a renewal is not granted without the newer configuration
  mNow = mNow + Seconds(60);
  for (int request = 0; request < 50; ++request) {
    Serve();
  }
  BOOST_TEST(mAtTrial == 0);
}

// The evacuation leaves no target of the version; callers are served beside it,
// and the share is not made up for at once when the target is back.
BOOST_AUTO_TEST_CASE(target_on_trial_that_is_taken_out_of_service_gets_nothing)
{
  Change(SetTargetService{ TargetId("t-a2"), false });
  for (int request = 0; request < 50; ++request) {
    Serve();
  }
  BOOST_TEST(mAtTrial == 0);
  Change(SetTargetService{ TargetId("t-a2"), true });
  for (int request = 51; request <= 100; ++request) {
    Serve();
    BOOST_REQUIRE(mAtTrial <= 0.1 * request);
  }
  BOOST_TEST(mAtTrial > 0);
}

// A slot that was asked for before the verdict is granted after it.
BOOST_AUTO_TEST_CASE(grant_that_crosses_the_verdict_is_not_used)
{
  EnterPhase(RolloutPhase::eMoving);
  const uint64_t call = SendForward("look");
  const PeerAddress node = RequestedNode();
  EnterPhase(RolloutPhase::eRolledBack);
  ReplySlot(node, call, SlotState::eGranted);
  BOOST_TEST(mTargetCalls.empty());
  BOOST_TEST(GrantNext(call).mContext.mExpected.mValue == "t-a1");
}

BOOST_AUTO_TEST_CASE(reports_count_answers_by_version)
{
  for (int request = 0; request < 100; ++request) {
    Serve(request % 10 == 0 ? 404 : 200);
  }
  const std::vector<RolloutReport> reports = Reports();
  BOOST_REQUIRE(!reports.empty());
  const RolloutReport& report = reports.back();
  BOOST_TEST(report.mNumber == 7u);
  BOOST_TEST(report.mRequests == 100u);
  BOOST_TEST(report.mTrial == static_cast<uint64_t>(mAtTrial));
  BOOST_TEST(report.mCallsAtOld == 0u);
  uint64_t trial = 0;
  uint64_t beside = 0;
  for (const RouteAnswers& answers : report.mAnswers) {
    (answers.mTarget.Empty() ? beside : trial) += answers.mCounts.mAnswers;
    BOOST_TEST(answers.mCounts.mFailures == 0u); // the callers' own errors
  }
  BOOST_TEST(trial == static_cast<uint64_t>(mAtTrial));
  BOOST_TEST(beside == static_cast<uint64_t>(mAtOld));
}

BOOST_AUTO_TEST_CASE(reports_name_calls_that_still_run_at_the_old_version)
{
  uint64_t call = 0;
  const StartTargetCall start = StartCall("look", call);
  BOOST_TEST(start.mContext.mExpected.mValue == "t-a1");
  EnterPhase(RolloutPhase::eDraining);
  BOOST_TEST(Reports().back().mCallsAtOld == 1u);
  Begin(start, 200);
  Step(TargetCallEnded{ start.mCall });
  BOOST_TEST(Reports().back().mCallsAtOld == 0u);
  EnterPhase(RolloutPhase::eCompleted);
  BOOST_TEST(Reports().empty());
}

BOOST_AUTO_TEST_SUITE_END()
