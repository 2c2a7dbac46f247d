// Guards against a batch job that is refused to its caller and runs: a copy of
// the call to control is accepted after another one was refused. Also against
// orders that are held although it is known that control cannot be reached.
#define BOOST_TEST_MODULE entry_job
#include <boost/test/unit_test.hpp>

#include <set>

#include "direct_fixture.h"

using namespace caraway;

namespace {

struct Job : Direct
{
  Job()
  {
    ServingPlan plan = *mEntry.mConfig.mPlan;
    ++plan.mVersion;
    plan.mRoutes.push_back(MakeRoute("night", CallKind::eBatch, false, 3));
    plan.mRoutes.back().mItemLifetime = Seconds(60);
    Change(SetPlan{ plan });
    JobSubmission job;
    job.mCall = HttpCallId(1000);
    job.mJob = JobId("j1");
    job.mHost = "h";
    job.mPath = "/night/x";
    job.mKey = "secret";
    job.mLines = "{}\n";
    job.mItems = { { "i1", 10 } };
    mSent.clear();
    Step(job);
    // The file of the job is stored first.
    const ControlCall part = LastCall();
    Reply(part, FileReply{});
    BOOST_REQUIRE(std::holds_alternative<SubmitJob>(LastCall().mBody));
  }

  ControlCall LastCall()
  {
    ControlCall last;
    for (const auto& [to, message] : mSent) {
      if (const auto* call = std::get_if<ControlCall>(&message)) {
        last = *call;
      }
    }
    return last;
  }

  void Reply(const ControlCall& aCall, CallReplyBody aBody)
  {
    Receive(kControl,
            ControlCallReply{
              aCall.mGroup, aCall.mCall, aCall.mEntryEpoch, std::move(aBody) });
  }

  void Refuse(const ControlCall& aCall)
  {
    Reply(aCall, CallFailed{ ErrorKind::eRateLimited, "too many tokens" });
  }

  // The call is sent again, since no reply has come.
  void Resend()
  {
    mSent.clear();
    mNow = mNow + Millis(600);
    Step(Wakeup{});
    BOOST_REQUIRE(std::holds_alternative<SubmitJob>(LastCall().mBody));
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(refusal_of_the_only_copy_refuses_the_job, Job)
{
  Refuse(LastCall());
  BOOST_REQUIRE(mOrders.size() == 1u);
  BOOST_TEST(std::holds_alternative<CallFailed>(mOrders[0].mBody));
}

BOOST_FIXTURE_TEST_CASE(job_is_not_refused_while_a_copy_may_be_accepted, Job)
{
  const ControlCall call = LastCall();
  Resend();
  Refuse(call);
  BOOST_TEST(mOrders.empty());
  Reply(LastCall(), JobReply{});
  BOOST_REQUIRE(mOrders.size() == 1u);
  BOOST_TEST(std::holds_alternative<JobReply>(mOrders[0].mBody));
}

BOOST_FIXTURE_TEST_CASE(job_is_refused_once_each_copy_is, Job)
{
  Resend();
  Refuse(LastCall());
  BOOST_TEST(mOrders.empty());
  Refuse(LastCall());
  BOOST_REQUIRE(mOrders.size() == 1u);
  BOOST_TEST(std::holds_alternative<CallFailed>(mOrders[0].mBody));
}

namespace {

struct Orders : Direct
{
  uint64_t mLast = 5000;

  // Sends an order and returns its id.
  HttpCallId Order()
  {
    const HttpCallId call(++mLast);
    Step(ControlOrder{ call, ReadPlan{}, {}, {} });
    return call;
  }

  const OrderReply* ReplyTo(HttpCallId aCall)
  {
    for (const OrderReply& order : mOrders) {
      if (order.mCall == aCall) {
        return &order;
      }
    }
    return nullptr;
  }

  // No replica answers any more.
  void LoseControl(Duration aFor)
  {
    mLease = false;
    Receive(kControl, NotLeader{});
    Advance(aFor);
  }
};

} // namespace

// An election takes less than an order is held, so orders wait for its end.
BOOST_FIXTURE_TEST_CASE(order_waits_for_a_new_leader, Orders)
{
  LoseControl(Millis(500));
  const HttpCallId order = Order();
  BOOST_TEST(ReplyTo(order) == nullptr);
  Advance(Seconds(3));
  BOOST_REQUIRE(ReplyTo(order) != nullptr);
  BOOST_TEST(std::holds_alternative<CallFailed>(ReplyTo(order)->mBody));
}

BOOST_FIXTURE_TEST_CASE(order_is_refused_at_once_while_control_is_away, Orders)
{
  LoseControl(Seconds(4));
  mSent.clear();
  std::set<Duration> pauses;
  for (int round = 0; round < 20; ++round) {
    const OrderReply* reply = ReplyTo(Order());
    BOOST_REQUIRE(reply != nullptr);
    const auto* failed = std::get_if<CallFailed>(&reply->mBody);
    BOOST_REQUIRE(failed != nullptr);
    BOOST_TEST((failed->mKind == ErrorKind::eUnavailable));
    BOOST_TEST((reply->mRetryAfter >= Seconds(1)));
    BOOST_TEST((reply->mRetryAfter <= Millis(2500)));
    pauses.insert(reply->mRetryAfter);
  }
  // "Nothing was done" has to be true: no replica may have got the order.
  BOOST_TEST(Sent<ControlCall>().empty());
  BOOST_TEST(mEntry.mCalls.empty());
  BOOST_TEST(pauses.size() > 10u); // callers do not come back in one moment
  BOOST_TEST(mEntry.mMetrics.mOrdersRefused == 20u);
}

// Guards against a record that shows entries only and tells nothing of the
// group: the line names each replica and what it said last.
BOOST_FIXTURE_TEST_CASE(refusal_names_what_each_replica_said, Orders)
{
  LoseControl(Seconds(4));
  NotLeader reply;
  reply.mTerm = Term(7);
  reply.mVoters = 3;
  reply.mVotes = 1;
  Receive(kControl, reply);
  mLines.clear();
  Order();
  BOOST_REQUIRE(mLines.size() == 1u);
  std::string said;
  for (const LogField& field : mLines.front().mExtra) {
    said = field.mName == "said" ? field.mValue : said;
  }
  BOOST_TEST(said == "control:1:knows_none,votes=1/3,term=7,0ms");
}

BOOST_FIXTURE_TEST_CASE(retry_after_grows_while_control_is_away, Orders)
{
  LoseControl(Seconds(4));
  const Duration early = ReplyTo(Order())->mRetryAfter;
  Advance(Seconds(26));
  BOOST_TEST((ReplyTo(Order())->mRetryAfter > early));
}

BOOST_FIXTURE_TEST_CASE(job_is_refused_at_once_while_control_is_away, Orders)
{
  ServingPlan plan = *mEntry.mConfig.mPlan;
  ++plan.mVersion;
  plan.mRoutes.push_back(MakeRoute("night", CallKind::eBatch, false, 3));
  Change(SetPlan{ plan });
  LoseControl(Seconds(4));
  JobSubmission job;
  job.mCall = HttpCallId(1000);
  job.mJob = JobId("j1");
  job.mHost = "h";
  job.mPath = "/night/x";
  job.mKey = "secret";
  Step(job);
  const OrderReply* reply = ReplyTo(job.mCall);
  BOOST_REQUIRE(reply != nullptr);
  const auto* failed = std::get_if<CallFailed>(&reply->mBody);
  BOOST_REQUIRE(failed != nullptr);
  BOOST_TEST((failed->mKind == ErrorKind::eUnavailable));
}

BOOST_FIXTURE_TEST_CASE(orders_are_taken_again_once_a_leader_replies, Orders)
{
  LoseControl(Seconds(10));
  BOOST_REQUIRE(ReplyTo(Order()) != nullptr);
  mLease = true;
  Advance(Seconds(2));
  mSent.clear();
  const HttpCallId order = Order();
  BOOST_TEST(ReplyTo(order) == nullptr);
  BOOST_TEST(Sent<ControlCall>().size() == 1u);
}
