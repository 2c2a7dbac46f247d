// Guards against callers that are left with 502 or 504 for requests that have
// not run, so that they may not send unsafe ones again, and against refusals
// that come when no time is left to return.
#define BOOST_TEST_MODULE refusal_not_run
#include <boost/test/unit_test.hpp>

#include "direct_fixture.h"

#include "caraway/entry/error_body.h"
#include "caraway/refusal/not_run.h"
#include "caraway/refusal/slot_search.h"

using namespace caraway;

namespace {

// A request of 5 s that was received at 1 s.
UnstartedRequest
Waiting(bool aCallerReturns, Duration aUsualAnswer = {})
{
  UnstartedRequest request;
  request.mReceivedAt = MonoTime{ 1000000 };
  request.mDeadline = request.mReceivedAt + Seconds(5);
  request.mUsualAnswer = aUsualAnswer;
  request.mCallerReturns = aCallerReturns;
  return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(no_kind_of_a_request_that_has_not_run_leaves_that_open)
{
  for (const ErrorKind kind : { ErrorKind::eTimeout,
                                ErrorKind::eTargetFailed,
                                ErrorKind::eOutcomeUnknown,
                                ErrorKind::eUnavailable,
                                ErrorKind::eOverloaded }) {
    BOOST_TEST(HttpStatusOf(KindForCaller(kind, Outcome::eNotRun)) == 503);
    BOOST_TEST((KindForCaller(kind, Outcome::eUnknown) == kind));
    BOOST_TEST((KindForCaller(kind, Outcome::eRan) == kind));
  }
  for (const ErrorKind kind : { ErrorKind::eRateLimited,
                                ErrorKind::eNotFound,
                                ErrorKind::eUnauthenticated }) {
    BOOST_TEST((KindForCaller(kind, Outcome::eNotRun) == kind));
  }
}

BOOST_AUTO_TEST_CASE(caller_that_returns_keeps_a_third_of_its_time)
{
  const MonoTime received{ 1000000 };
  BOOST_TEST((RefuseUnstartedAt(Waiting(true)) - received).Millis() == 3333);
  // An answer that takes longer than that third can't come in time.
  BOOST_TEST(
    (RefuseUnstartedAt(Waiting(true, Seconds(2))) - received).Millis() == 3000);
}

BOOST_AUTO_TEST_CASE(caller_that_does_not_return_waits_while_an_answer_helps)
{
  const MonoTime received{ 1000000 };
  BOOST_TEST((RefuseUnstartedAt(Waiting(false)) - received).Millis() == 5000);
  BOOST_TEST(
    (RefuseUnstartedAt(Waiting(false, Millis(400))) - received).Millis() ==
    4600);
  // Never before it was received.
  BOOST_TEST(
    (RefuseUnstartedAt(Waiting(false, Seconds(9))) - received).Millis() == 0);
}

BOOST_AUTO_TEST_CASE(known_free_places_are_asked_before_a_refusal)
{
  BOOST_TEST(MayAskAnother({ 2, 0, false }));
  BOOST_TEST(!MayAskAnother({ 3, 0, false }));
  BOOST_TEST(MayAskAnother({ 3, 1, false }));
  BOOST_TEST(!MayAskAnother({ 6, 6, false }));
  BOOST_TEST(MayAskAnother({ 7, 0, true }));
  BOOST_TEST(!MayAskAnother({ 8, 0, true }));
}

BOOST_FIXTURE_TEST_SUITE(entry, Direct)

// The load of a burst: the nodes asked first have filled up since their last
// reports, and another target has places.
BOOST_AUTO_TEST_CASE(no_request_is_refused_while_a_place_is_known)
{
  for (const char* name : { "a3", "a4", "a5" }) {
    Target target;
    target.mId = TargetId(std::string("t-") + name);
    target.mService = ServiceId("engine");
    target.mAddress = std::string("10.0.0.1:") + name[1];
    target.mZone = ZoneId("a");
    target.mSlots = 8;
    target.mStartedAt = 1;
    Change(SetTarget{ target });
    AddNode(name, 10 + name[1]);
  }
  for (const char digit : { '1', '2', '3', '4', '5' }) {
    LoadReport report;
    report.mNode = InstanceId(std::string("a") + digit);
    report.mNodeEpoch = Epoch(10 + digit);
    report.mLimit = 8;
    Receive(PeerAddress(std::string("a") + digit), report);
  }
  mSent.clear();
  const uint64_t call = SendForward("once");
  for (int refused = 0; refused < 4; ++refused) {
    BOOST_TEST(Status(call) == 0);
    const PeerAddress node = RequestedNode();
    BOOST_REQUIRE(!node.Empty());
    SlotReply reply;
    reply.mRequest = RequestId("r" + std::to_string(call));
    reply.mState = SlotState::eRefused;
    reply.mRunning = reply.mLimit = 8;
    Receive(node, reply);
  }
  ReplySlot(RequestedNode(), call, SlotState::eGranted);
  BOOST_TEST(mTargetCalls.size() == 1u);
}

// The load after a loss of machines: places are promised by nodes of which
// nothing is heard again.
BOOST_AUTO_TEST_CASE(waiting_request_is_refused_while_its_caller_can_return)
{
  const uint64_t call = SendForward("once");
  const PeerAddress first = RequestedNode();
  ReplySlot(first, call, SlotState::eQueued, Millis(50));
  ReplySlot(RequestedNode(), call, SlotState::eQueued, Millis(50));
  Advance(Millis(3300));
  BOOST_TEST(Status(call) == 0);
  Advance(Millis(100));
  BOOST_TEST(Status(call) == 503);
  BOOST_TEST(ErrorField(call, "outcome") == "not_run");
  BOOST_TEST(!HeaderOf(call, "Retry-After").empty());
  BOOST_TEST(Sent<SlotRelease>().size() == 2u);
  BOOST_TEST(mTargetCalls.empty());
}

BOOST_AUTO_TEST_CASE(unsent_call_at_the_deadline_is_refused_as_not_run)
{
  const uint64_t call = SendForward("once");
  mEntry.mRequests.begin()->second.mDeadline = mNow + Millis(100);
  ReplySlot(RequestedNode(), call, SlotState::eGranted);
  BOOST_REQUIRE(mTargetCalls.size() == 1u); // nothing of it is sent
  Advance(Millis(300));
  BOOST_TEST(Status(call) == 503);
  BOOST_TEST(ErrorField(call, "outcome") == "not_run");
  BOOST_TEST(!HeaderOf(call, "Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(sent_call_at_the_deadline_promises_nothing)
{
  uint64_t call = 0;
  StartCall("once", call);
  Advance(Millis(5100));
  BOOST_TEST(Status(call) == 504);
  BOOST_TEST(ErrorField(call, "outcome") == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()
