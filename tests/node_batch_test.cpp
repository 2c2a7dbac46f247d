// Guards against batch items that are lost, run after their lease ended, or
// delay online work.
#define BOOST_TEST_MODULE node_batch
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "caraway/node/batch_line.h"
#include "tests/node_fixture.h"

using namespace caraway;

namespace {

// Makes a node with a limit of four ready and starts two items.
void
StartTwoItems(NodeFixture& aNode, const std::string& aCapabilities = "{}")
{
  aNode.MakeReady(aCapabilities);
  BOOST_REQUIRE(aNode.mNode.mBatch.mLeasing);
  aNode.AnswerLeaseItems(2);
  BOOST_REQUIRE_EQUAL(aNode.Started().size(), 2u);
}

void
Stream(NodeFixture& aNode, TargetCallId aCall, const char* aText)
{
  aNode.Give(
    TargetCallBegan{ aCall, 200, { { "Content-Type", "text/event-stream" } } });
  aNode.Give(TargetCallBytes{
    aCall,
    std::string(R"(data: {"id":"x","choices":[{"delta":{"content":")") + aText +
      "\"}}]}\n\n" });
}

std::vector<ItemResult>
ResultsAfterGrouping(NodeFixture& aNode)
{
  aNode.Wait(Millis(100));
  const auto sent = aNode.Sent<ItemResults>();
  BOOST_REQUIRE_EQUAL(sent.size(), 1u);
  return sent[0].mResults;
}

// The configuration takes the target's version out of use.
void
TakeBack(NodeFixture& aNode)
{
  aNode.mNode.mRecord.mService = ServiceId("engine");
  aNode.mNode.mRecord.mVersion = "v2";
  Rollout rollout;
  rollout.mService = ServiceId("engine");
  rollout.mTo = "v2";
  rollout.mPhase = RolloutPhase::eRolledBack;
  const uint64_t held = aNode.mNode.mSession.mView.mRevision.mValue;
  ConfigDelta delta;
  delta.mFrom = Revision(held);
  delta.mTo = Revision(held + 1);
  delta.mChanges = { { Revision(held + 1), SetRollout{ rollout } } };
  aNode.Hear(kTestControl, delta);
}

} // namespace

BOOST_AUTO_TEST_CASE(lease_request_is_resent_under_one_sequence)
{
  NodeFixture node(4);
  node.MakeReady();
  node.Wait(Millis(500));
  BOOST_REQUIRE_EQUAL(node.Sent<LeaseItems>().size(), 1u);
  BOOST_TEST(node.Sent<LeaseItems>()[0].mSequence == 1u);
  node.AnswerLeaseItems(2);
  BOOST_TEST(node.Started().size() == 2u);
  node.AnswerLeaseItems(2, 1); // a duplicate answer is ignored
  BOOST_TEST(node.Started().empty());
}

// A late copy of a LeaseItems request can lease items after the first copy was
// answered with none. If the node ignores them, the ledger waits for them until
// the session ends.
BOOST_AUTO_TEST_CASE(items_of_an_unexpected_answer_are_returned)
{
  NodeFixture node(4);
  node.MakeReady();
  ItemBatch none;
  none.mNodeEpoch = node.mNode.mSession.mEpoch;
  none.mSequence = node.mNode.mBatch.mLeaseSequence;
  node.Hear(kTestControl, none);
  node.Sent<ItemResults>();
  node.AnswerLeaseItems(2, none.mSequence);
  BOOST_TEST(node.Started().empty());
  const std::vector<ItemResult> results = ResultsAfterGrouping(node);
  BOOST_REQUIRE_EQUAL(results.size(), 2u);
  for (const ItemResult& result : results) {
    BOOST_TEST((result.mVerdict == ItemVerdict::eReturned));
  }
}

BOOST_AUTO_TEST_CASE(results_are_resent_until_acknowledged)
{
  NodeFixture node(4);
  StartTwoItems(node);
  const TargetCallId id = node.Started()[0].mCall;
  Stream(node, id, "he");
  node.Give(TargetCallBytes{
    id, "data: {\"choices\":[{\"delta\":{\"content\":\"y\"}}]}\n\nda" });
  node.Give(TargetCallBytes{ id, "ta: [DONE]\n\n" }); // split inside a line
  node.Give(TargetCallEnded{ id });
  const auto results = ResultsAfterGrouping(node);
  BOOST_REQUIRE_EQUAL(results.size(), 1u);
  BOOST_TEST((results[0].mVerdict == ItemVerdict::eDone));
  BOOST_TEST(results[0].mBody.find("\"content\":\"hey\"") != std::string::npos);
  BOOST_TEST(results[0].mBody.find("\"custom_id\":\"c0\"") !=
             std::string::npos);
  node.Wait(Millis(500));
  BOOST_REQUIRE_EQUAL(node.Sent<ItemResults>().size(), 1u);
  ItemResultsAck ack;
  ack.mNodeEpoch = Epoch(7);
  ack.mSequence = node.Sent<ItemResults>()[0].mSequence;
  node.Hear(kTestControl, ack);
  node.Wait(Seconds(1));
  BOOST_TEST(node.Sent<ItemResults>().empty());
}

BOOST_AUTO_TEST_CASE(stale_ack_and_revocation_cancel_remaining_items)
{
  NodeFixture node(4);
  StartTwoItems(node);
  const auto started = node.Started();
  node.Answer(started[0].mCall, "{}", 400);
  const auto results = ResultsAfterGrouping(node);
  BOOST_TEST((results[0].mVerdict == ItemVerdict::ePermanent));
  ItemResultsAck ack;
  ack.mNodeEpoch = Epoch(7);
  ack.mSequence = 1;
  ack.mStale = true;
  node.Hear(kTestControl, ack);
  BOOST_REQUIRE_EQUAL(node.Actions<CancelTargetCall>().size(), 1u);
  BOOST_TEST((node.Actions<CancelTargetCall>()[0].mCall == started[1].mCall));
  NodeFixture other(4);
  StartTwoItems(other);
  other.Hear(kTestControl, ItemsRevoked{ {}, JobId("batch_1") });
  BOOST_TEST(other.Actions<CancelTargetCall>().size() == 2u);
}

BOOST_AUTO_TEST_CASE(item_verdict_follows_the_status_of_the_answer)
{
  for (const auto& [status, verdict] : std::vector<std::pair<int, ItemVerdict>>{
         { 200, ItemVerdict::eDone },
         { 404, ItemVerdict::ePermanent },
         { 408, ItemVerdict::eRetryable },
         { 409, ItemVerdict::eRetryable },
         { 429, ItemVerdict::eRetryable },
         { 500, ItemVerdict::eRetryable } }) {
    NodeFixture node(4);
    StartTwoItems(node);
    node.Answer(node.Started()[0].mCall, "{}", status);
    BOOST_TEST((ResultsAfterGrouping(node)[0].mVerdict == verdict));
  }
}

BOOST_AUTO_TEST_CASE(truncated_stream_gives_a_retryable_result)
{
  NodeFixture node(4);
  StartTwoItems(node);
  const TargetCallId id = node.Started()[0].mCall;
  Stream(node, id, "half");
  node.Give(TargetCallEnded{ id });
  BOOST_TEST(
    (ResultsAfterGrouping(node)[0].mVerdict == ItemVerdict::eRetryable));
}

BOOST_AUTO_TEST_CASE(malformed_line_fails_permanently_without_a_target_call)
{
  BatchTask task;
  // Outside routed jobs a raw line must be rejected, since it sets its own path
  // and headers. A field of the wrong type must not end the process.
  BOOST_TEST(
    !ParseBatchLine(R"({"url":"/other","body_base64":""})", "/v1/completions")
       .ok());
  BOOST_TEST(ParseBatchLine(R"({"url":"/p/1","body_base64":""})", "host").ok());
  BOOST_TEST(
    ParseBatchLine(
      R"({"url":"/p/1","body_base64":"","custom_id":5,"tokens":-1})", "host")
      .ok());
  BOOST_TEST(!ParseBatchLine(R"({"url":7,"body_base64":""})", "host").ok());
  BOOST_TEST(!ParseBatchLine(R"({"url":"/p/1","body_base64":7})", "host").ok());
  BOOST_TEST(!ParseBatchLine("not json", "/v1/completions").ok());
  BOOST_TEST(
    !ParseBatchLine(R"({"url":"/v1/completions"})", "/v1/completions").ok());
  BOOST_TEST(
    !ParseBatchLine(R"({"url":"/other","body":{}})", "/v1/completions").ok());
  NodeFixture node(4);
  node.MakeReady();
  ItemBatch batch;
  batch.mNodeEpoch = Epoch(7);
  batch.mSequence = 1;
  batch.mJob = JobId("batch_1");
  batch.mToken = FencingToken(50);
  batch.mItems = { { 3, "{" } };
  node.Hear(kTestControl, batch);
  BOOST_TEST(node.Started().empty());
  const auto results = ResultsAfterGrouping(node);
  BOOST_TEST((results[0].mVerdict == ItemVerdict::ePermanent));
  BOOST_TEST(results[0].mIndex == 3u);
}

// Starts a raw item and its answer. Returns the call.
StartTargetCall
StartRawItem(NodeFixture& aNode,
             const char* aBytes = "id: 1\ndata: a\n\n",
             const ItemProgress& aProgress = {})
{
  aNode.MakeReady();
  ItemBatch batch;
  batch.mNodeEpoch = Epoch(7);
  batch.mSequence = 1;
  batch.mJob = JobId("batch_1");
  batch.mToken = FencingToken(50);
  batch.mEndpoint = "host";
  batch.mDeadline = batch.mWindow = Seconds(60);
  batch.mItems = {
    { 0, R"({"custom_id":"i","url":"/p/1","body_base64":""})", 0, aProgress }
  };
  aNode.Hear(kTestControl, batch);
  BOOST_REQUIRE_EQUAL(aNode.Started().size(), 1u);
  StartTargetCall call = aNode.Started()[0];
  TargetCallBegan began;
  began.mCall = call.mCall;
  began.mStatus = 200;
  began.mEchoesRequestId = true;
  began.mAnsweredRequest = RequestId("i");
  aNode.Give(began);
  aNode.Give(TargetCallBytes{ call.mCall, aBytes });
  return call;
}

bool
IsCancelled(const NodeFixture& aNode, TargetCallId aCall)
{
  const auto cancelled = aNode.Actions<CancelTargetCall>();
  return std::any_of(
    cancelled.begin(), cancelled.end(), [&](const CancelTargetCall& aOne) {
      return aOne.mCall == aCall;
    });
}

// Guards against an output that lacks a line feed: the text so far may be empty
// although events have come, and a comment is no event with data.
BOOST_AUTO_TEST_CASE(events_with_empty_data_keep_their_line_feeds)
{
  for (const bool resumed : { false, true }) {
    NodeFixture node(4);
    const StartTargetCall call = resumed
                                   ? StartRawItem(node, "", { 1, "", "/" })
                                   : StartRawItem(node, "id: 1\ndata:\n\n");
    BOOST_TEST(call.mContext.mResumeAfter.has_value() == resumed);
    for (const char* bytes : { "id: 2\ndata: one\n\n",
                               ": alive\n\n",
                               "id: 3\ndata: \n\n",
                               "id: 4\ndata: two\n\n" }) {
      node.Give(TargetCallBytes{ call.mCall, bytes });
    }
    node.Give(TargetCallEnded{ call.mCall });
    const std::vector<ItemResult> results = ResultsAfterGrouping(node);
    BOOST_REQUIRE_EQUAL(results.size(), 1u);
    BOOST_TEST(results[0].mBody.find(R"("output":"\none\n\ntwo")") !=
               std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(item_times_out_if_its_bytes_complete_no_event)
{
  NodeFixture node(4);
  const StartTargetCall call = StartRawItem(node);
  for (int at = 0; at < 20; ++at) {
    node.Give(TargetCallBytes{ call.mCall, "x" });
    node.Pass(Millis(500));
  }
  BOOST_TEST(node.mNode.mBatch.mTasks.empty()); // returned to the ledger
}

BOOST_AUTO_TEST_CASE(endless_item_answer_is_cancelled)
{
  NodeFixture node(4);
  const StartTargetCall call = StartRawItem(node);
  bool cancelled = false;
  for (int at = 0; at < 40 && !cancelled; ++at) {
    node.Give(TargetCallBytes{ call.mCall, std::string(64 * 1024, 'x') });
    cancelled = IsCancelled(node, call.mCall);
  }
  BOOST_TEST(cancelled);
}

BOOST_AUTO_TEST_CASE(target_whose_answer_says_leaving_gets_no_more_items)
{
  NodeFixture node(4);
  const StartTargetCall call = StartRawItem(node);
  TargetCallBegan began;
  began.mCall = call.mCall;
  began.mStatus = 200;
  began.mLeaving = true;
  began.mEchoesRequestId = true;
  began.mAnsweredRequest = RequestId("i");
  node.Give(began);
  BOOST_TEST(node.mNode.mTarget.mLeaving);
  BOOST_TEST(!IsCancelled(node, call.mCall)); // the running call may finish
}

BOOST_AUTO_TEST_CASE(online_call_preempts_batch_item_in_the_same_step)
{
  NodeFixture node(2);
  StartTwoItems(node, R"({"resume":true})");
  const auto items = node.Started();
  Stream(node, items[0].mCall, "a");
  Stream(node, items[0].mCall, "b");
  Stream(node, items[1].mCall, "c");
  node.Hear(kTestEntry, node.Call("r1"));
  BOOST_REQUIRE_EQUAL(node.Actions<CancelTargetCall>().size(), 1u);
  BOOST_TEST((node.Actions<CancelTargetCall>()[0].mCall ==
              items[1].mCall)); // the item with the least progress
  const auto started = node.Started();
  BOOST_REQUIRE_EQUAL(started.size(), 1u);
  BOOST_TEST(HeaderValue(started[0].mHeaders, "X-Request-Id") == "r1");
  // When the call has ended, the item resumes from its partial text.
  node.Answer(started[0].mCall, "x");
  const auto resumed = node.Started();
  BOOST_REQUIRE_EQUAL(resumed.size(), 1u);
  BOOST_TEST(HeaderValue(resumed[0].mHeaders, "X-Resume-Tokens") == "1");
  BOOST_TEST(resumed[0].mBody.find("\"resume_from\":\"c\"") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(drain_returns_waiting_items_and_finishes_running_ones)
{
  NodeFixture node(2);
  node.MakeReady();
  node.AnswerLeaseItems(5);
  BOOST_REQUIRE_EQUAL(node.Started().size(), 2u);
  node.Give(StopRequested{});
  BOOST_TEST(node.Actions<CancelTargetCall>().empty());
  const auto results = ResultsAfterGrouping(node);
  BOOST_REQUIRE_EQUAL(results.size(), 3u);
  for (const ItemResult& result : results) {
    BOOST_TEST((result.mVerdict == ItemVerdict::eReturned));
  }
}

BOOST_AUTO_TEST_CASE(new_session_drops_the_items_of_the_old_one)
{
  NodeFixture node(2);
  StartTwoItems(node);
  node.Registered(9);
  BOOST_TEST(node.Actions<CancelTargetCall>().size() == 2u);
}

BOOST_AUTO_TEST_CASE(refused_connection_does_not_count_as_an_attempt)
{
  NodeFixture node(2);
  StartTwoItems(node);
  const TargetCallId id = node.Started()[0].mCall;
  node.Give(TargetCallFailed{ id, Outcome::eNotRun, "connect refused" });
  node.Wait(Millis(200));
  BOOST_TEST(node.Sent<ItemResults>().empty());
  BOOST_TEST(node.mNode.mBatch.mTasks.size() == 2u);
}

BOOST_AUTO_TEST_CASE(item_whose_stream_ends_inside_an_event_is_not_completed)
{
  NodeFixture node(4);
  const StartTargetCall call = StartRawItem(node);
  node.Give(TargetCallBytes{ call.mCall, "id: 2\nda" });
  node.Give(TargetCallEnded{ call.mCall, true });
  const auto results = ResultsAfterGrouping(node);
  BOOST_REQUIRE_EQUAL(results.size(), 1u);
  BOOST_TEST((results[0].mVerdict == ItemVerdict::eReturned));
  BOOST_TEST(results[0].mProgress.mLastEvent == 1u);
}

// Requests of callers with the same part crash targets. The item is owed all
// the same, and it is not the cause.
BOOST_AUTO_TEST_CASE(item_whose_input_is_blocked_is_run)
{
  NodeFixture node(4);
  node.MakeReady();
  const InputPartId poison(5);
  InputBlock block;
  block.mParts = { poison };
  block.mId = InputBlockIdOf(block.mParts, {});
  ApplyChange(node.mNode.mSession.mView,
              { Revision(node.mNode.mSession.mView.mRevision.mValue + 1),
                SetInputBlock{ block } });
  ItemBatch batch;
  batch.mNodeEpoch = Epoch(7);
  batch.mSequence = 1;
  batch.mJob = JobId("batch_1");
  batch.mToken = FencingToken(50);
  batch.mEndpoint = "host";
  batch.mDeadline = batch.mWindow = Seconds(60);
  batch.mItems = {
    { 0, R"({"custom_id":"i","url":"/p/1","body_base64":"","parts":[4,5]})" },
    { 1, R"({"custom_id":"j","url":"/p/1","body_base64":"","parts":[4]})" }
  };
  node.Hear(kTestControl, batch);
  BOOST_REQUIRE_EQUAL(node.Started().size(), 2u);
  node.Pass(Seconds(2));
  BOOST_TEST(node.mNode.mBatch.mTasks.size() == 2u); // none returned or failed
}

// A sound item was called at three targets while requests ended them, took the
// blame and was listed as failed.
BOOST_AUTO_TEST_CASE(item_under_which_targets_end_is_returned_and_not_suspected)
{
  NodeFixture node(4);
  const StartTargetCall call = StartRawItem(node);
  node.Give(
    TargetCallFailed{ call.mCall, Outcome::eUnknown, "connection closed" });
  BOOST_TEST(node.Actions<CheckTarget>().empty());
  const auto results = ResultsAfterGrouping(node);
  BOOST_REQUIRE_EQUAL(results.size(), 1u);
  BOOST_TEST((results[0].mVerdict == ItemVerdict::eReturned));
  BOOST_TEST(node.Sent<CrashReport>().empty());
}

// A roll-out that takes the target's version back loses no item and no result:
// what waits goes back, what runs is finished, and items that were leased
// before and come after it do not start.
BOOST_AUTO_TEST_CASE(version_that_is_taken_back_loses_no_item_and_no_result)
{
  NodeFixture node(1);
  node.MakeReady();
  node.AnswerLeaseItems(2);
  const auto started = node.Started();
  BOOST_REQUIRE_EQUAL(started.size(), 1u);
  node.Wait(Millis(100));
  TakeBack(node);
  const auto returned = ResultsAfterGrouping(node);
  BOOST_REQUIRE_EQUAL(returned.size(), 1u);
  BOOST_TEST((returned[0].mVerdict == ItemVerdict::eReturned));
  node.Answer(started[0].mCall, "{}", 200);
  const auto results = ResultsAfterGrouping(node);
  BOOST_REQUIRE_EQUAL(results.size(), 1u);
  BOOST_TEST((results[0].mVerdict == ItemVerdict::eDone));
}

BOOST_AUTO_TEST_CASE(items_that_cross_the_return_of_their_version_do_not_start)
{
  NodeFixture node(4);
  node.MakeReady();
  BOOST_REQUIRE(node.mNode.mBatch.mLeasing);
  TakeBack(node);
  node.AnswerLeaseItems(2);
  BOOST_TEST(node.Started().empty());
  const auto results = ResultsAfterGrouping(node);
  BOOST_REQUIRE_EQUAL(results.size(), 2u);
  for (const ItemResult& result : results) {
    BOOST_TEST((result.mVerdict == ItemVerdict::eReturned));
  }
}
