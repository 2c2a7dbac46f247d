// Guards orders of roll-outs against resent and conflicting copies, and a
// roll-out that is under way against a change of leader and a loss of all
// power.
#define BOOST_TEST_MODULE control_rollout
#include <boost/test/unit_test.hpp>

#include "tests/control_group.h"

using namespace caraway;

namespace {

const ServiceId kService("engine");

struct Group : ControlGroup
{
  std::vector<CallReplyBody> mReplies;

  Group()
  {
    mOnMessage = [this](const Message& aMessage) {
      if (const auto* reply = std::get_if<ControlCallReply>(&aMessage)) {
        mReplies.push_back(reply->mBody);
      }
    };
    ServingPlan plan;
    plan.mVersion = 1;
    plan.mServices.resize(1);
    plan.mServices[0].mId = kService;
    Call(ReplacePlan{ plan });
    Call(ReportTargets{ { TargetOf("1", "v1", kService) }, {} });
    Call(ReportTargets{ { TargetOf("2", "v2", kService) }, {} });
  }

  // Registers the entry again, renews its lease and passes the targets'
  // heartbeats on, so that neither is removed while a test waits.
  void Join()
  {
    Register();
    RenewLease();
    SendToLeader(TargetsHeard{ { TargetId("1"), TargetId("2") } });
  }

  // Sends an order to the leader, as the entry. Returns its last reply.
  CallReplyBody Call(CallBody aBody)
  {
    Join();
    mReplies.clear();
    // A plan is acknowledged after 1.5 s at the latest.
    SendCall(std::move(aBody), Seconds(2));
    BOOST_REQUIRE(!mReplies.empty());
    return mReplies.back();
  }

  ErrorKind Begin(const char* aVersion, const char* aService = "engine")
  {
    const CallReplyBody reply =
      Call(BeginRollout{ ServiceId(aService), aVersion, Seconds(12) });
    const auto* failed = std::get_if<CallFailed>(&reply);
    return failed == nullptr ? ErrorKind::eNone : failed->mKind;
  }

  std::optional<Rollout> Read()
  {
    const CallReplyBody reply = Call(DescribeRollout{ kService });
    const auto* rollout = std::get_if<RolloutReply>(&reply);
    return rollout == nullptr ? std::nullopt : std::optional(rollout->mRollout);
  }

  const ConfigView& View()
  {
    return mLink.mReplicas[mLink.Leader().value()]
      .mControl->mState.mConfig.mView;
  }

  void RenewLease()
  {
    Renew renew;
    renew.mInstance = InstanceId("entry-1");
    renew.mEpoch = mEpoch;
    renew.mRevision = View().mRevision;
    renew.mLeaseLeft = Seconds(2);
    SendToLeader(renew);
  }

  // Reports answers as the only entry does, for as long as aTime or until the
  // phase is aUntil.
  void Report(uint64_t aFailuresInTen,
              Duration aTime,
              RolloutPhase aUntil = RolloutPhase::eRolledBack,
              uint64_t aCallsAtOld = 0)
  {
    const std::optional<Rollout> rollout = Read();
    BOOST_REQUIRE(rollout);
    RolloutReport report;
    report.mEntry = InstanceId("entry-1");
    report.mService = kService;
    report.mNumber = rollout->mNumber;
    report.mCallsAtOld = aCallsAtOld;
    AnswerCounts beside;
    AnswerCounts trial;
    for (const MonoTime end = mLink.mNow + aTime;
         mLink.mNow < end && View().mRollouts.at(kService).mPhase != aUntil;) {
      beside.mAnswers += 100;
      trial.mAnswers += 10;
      trial.mFailures += aFailuresInTen;
      report.mRevision = Revision(1000000); // newer than any change
      report.mAnswers = { { RouteId("chat"), {}, beside },
                          { RouteId("chat"), TargetId("2"), trial } };
      SendToLeader(report);
      RenewLease();
      SendToLeader(TargetsHeard{ { TargetId("1"), TargetId("2") } });
      mLink.Run(Millis(400));
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(order_is_carried_out_once, Group)
{
  BOOST_TEST(!Read());
  BOOST_TEST((Begin("v2") == ErrorKind::eNone));
  const std::optional<Rollout> first = Read();
  BOOST_REQUIRE(first);
  BOOST_TEST(first->mTo == "v2");
  BOOST_TEST(first->mFrom == std::vector<std::string>{ "v1" },
             boost::test_tools::per_element());
  BOOST_TEST((Begin("v2") == ErrorKind::eNone)); // resent
  BOOST_TEST(Read()->mNumber == first->mNumber);
  BOOST_TEST((Begin("v3") == ErrorKind::eConflict));
  BOOST_TEST(Read()->mTo == "v2");
}

BOOST_FIXTURE_TEST_CASE(order_for_an_unknown_service_changes_nothing, Group)
{
  BOOST_TEST((Begin("v2", "other") == ErrorKind::eNotFound));
  BOOST_TEST(!Read());
}

BOOST_FIXTURE_TEST_CASE(bad_version_is_taken_back_and_stays_so, Group)
{
  Begin("v2");
  Report(5, Seconds(2));
  BOOST_TEST((Read()->mPhase == RolloutPhase::eRolledBack));
  ChangeLeader();
  BOOST_TEST((Read()->mPhase == RolloutPhase::eRolledBack));
  BOOST_TEST((Begin("v2") == ErrorKind::eNone)); // a late copy of the order
  BOOST_TEST((Read()->mPhase == RolloutPhase::eRolledBack));
}

BOOST_FIXTURE_TEST_CASE(sound_version_completes_over_a_change_of_leader, Group)
{
  Begin("v2");
  const uint64_t number = Read()->mNumber;
  Report(0, Seconds(2));
  ChangeLeader();
  BOOST_TEST((Read()->mPhase == RolloutPhase::eTrial));
  Report(0, Seconds(14));
  BOOST_TEST((Read()->mPhase == RolloutPhase::eCompleted));
  BOOST_TEST(Read()->mNumber == number);
}

// A leader that has just been elected has no report yet; the old targets would
// be stopped under the calls that run there.
BOOST_FIXTURE_TEST_CASE(new_leader_waits_for_calls_at_the_old_version, Group)
{
  Begin("v2");
  Report(0, Seconds(12), RolloutPhase::eDraining, 1);
  BOOST_REQUIRE((Read()->mPhase == RolloutPhase::eDraining));
  ChangeLeader();
  mLink.Run(Millis(1500));
  BOOST_TEST((Read()->mPhase == RolloutPhase::eDraining));
  Report(0, Seconds(4), RolloutPhase::eCompleted, 1);
  BOOST_TEST((Read()->mPhase == RolloutPhase::eDraining));
  Report(0, Seconds(2), RolloutPhase::eCompleted, 0);
  BOOST_TEST((Read()->mPhase == RolloutPhase::eCompleted));
}

BOOST_FIXTURE_TEST_CASE(plan_that_drops_the_service_drops_its_roll_out, Group)
{
  Begin("v2");
  ServingPlan plan;
  plan.mVersion = 2;
  plan.mServices.resize(1);
  plan.mServices[0].mId = kService;
  Call(ReplacePlan{ plan });
  BOOST_TEST((Read()->mPhase == RolloutPhase::eTrial));
  plan.mVersion = 3;
  plan.mServices[0].mId = ServiceId("other");
  Call(ReplacePlan{ plan });
  BOOST_TEST(!Read());
}

BOOST_FIXTURE_TEST_CASE(acknowledged_order_outlives_a_loss_of_all_power, Group)
{
  Begin("v2");
  LosePower();
  BOOST_REQUIRE(Read());
  BOOST_TEST(Read()->mTo == "v2");
}

BOOST_FIXTURE_TEST_CASE(aborted_roll_out_is_taken_back, Group)
{
  Begin("v2");
  Call(AbortRollout{ kService });
  BOOST_TEST((Read()->mPhase == RolloutPhase::eRolledBack));
}

// The targets of the version that was taken back are still there when the next
// version is ordered; they must not count as the versions in service.
BOOST_FIXTURE_TEST_CASE(version_that_was_taken_back_stays_unused, Group)
{
  Begin("v2");
  Call(AbortRollout{ kService });
  BOOST_TEST((Begin("v3") == ErrorKind::eNone));
  const std::optional<Rollout> next = Read();
  BOOST_REQUIRE(next);
  BOOST_TEST(next->mFrom == std::vector<std::string>{ "v1" },
             boost::test_tools::per_element());
  BOOST_TEST(next->mWithdrawn == std::vector<std::string>{ "v2" },
             boost::test_tools::per_element());
  LosePower();
  BOOST_TEST(Read()->mWithdrawn.size() == 1U);
  // A new order to the version brings it back.
  Call(AbortRollout{ kService });
  BOOST_TEST((Begin("v2") == ErrorKind::eNone));
  BOOST_TEST(Read()->mWithdrawn == std::vector<std::string>{ "v3" },
             boost::test_tools::per_element());
}

// Reports of an earlier roll-out of the service are no evidence on this one.
BOOST_FIXTURE_TEST_CASE(evidence_of_another_roll_out_does_not_count, Group)
{
  Begin("v2");
  RolloutReport report;
  report.mEntry = InstanceId("entry-1");
  report.mService = kService;
  report.mNumber = Read()->mNumber + 1;
  AnswerCounts trial;
  trial.mAnswers = trial.mFailures = 100;
  report.mAnswers = { { RouteId("chat"), TargetId("2"), trial } };
  SendToLeader(report);
  mLink.Run(Seconds(1));
  BOOST_TEST((Read()->mPhase == RolloutPhase::eTrial));
}
