// Guards orders of roll-outs against resent and conflicting copies, and a
// roll-out that is under way against a change of leader and a loss of all
// power.
#define BOOST_TEST_MODULE control_rollout
#include <boost/test/unit_test.hpp>

#include "tests/control_link.h"

using namespace caraway;

namespace {

const PeerAddress kEntry("10.0.1.1:1");
const ServiceId kService("engine");

struct Group
{
  ControlLink mLink{ 3 };
  std::vector<CallReplyBody> mReplies;
  Epoch mEpoch;
  uint64_t mCalls = 0;

  Group()
  {
    mLink.StartAll();
    BOOST_REQUIRE(mLink.AwaitLeader());
    mLink.mPeers[kEntry] = [this](const PeerAddress&, const Message& aMessage) {
      if (const auto* reply = std::get_if<ControlCallReply>(&aMessage)) {
        mReplies.push_back(reply->mBody);
      } else if (const auto* session = std::get_if<RegisterReply>(&aMessage)) {
        mEpoch = session->mEpoch;
      }
    };
    Join();
    ServingPlan plan;
    plan.mVersion = 1;
    plan.mServices.resize(1);
    plan.mServices[0].mId = kService;
    Call(ReplacePlan{ plan });
    AddTarget("1", "v1");
    AddTarget("2", "v2");
  }

  // Registers the entry again and passes the targets' heartbeats on, so that
  // neither is removed while a test waits.
  void Join()
  {
    Register entry;
    entry.mMember.mInstance = InstanceId("entry-1");
    entry.mMember.mIncarnation = 1;
    entry.mMember.mAddress = kEntry;
    mEpoch = {};
    mLink.SendFrom(kEntry, LeaderAddress(), entry);
    mLink.SendFrom(kEntry,
                   LeaderAddress(),
                   TargetsHeard{ { TargetId("1"), TargetId("2") } });
    mLink.Run(Millis(200));
    BOOST_REQUIRE(!mEpoch.IsNone());
  }

  PeerAddress LeaderAddress()
  {
    return ControlLink::AddressOf(mLink.Leader().value());
  }

  // Sends an order to the leader, as the entry. Returns its last reply.
  CallReplyBody Call(CallBody aBody)
  {
    Join();
    ControlCall call;
    call.mCall = ++mCalls;
    call.mEntry = InstanceId("entry-1");
    call.mEntryEpoch = mEpoch;
    call.mBody = std::move(aBody);
    mReplies.clear();
    mLink.SendFrom(kEntry, LeaderAddress(), std::move(call));
    mLink.Run(Seconds(2)); // a plan is acknowledged after 1.5 s at the latest
    BOOST_REQUIRE(!mReplies.empty());
    return mReplies.back();
  }

  void AddTarget(const char* aId, const char* aVersion)
  {
    Target target;
    target.mId = TargetId(aId);
    target.mService = kService;
    target.mAddress = std::string("10.0.2.1:") + aId;
    target.mVersion = aVersion;
    target.mStartedAt = 1;
    Call(ReportTargets{ { target }, {} });
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

  // Reports answers as the only entry does, for as long as aTime.
  void Report(uint64_t aFailuresInTen, Duration aTime)
  {
    const std::optional<Rollout> rollout = Read();
    BOOST_REQUIRE(rollout);
    RolloutReport report;
    report.mEntry = InstanceId("entry-1");
    report.mService = kService;
    report.mNumber = rollout->mNumber;
    AnswerCounts beside;
    AnswerCounts trial;
    for (const MonoTime end = mLink.mNow + aTime; mLink.mNow < end;) {
      beside.mAnswers += 100;
      trial.mAnswers += 10;
      trial.mFailures += aFailuresInTen;
      report.mRevision = Revision(1000000); // newer than any change
      report.mAnswers = { { RouteId("chat"), {}, beside },
                          { RouteId("chat"), TargetId("2"), trial } };
      mLink.SendFrom(kEntry, LeaderAddress(), report);
      mLink.SendFrom(kEntry,
                     LeaderAddress(),
                     TargetsHeard{ { TargetId("1"), TargetId("2") } });
      mLink.Run(Millis(400));
    }
  }

  void ChangeLeader()
  {
    mLink.Kill(mLink.Leader().value());
    BOOST_REQUIRE(mLink.AwaitLeader());
    mLink.Run(Millis(200));
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

BOOST_FIXTURE_TEST_CASE(acknowledged_order_outlives_a_loss_of_all_power, Group)
{
  Begin("v2");
  for (size_t at = 0; at < mLink.mReplicas.size(); ++at) {
    mLink.Kill(at);
  }
  mLink.StartAll();
  BOOST_REQUIRE(mLink.AwaitLeader());
  mLink.Run(Millis(200));
  BOOST_REQUIRE(Read());
  BOOST_TEST(Read()->mTo == "v2");
}

BOOST_FIXTURE_TEST_CASE(aborted_roll_out_is_taken_back, Group)
{
  Begin("v2");
  Call(AbortRollout{ kService });
  BOOST_TEST((Read()->mPhase == RolloutPhase::eRolledBack));
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
  mLink.SendFrom(kEntry, LeaderAddress(), report);
  mLink.Run(Seconds(1));
  BOOST_TEST((Read()->mPhase == RolloutPhase::eTrial));
}
