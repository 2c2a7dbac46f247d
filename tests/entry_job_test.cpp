// Guards against a batch job that is refused to its caller and runs: a copy of
// the call to control is accepted after another one was refused.
#define BOOST_TEST_MODULE entry_job
#include <boost/test/unit_test.hpp>

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
    BOOST_REQUIRE(std::holds_alternative<CreateJob>(LastCall().mBody));
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
    BOOST_REQUIRE(std::holds_alternative<CreateJob>(LastCall().mBody));
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
