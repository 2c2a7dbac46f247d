// Tests the entry's part against input that crashes targets. Guards against
// such input reaching one target after the other, against sound input that is
// blamed or blocked, and against streams that look complete although their
// target ended.
#define BOOST_TEST_MODULE entry_input_block
#include <boost/test/unit_test.hpp>

#include "direct_fixture.h"

using namespace caraway;

namespace {

const InputPartId kShared(1);
const InputPartId kPoison(2);

struct Blocks : Direct
{
  Blocks() { mPromptParts = { kShared, kPoison }; }

  void Block(const InputParts& aParts, const char* aWorkspace = "")
  {
    InputBlock block;
    block.mParts = aParts;
    block.mWorkspace = WorkspaceId(aWorkspace);
    block.mId = InputBlockIdOf(block.mParts, block.mWorkspace);
    block.mCrashes = 3;
    Change(SetInputBlock{ block });
  }

  void FinishCheck(TargetReach aReach)
  {
    BOOST_REQUIRE(!mChecks.empty());
    Step(TargetChecked{ mChecks.back().mCheck, aReach });
    mNow = mNow + Millis(30);
    Step(Wakeup{});
  }

  void Answer(const StartTargetCall& aCall)
  {
    Begin(aCall, 200);
    Bytes(aCall, "id: 1\ndata: a\n\n");
    mNow = mNow + kAnswerSettles;
    Bytes(aCall, "id: 2\ndata: b\n\n");
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(blocks, Blocks)

BOOST_AUTO_TEST_CASE(call_that_breaks_unanswered_is_reported_with_its_parts)
{
  uint64_t call = 0;
  const StartTargetCall start = StartCall("chat", call);
  Begin(start, 200);
  Break(start, Outcome::eUnknown);
  FinishCheck(TargetReach::eRefuses);
  const auto reports = Sent<CrashReport>();
  BOOST_REQUIRE(reports.size() == 1u);
  BOOST_TEST(reports[0].mConfirmed);
  BOOST_TEST(reports[0].mStartedAt == 1);
  BOOST_REQUIRE(reports[0].mSuspects.size() == 1u);
  const InputParts& parts = reports[0].mSuspects[0].mParts;
  BOOST_TEST(parts.size() == 3u); // and the whole input
  BOOST_TEST((parts[1] == kPoison));
}

BOOST_AUTO_TEST_CASE(lost_connection_to_a_running_target_is_no_evidence)
{
  uint64_t call = 0;
  Break(StartCall("chat", call), Outcome::eUnknown);
  FinishCheck(TargetReach::eAccepts);
  for (const CrashReport& report : Sent<CrashReport>()) {
    BOOST_TEST(!report.mConfirmed);
  }
}

BOOST_AUTO_TEST_CASE(call_that_was_answered_is_no_suspect)
{
  uint64_t call = 0;
  const StartTargetCall start = StartCall("chat", call);
  Answer(start);
  Break(start, Outcome::eUnknown);
  BOOST_TEST(mChecks.empty());
}

BOOST_AUTO_TEST_CASE(
  report_is_sent_again_until_acknowledged_and_to_a_new_leader)
{
  uint64_t call = 0;
  Break(StartCall("chat", call), Outcome::eUnknown);
  FinishCheck(TargetReach::eRefuses);
  mSent.clear();
  mNow = mNow + Millis(400);
  Step(Wakeup{});
  auto again = Sent<CrashReport>();
  BOOST_REQUIRE(again.size() == 1u);
  Receive(kControl, CrashReportAck{ again[0].mNumber });
  mSent.clear();
  mNow = mNow + Millis(400);
  Step(Wakeup{});
  BOOST_TEST(Sent<CrashReport>().empty());
  const PeerAddress next("control:2");
  Receive(next, Leading{ Term(9) });
  RenewReply reply;
  reply.mInstance = mEntry.mSettings.mInstance;
  reply.mEpoch = mEntry.mSession.mEpoch;
  Receive(next, reply);
  size_t toNext = 0;
  for (const auto& [to, message] : mSent) {
    toNext += to == next && std::holds_alternative<CrashReport>(message);
  }
  BOOST_TEST(toNext == 1u);
}

BOOST_AUTO_TEST_CASE(blocked_input_is_refused_for_good_and_reaches_no_target)
{
  Block({ kPoison });
  const uint64_t call = SendForward("chat");
  BOOST_TEST(Status(call) == 400); // callers do not send it again
  BOOST_TEST(HeaderOf(call, "Retry-After").empty());
  BOOST_TEST(mResponses[call].mBody.find("input_blocked") != std::string::npos);
  BOOST_TEST(mResponses[call].mBody.find("not_run") != std::string::npos);
  BOOST_TEST(mTargetCalls.empty());
  BOOST_TEST(Sent<SlotRequest>().empty());
  BOOST_TEST(mEntry.mMetrics.mFailures["input_blocked"] == 1u);
}

BOOST_AUTO_TEST_CASE(sound_requests_of_the_same_key_and_first_part_are_served)
{
  Block({ kPoison });
  mPromptParts = { kShared };
  uint64_t call = 0;
  Answer(StartCall("chat", call));
  BOOST_TEST(mState[call] == "begun");
}

// Sound requests of the same path would clear the one that crashes targets.
BOOST_AUTO_TEST_CASE(requests_with_other_queries_are_other_inputs)
{
  mPromptParts = {};
  Block({ WholeInput("POST", "/look/x?q=1", "body") });
  for (const auto& [query, status] : { std::pair("q=1", 400),
                                       std::pair("q=2", 0),
                                       std::pair("q=1&r", 0),
                                       std::pair("", 0) }) {
    mQuery = query;
    BOOST_TEST(Status(SendForward("look")) == status, query);
  }
}

BOOST_AUTO_TEST_CASE(block_of_another_workspace_does_not_apply)
{
  Block({ kPoison }, "other");
  uint64_t call = 0;
  Answer(StartCall("chat", call));
  BOOST_TEST(mState[call] == "begun");
}

BOOST_AUTO_TEST_CASE(lifted_block_lets_requests_pass)
{
  Block({ kPoison });
  Change(RemoveInputBlock{ InputBlockIdOf({ kPoison }, {}) });
  uint64_t call = 0;
  Answer(StartCall("chat", call));
  BOOST_TEST(mState[call] == "begun");
}

// Waiting requests would end one more target each.
BOOST_AUTO_TEST_CASE(block_ends_requests_that_wait_and_not_those_being_answered)
{
  uint64_t answered = 0;
  Answer(StartCall("chat", answered));
  uint64_t waiting = 0;
  const StartTargetCall start = StartCall("chat", waiting);
  const uint64_t queued = SendForward("chat");
  Block({ kPoison });
  BOOST_TEST(mState[answered] == "begun");
  BOOST_TEST(Status(waiting) == 400);
  BOOST_TEST((mCancelled.back() == start.mCall));
  BOOST_TEST(mResponses[waiting].mBody.find("unknown") != std::string::npos);
  BOOST_TEST(Status(queued) == 400);
  BOOST_TEST(mResponses[queued].mBody.find("not_run") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(leader_is_told_when_suspected_parts_are_answered)
{
  uint64_t call = 0;
  Answer(StartCall("chat", call));
  mNow = mNow + Millis(50);
  Receive(kControl, SuspectQuery{ { kShared, InputPartId(77) } });
  auto told = Sent<StartedParts>();
  BOOST_REQUIRE(told.size() == 1u);
  BOOST_TEST(told[0].mAsked.size() == 2u);
  BOOST_REQUIRE(told[0].mParts.size() == 1u);
  BOOST_TEST((told[0].mParts[0].mPart == kShared));
  BOOST_TEST(told[0].mParts[0].mAge.Millis() == 50);
  mSent.clear();
  Answer(StartCall("chat", call));
  told = Sent<StartedParts>();
  BOOST_REQUIRE(told.size() == 1u);
  BOOST_TEST((told[0].mParts[0].mPart == kShared));
}

// With three attempts allowed, the third target would end as well.
BOOST_AUTO_TEST_CASE(request_that_broke_twice_unanswered_is_not_sent_on)
{
  ServingPlan plan = *mEntry.mConfig.mPlan;
  ++plan.mVersion;
  for (PlanRoute& route : plan.mRoutes) {
    route.mMaxAttempts = 5;
  }
  Change(SetPlan{ plan });
  uint64_t call = 0;
  Break(StartCall("look", call), Outcome::eUnknown);
  Break(GrantNext(call), Outcome::eUnknown);
  BOOST_TEST(Status(call) == 502);
}

BOOST_AUTO_TEST_CASE(stream_that_ends_inside_an_event_is_broken_off)
{
  uint64_t call = 0;
  const StartTargetCall start = StartCall("chat", call);
  Begin(start, 200);
  Bytes(start, "id: 1\ndata: a\n\nid: 2\nda");
  Step(TargetCallEnded{ start.mCall, true });
  BOOST_TEST(mState[call] == "aborted");
  BOOST_TEST(mChunks[call] == "id: 1\ndata: a\n\n");
}

BOOST_AUTO_TEST_CASE(resumable_stream_that_ends_inside_an_event_is_resumed)
{
  uint64_t call = 0;
  const StartTargetCall first = StartCall("resume", call);
  Begin(first, 200);
  Bytes(first, "id: 1\ndata: a\n\nid: 2\nda");
  Step(TargetCallEnded{ first.mCall, true });
  const StartTargetCall second = GrantNext(call);
  BOOST_TEST(*second.mContext.mResumeAfter == 1u);
  Begin(second, 200);
  Bytes(second, "id: 2\ndata: b\n\n");
  Step(TargetCallEnded{ second.mCall });
  BOOST_TEST(mState[call] == "ended");
  BOOST_TEST(mChunks[call] == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(
  stream_without_length_that_closes_before_an_event_is_broken)
{
  uint64_t call = 0;
  const StartTargetCall start = StartCall("chat", call);
  Begin(start, 200);
  Step(TargetCallEnded{ start.mCall, true });
  BOOST_TEST(Status(call) == 502);
  BOOST_TEST(mChecks.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
