// Guards against an answer that its target broke off being relayed as complete.
// An answer without a length and without chunks ends with its connection, also
// when its target ends.
#define BOOST_TEST_MODULE entry_answer_end
#include <boost/test/unit_test.hpp>

#include "direct_fixture.h"

using namespace caraway;

namespace {

constexpr const char* kEvent = "id: 1\ndata: a\n\n";

struct EndsByClose : Direct
{
  // Sends a request, and starts an answer without a length and chunks.
  StartTargetCall BeginAnswer(const char* aRoute, uint64_t& aCall)
  {
    StartTargetCall start = StartCall(aRoute, aCall);
    BeginByClose(start);
    return start;
  }

  void BeginByClose(const StartTargetCall& aStart)
  {
    TargetCallBegan began;
    began.mCall = aStart.mCall;
    began.mStatus = 200;
    began.mEndsByClose = true;
    began.mEchoesRequestId = true;
    began.mAnsweredRequest = aStart.mContext.mRequest;
    Step(began);
  }

  void CloseConnection(const StartTargetCall& aStart)
  {
    Step(TargetCallEnded{ aStart.mCall, true });
  }

  // Reports how the address of the target responds after the end.
  void Respond(TargetReach aReach)
  {
    BOOST_REQUIRE(!mChecks.empty());
    Step(TargetChecked{ mChecks.back().mCheck, aReach });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ends_by_close, EndsByClose)

BOOST_AUTO_TEST_CASE(stream_that_ends_with_its_target_is_aborted)
{
  for (const TargetReach reach :
       { TargetReach::eRefuses, TargetReach::eSilent }) {
    uint64_t call = 0;
    const StartTargetCall start = BeginAnswer("chat", call);
    Bytes(start, kEvent);
    CloseConnection(start);
    Respond(reach);
    BOOST_TEST(mState[call] == "aborted");
    mSent.clear();
  }
}

BOOST_AUTO_TEST_CASE(plain_answer_that_ends_with_its_target_is_retried)
{
  uint64_t call = 0;
  const StartTargetCall start = BeginAnswer("look", call);
  Bytes(start, "half an ans");
  CloseConnection(start);
  BOOST_TEST(Status(call) == 0);
  Respond(TargetReach::eRefuses);
  const StartTargetCall second = GrantNext(call);
  BOOST_TEST(second.mUrl != start.mUrl);
  Begin(second, 200);
  Bytes(second, "whole");
  Step(TargetCallEnded{ second.mCall });
  BOOST_TEST(mResponses[call].mBody == "whole");
  BOOST_TEST(!mResponses[call].mEndsByClose);
}

BOOST_AUTO_TEST_CASE(answer_that_may_not_run_twice_fails_with_its_target)
{
  uint64_t call = 0;
  const StartTargetCall start = BeginAnswer("once", call);
  Bytes(start, "half an ans");
  CloseConnection(start);
  Respond(TargetReach::eRefuses);
  BOOST_TEST(Status(call) == 502);
  BOOST_TEST(mTargetCalls.size() == 1u);
}

BOOST_AUTO_TEST_CASE(end_that_is_not_known_is_not_stated_to_the_caller)
{
  uint64_t plain = 0;
  const StartTargetCall answer = BeginAnswer("once", plain);
  Bytes(answer, "answer");
  CloseConnection(answer);
  Respond(TargetReach::eAccepts);
  BOOST_TEST(Status(plain) == 200);
  BOOST_TEST(mResponses[plain].mBody == "answer");
  BOOST_TEST(mResponses[plain].mEndsByClose);
  uint64_t call = 0;
  const StartTargetCall stream = BeginAnswer("chat", call);
  Bytes(stream, kEvent);
  BOOST_TEST(mBegins[call].mEndsByClose);
  CloseConnection(stream);
  BOOST_TEST(mState[call] == "begun"); // the target is being checked
  Respond(TargetReach::eAccepts);
  BOOST_TEST(mState[call] == "ended");
  BOOST_TEST(mChunks[call] == kEvent);
}

// The caller's response has chunks since the first target's answer had, so its
// end would be stated although the second target's answer states none.
BOOST_AUTO_TEST_CASE(unknown_end_of_a_resumed_stream_aborts_a_framed_response)
{
  uint64_t call = 0;
  const StartTargetCall first = StartCall("resume", call);
  Begin(first, 200);
  Bytes(first, kEvent);
  Break(first, Outcome::eUnknown);
  const StartTargetCall second = GrantNext(call);
  BeginByClose(second);
  Bytes(second, "id: 2\ndata: b\n\n");
  CloseConnection(second);
  Respond(TargetReach::eAccepts);
  BOOST_TEST(!mBegins[call].mEndsByClose);
  BOOST_TEST(mState[call] == "aborted");
}

// Guards against a stream that breaks off and looks complete to its caller: the
// next target answers with an error, and the end of the error was passed on as
// the end of the stream.
BOOST_AUTO_TEST_CASE(error_of_the_next_target_does_not_complete_the_stream)
{
  for (const int status : { 500, 503, 504, 400, 404, 422, 204, 302 }) {
    uint64_t call = 0;
    const StartTargetCall first = StartCall("resume", call);
    Begin(first, 200);
    Bytes(first, kEvent);
    Break(first, Outcome::eUnknown);
    const StartTargetCall second = GrantNext(call);
    Begin(second, status);
    Bytes(second, "HTTP/1.1 500 Error\r\nX: y\r\n\r\nid: 2\ndata: e\n\n");
    Step(TargetCallEnded{ second.mCall });
    BOOST_TEST(mState[call] == "aborted", "status " << status);
    BOOST_TEST(mChunks[call] == kEvent);
    mSent.clear();
  }
}

BOOST_AUTO_TEST_CASE(resumed_stream_with_a_stated_end_completes_the_response)
{
  uint64_t call = 0;
  const StartTargetCall first = BeginAnswer("resume", call);
  Bytes(first, kEvent);
  CloseConnection(first);
  Respond(TargetReach::eRefuses);
  const StartTargetCall second = GrantNext(call);
  BOOST_TEST(*second.mContext.mResumeAfter == 1u);
  Begin(second, 200);
  Bytes(second, "id: 2\ndata: b\n\n");
  Step(TargetCallEnded{ second.mCall });
  BOOST_TEST(mState[call] == "ended");
}

BOOST_AUTO_TEST_CASE(caller_that_leaves_during_the_check_ends_the_request)
{
  uint64_t call = 0;
  const StartTargetCall start = BeginAnswer("once", call);
  CloseConnection(start);
  Step(HttpClosed{ HttpCallId(call) });
  Respond(TargetReach::eAccepts);
  BOOST_TEST(Status(call) == 0);
  BOOST_TEST(Sent<SlotRelease>().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
