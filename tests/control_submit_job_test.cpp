// Guards against a batch job that an entry with an older configuration accepts,
// as after a freeze, and that control then runs as only that one allows: at the
// former service of its route, with a key or on a route that is gone, or above
// a lowered limit. Also against reads that such an entry still lets a removed
// key make.
#define BOOST_TEST_MODULE control_submit_job
#include <boost/test/unit_test.hpp>

#include "caraway/ledger/ledger.h"
#include "tests/control_group.h"
#include "tests/direct_fixture.h"

using namespace caraway;

namespace {

const ServiceId kFormer("engine");
const ServiceId kNew("engine-2");
constexpr uint32_t kTokens = 100; // of each job

ServingPlan
PlanOf(uint64_t aVersion, const ServiceId& aService)
{
  ServingPlan plan;
  plan.mVersion = aVersion;
  for (const ServiceId& service : { kFormer, kNew }) {
    plan.mServices.emplace_back().mId = service;
    plan.mServices.back().mEngine = true;
  }
  PlanRoute route = MakeRoute("night", CallKind::eBatch, false, 3);
  route.mShares = { { aService, 1 } };
  route.mItemLifetime = Seconds(60);
  route.mCompletionGoal = Seconds(18);
  plan.mRoutes = { route };
  for (const char* name : { "p", "other" }) {
    PlanWorkspace workspace;
    workspace.mId = WorkspaceId(name);
    workspace.mRate = 100;
    workspace.mBurst = 100;
    workspace.mKeys = { DigestOfKey(std::string("key of ") + name) };
    plan.mWorkspaces.push_back(workspace);
  }
  plan.mWorkspaces[0].mKeys.push_back(DigestOfKey("secret"));
  return plan;
}

// When control gets the next configuration.
enum class PlanTime
{
  eApplied, // before the job
  eInLog,   // it stands in the log before the job and is not applied yet
};

// Three replicas of control, and an entry that keeps the first configuration.
struct Case : ControlGroup
{
  Direct mRig;
  std::vector<CallReplyBody> mReplies;
  ControlCall mLast; // of the entry
  uint64_t mJobs = 0;
  uint64_t mOrders = 0;

  Case()
  {
    mOnMessage = [this](const Message& aMessage) {
      if (const auto* reply = std::get_if<ControlCallReply>(&aMessage)) {
        mReplies.push_back(reply->mBody);
      }
    };
    mRig.Change(SetPlan{ PlanOf(2, kFormer) });
    SendCall(ReplacePlan{ PlanOf(2, kFormer) }, Seconds(2));
    Register();
  }

  // The call that the entry sent last, as its session at the group sends it.
  ControlCall LastCall()
  {
    for (const ControlCall& call : mRig.Sent<ControlCall>()) {
      mLast = call;
    }
    ControlCall call = mLast;
    call.mEntry = InstanceId("entry-1");
    call.mEntryEpoch = mEpoch;
    return call;
  }

  void Reply(CallReplyBody aBody)
  {
    mRig.Receive(
      kControl,
      ControlCallReply{
        mLast.mGroup, mLast.mCall, mLast.mEntryEpoch, std::move(aBody) });
  }

  // Passes the last call of the entry on to the group and the reply back.
  // Returns the reply.
  CallReplyBody Pass()
  {
    SendToLeader(LastCall());
    mLink.Run(Millis(200));
    BOOST_REQUIRE(!mReplies.empty());
    Reply(mReplies.back());
    return mReplies.back();
  }

  // Submits a job at the entry and stores its items. Its last call is still to
  // be passed on. Returns the job's id.
  JobId Submit(const std::string& aKey = "secret")
  {
    JobSubmission job;
    ++mJobs;
    job.mCall = HttpCallId(1000 + mJobs);
    job.mJob = JobId("j" + std::to_string(mJobs));
    job.mHost = "h";
    job.mPath = "/night/x/y";
    job.mKey = aKey;
    job.mLines = "{}\n";
    job.mItems = { { "i1", kTokens } };
    mRig.Step(job);
    BOOST_REQUIRE(std::holds_alternative<FileReply>(Pass()));
    return job.mJob;
  }

  // Sends an order of a caller to the entry. Its call is still to be passed on.
  void Order(CallBody aBody)
  {
    ControlOrder order;
    order.mCall = HttpCallId(2000 + mOrders++);
    order.mBody = std::move(aBody);
    order.mHost = "h";
    order.mKey = "secret";
    mRig.Step(order);
  }

  void Replace(const ServingPlan& aPlan, PlanTime aTime)
  {
    SendCall(ReplacePlan{ aPlan },
             aTime == PlanTime::eApplied ? Millis(200) : Micros(1));
    mReplies.clear();
  }

  ErrorKind PassAndFail()
  {
    SendToLeader(LastCall());
    mLink.Run(Millis(200));
    // The reply to the plan may come first.
    for (const CallReplyBody& reply : mReplies) {
      if (const auto* failed = std::get_if<CallFailed>(&reply)) {
        const ErrorKind kind = failed->mKind;
        Reply(reply);
        return kind;
      }
    }
    return ErrorKind::eNone;
  }

  const ControlState& State()
  {
    return mLink.mReplicas[mLink.Leader().value()].mControl->mState;
  }

  const Job* FindJob(const JobId& aJob)
  {
    for (const auto& [id, space] : State().mLedger.mWorkspaces) {
      const auto job = space.mJobs.find(aJob);
      if (job != space.mJobs.end()) {
        return &job->second;
      }
    }
    return nullptr;
  }

  // The kind of the error that the caller of the last order got.
  ErrorKind CallerError()
  {
    BOOST_REQUIRE(!mRig.mOrders.empty());
    const auto* failed = std::get_if<CallFailed>(&mRig.mOrders.back().mBody);
    return failed == nullptr ? ErrorKind::eNone : failed->mKind;
  }
};

constexpr std::array kTimes{ PlanTime::eApplied, PlanTime::eInLog };

} // namespace

BOOST_AUTO_TEST_CASE(job_runs_at_the_service_its_route_leads_to)
{
  for (const PlanTime time : kTimes) {
    Case test;
    const JobId job = test.Submit();
    test.Replace(PlanOf(3, kNew), time);
    BOOST_TEST((test.PassAndFail() == ErrorKind::eNone));
    BOOST_REQUIRE(test.FindJob(job) != nullptr);
    BOOST_TEST(test.FindJob(job)->mModel.mValue == kNew.mValue);
    test.mLink.Run(Millis(200));
    for (LinkReplica& replica : test.mLink.mReplicas) {
      BOOST_TEST(EncodeControlState(replica.mControl->mState) ==
                 EncodeControlState(test.State()));
    }
  }
}

BOOST_AUTO_TEST_CASE(job_for_a_removed_route_is_refused_at_once)
{
  for (const PlanTime time : kTimes) {
    Case test;
    const JobId job = test.Submit();
    ServingPlan plan = PlanOf(3, kFormer);
    plan.mRoutes[0].mPathPrefix = "/day/";
    plan.mRoutes[0].mId = RouteId("day");
    test.Replace(plan, time);
    BOOST_TEST((test.PassAndFail() == ErrorKind::eNotFound));
    BOOST_TEST((test.CallerError() == ErrorKind::eNotFound));
    BOOST_TEST(test.FindJob(job) == nullptr);
  }
}

BOOST_AUTO_TEST_CASE(job_takes_the_route_that_its_path_leads_to)
{
  for (const PlanTime time : kTimes) {
    Case test;
    const JobId job = test.Submit();
    ServingPlan plan = PlanOf(3, kFormer);
    PlanRoute longer = plan.mRoutes[0];
    longer.mId = RouteId("longer");
    longer.mPathPrefix = "/night/x/";
    longer.mShares = { { kNew, 1 } };
    longer.mMaxAttempts = 7;
    plan.mRoutes.push_back(longer);
    test.Replace(plan, time);
    BOOST_TEST((test.PassAndFail() == ErrorKind::eNone));
    BOOST_REQUIRE(test.FindJob(job) != nullptr);
    BOOST_TEST((test.FindJob(job)->mRoute == longer.mId));
    BOOST_TEST(test.FindJob(job)->mModel.mValue == kNew.mValue);
    BOOST_TEST(unsigned{ test.FindJob(job)->mMaxAttempts } == 7u);
  }
}

BOOST_AUTO_TEST_CASE(job_with_a_removed_key_is_refused_at_once)
{
  for (const PlanTime time : kTimes) {
    Case test;
    const JobId job = test.Submit();
    ServingPlan plan = PlanOf(3, kFormer);
    plan.mWorkspaces[0].mKeys.pop_back();
    test.Replace(plan, time);
    BOOST_TEST((test.PassAndFail() == ErrorKind::eUnauthenticated));
    BOOST_TEST((test.CallerError() == ErrorKind::eUnauthenticated));
    BOOST_TEST(test.FindJob(job) == nullptr);
  }
}

// It is sent again by its caller, for the workspace that has the key now.
BOOST_AUTO_TEST_CASE(job_with_a_key_of_another_workspace_is_not_run)
{
  for (const PlanTime time : kTimes) {
    Case test;
    const JobId job = test.Submit();
    ServingPlan plan = PlanOf(3, kFormer);
    plan.mWorkspaces[1].mKeys.push_back(plan.mWorkspaces[0].mKeys.back());
    plan.mWorkspaces[0].mKeys.pop_back();
    test.Replace(plan, time);
    BOOST_TEST((test.PassAndFail() == ErrorKind::eOverloaded));
    BOOST_TEST(test.FindJob(job) == nullptr);
  }
}

BOOST_AUTO_TEST_CASE(job_above_a_lowered_limit_is_refused_at_once)
{
  for (const PlanTime time : kTimes) {
    Case test;
    const JobId job = test.Submit();
    ServingPlan plan = PlanOf(3, kFormer);
    plan.mRoutes[0].mMaxWaitingTokens = kTokens - 1;
    test.Replace(plan, time);
    BOOST_TEST((test.PassAndFail() == ErrorKind::eRateLimited));
    BOOST_TEST(test.FindJob(job) == nullptr);
  }
}

// Its caller may not have got the first reply.
BOOST_AUTO_TEST_CASE(accepted_job_is_acknowledged_again)
{
  Case test;
  const JobId job = test.Submit();
  const ControlCall first = test.LastCall();
  BOOST_TEST((test.PassAndFail() == ErrorKind::eNone));
  ServingPlan plan = PlanOf(3, kFormer);
  plan.mRoutes.clear();
  test.Replace(plan, PlanTime::eApplied);
  test.mLink.Run(Seconds(1));
  test.mReplies.clear();
  ControlCall again = first;
  again.mCall = 9999;
  test.SendToLeader(again);
  test.mLink.Run(Millis(200));
  BOOST_REQUIRE(test.mReplies.size() == 1u);
  BOOST_TEST(std::holds_alternative<JobReply>(test.mReplies[0]));
}

BOOST_AUTO_TEST_CASE(removed_key_ends_no_job)
{
  for (const PlanTime time : kTimes) {
    Case test;
    const JobId job = test.Submit("key of p");
    BOOST_TEST((test.PassAndFail() == ErrorKind::eNone));
    test.Order(CancelJob{ job });
    ServingPlan plan = PlanOf(3, kFormer);
    plan.mWorkspaces[0].mKeys.pop_back();
    test.Replace(plan, time);
    BOOST_TEST((test.PassAndFail() == ErrorKind::eUnauthenticated));
    BOOST_REQUIRE(test.FindJob(job) != nullptr);
    BOOST_TEST((test.FindJob(job)->mStatus == JobStatus::eInProgress));
  }
}

BOOST_AUTO_TEST_CASE(removed_key_reads_nothing)
{
  enum class KeyState
  {
    eHeld,
    eRemoved,
    eOfOther, // of another workspace now
  };
  for (const auto& [state, wanted] :
       { std::pair(KeyState::eHeld, ErrorKind::eNone),
         std::pair(KeyState::eRemoved, ErrorKind::eUnauthenticated),
         std::pair(KeyState::eOfOther, ErrorKind::eOverloaded) }) {
    Case test;
    const JobId job = test.Submit("key of p");
    BOOST_TEST((test.PassAndFail() == ErrorKind::eNone));
    ServingPlan plan = PlanOf(3, kFormer);
    if (state != KeyState::eHeld) {
      plan.mWorkspaces[0].mKeys.pop_back();
    }
    if (state == KeyState::eOfOther) {
      plan.mWorkspaces[1].mKeys.push_back(DigestOfKey("secret"));
    }
    test.Replace(plan, PlanTime::eApplied);
    ReadFile results{ OutputFileId(job) };
    results.mByCompletion = true;
    for (const CallBody& read :
         { CallBody(results), CallBody(ReadItem{ job, "i1" }) }) {
      test.mReplies.clear();
      test.Order(read);
      BOOST_TEST((test.PassAndFail() == wanted));
      if (wanted != ErrorKind::eNone) {
        BOOST_TEST((test.CallerError() == wanted));
      }
    }
  }
}

// Keys of the product's own interface.
BOOST_AUTO_TEST_CASE(unknown_key_id_reads_nothing)
{
  Case test;
  const CallerKey key = KeyId("removed");
  for (const CallBody& read : { CallBody(DescribeFile{ {}, key }),
                                CallBody(ReadFile{ {}, 0, false, key }),
                                CallBody(ListFiles{ {}, 1, key }),
                                CallBody(DescribeJob{ {}, key }),
                                CallBody(ListJobs{ {}, 1, key }) }) {
    test.mReplies.clear();
    test.SendCall(read, Millis(200));
    BOOST_REQUIRE(test.mReplies.size() == 1u);
    const auto* failed = std::get_if<CallFailed>(&test.mReplies[0]);
    BOOST_REQUIRE(failed != nullptr);
    BOOST_TEST((failed->mKind == ErrorKind::eUnauthenticated));
  }
}
