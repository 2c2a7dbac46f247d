// Tests requests that reach an entry before its first configuration: they are
// held and served once it arrives, and refused as not run if that takes too
// long or the entry is stopped.
#define BOOST_TEST_MODULE entry_early
#include <boost/test/unit_test.hpp>

#include "entry_rig.h"

using namespace caraway;

namespace {

struct Early : EntryRig
{
  Early() { mEntry.mSettings.mServeWithoutLease = true; }

  uint64_t SendForward(Duration aDeadline = Seconds(5))
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

  // Applies a plan with one open route to a plain service with one target.
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
    PlanWorkspace workspace;
    workspace.mId = WorkspaceId("p");
    workspace.mKeys = { DigestOfKey("secret") };
    plan.mWorkspaces = { workspace };
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

// The entry has started, and no leader has confirmed its copy yet.
struct Unconfirmed : Early
{
  Unconfirmed()
  {
    mEntry.mSession = EntrySession{};
    mEntry.mSession.mLeader = kControl;
    mLease = false;
    Step(Wakeup{});
  }

  // The leader replies again; the entry renews.
  void ConfirmCopy()
  {
    mLease = true;
    Advance(Millis(500));
  }

  int Ready()
  {
    const HttpCallId call(mNextCall++);
    Step(ReadyQuery{ call });
    return Status(call.mValue);
  }

  HttpCallId SubmitJob()
  {
    JobSubmission job;
    job.mCall = HttpCallId(mNextCall++);
    job.mJob = JobId("job-1");
    job.mHost = "h";
    job.mPath = "/look/x";
    job.mKey = "secret";
    Step(job);
    return job.mCall;
  }

  // The error kind of the reply to an order; eNone if it has none.
  ErrorKind OrderError(HttpCallId aCall) const
  {
    for (const OrderReply& reply : mOrders) {
      const auto* failed = std::get_if<CallFailed>(&reply.mBody);
      if (reply.mCall == aCall && failed != nullptr) {
        return failed->mKind;
      }
    }
    return ErrorKind::eNone;
  }
};

} // namespace

// Guards against requests that are decided by a copy which nobody has
// confirmed: it may be older than what was acknowledged before the entry
// started.
BOOST_FIXTURE_TEST_CASE(request_waits_until_the_copy_is_confirmed, Unconfirmed)
{
  const uint64_t call = SendForward();
  Configure();
  BOOST_TEST(mTargetCalls.empty());
  BOOST_TEST(Status(call) == 0);
  ConfirmCopy();
  BOOST_TEST(mTargetCalls.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(unconfirmed_copy_is_refused_in_time, Unconfirmed)
{
  Configure();
  const uint64_t call = SendForward(Millis(900));
  Advance(Millis(350));
  BOOST_TEST(Status(call) == 503);
  BOOST_TEST(!HeaderOf(call, "Retry-After").empty());
  ConfirmCopy();
  BOOST_TEST(mTargetCalls.empty());
}

BOOST_FIXTURE_TEST_CASE(entry_is_ready_once_its_copy_is_confirmed, Unconfirmed)
{
  Configure();
  BOOST_TEST(Ready() == 503);
  ConfirmCopy();
  BOOST_TEST(Ready() == 200);
  // From then on it goes on without control.
  mLease = false;
  Advance(Seconds(10));
  BOOST_TEST(Ready() == 200);
}

BOOST_FIXTURE_TEST_CASE(jobs_and_orders_are_not_decided_by_an_unconfirmed_copy,
                        Unconfirmed)
{
  Configure();
  BOOST_TEST((OrderError(SubmitJob()) == ErrorKind::eUnavailable));
  ControlOrder read;
  read.mCall = HttpCallId(mNextCall++);
  read.mBody = ReadFile{};
  read.mHost = "h";
  read.mKey = "secret"; // may have been dropped since
  Step(read);
  BOOST_TEST((OrderError(read.mCall) == ErrorKind::eUnavailable));
  BOOST_TEST(Sent<ControlCall>().empty());
  ConfirmCopy();
  // Now the copy decides.
  BOOST_TEST((OrderError(SubmitJob()) == ErrorKind::eNotFound));
  Step(read);
  BOOST_TEST(Sent<ControlCall>().size() == 1u);
}

BOOST_FIXTURE_TEST_SUITE(early, Early)

BOOST_AUTO_TEST_CASE(held_request_is_served_once_the_configuration_is_known)
{
  const uint64_t call = SendForward();
  Advance(Millis(600));
  BOOST_TEST(Status(call) == 0);
  Configure();
  BOOST_REQUIRE(mTargetCalls.size() == 1u);
  // The time on hold counts against the caller's deadline.
  BOOST_TEST(mTargetCalls[0].mContext.mTimeLeft.Millis() <= 4400);
}

BOOST_AUTO_TEST_CASE(held_request_is_refused_in_time_for_a_retry)
{
  const uint64_t patient = SendForward(Seconds(5));
  const uint64_t hasty = SendForward(Millis(900));
  Advance(Millis(350));
  BOOST_TEST(Status(hasty) == 503);
  BOOST_TEST(Status(patient) == 0);
  Advance(Millis(1300));
  BOOST_TEST(Status(patient) == 503);
  Configure();
  BOOST_TEST(mTargetCalls.empty()); // refused requests never run
}

BOOST_AUTO_TEST_CASE(held_request_of_a_disconnected_caller_does_not_run)
{
  const uint64_t call = SendForward();
  Step(HttpClosed{ HttpCallId(call) });
  Configure();
  BOOST_TEST(mTargetCalls.empty());
}

BOOST_AUTO_TEST_CASE(drain_answers_every_held_request)
{
  const uint64_t call = SendForward(Seconds(30));
  Step(StopRequested{});
  Advance(Seconds(5));
  BOOST_TEST(Status(call) == 503);
}

BOOST_AUTO_TEST_CASE(number_of_held_requests_is_bounded)
{
  uint64_t last = 0;
  for (int at = 0; at < 600; ++at) {
    last = SendForward();
  }
  BOOST_TEST(mEntry.mEarlyRequests.size() <= 512u);
  BOOST_TEST(Status(last) == 503);
}

BOOST_AUTO_TEST_SUITE_END()
