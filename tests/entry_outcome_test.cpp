// Tests answers and outcomes of dispatched requests. Guards against answers
// that mix attempts or parts, false not_run outcomes, repeated non-idempotent
// calls, and retries beyond the limits.
#define BOOST_TEST_MODULE entry_outcome
#include <boost/test/unit_test.hpp>

#include "entry_rig.h"

using namespace caraway;

namespace {

struct TwoNodes : EntryRig
{
  TwoNodes()
  {
    AddNode("a1", 11);
    AddNode("a2", 12);
    mSent.clear();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(outcome, TwoNodes)

BOOST_AUTO_TEST_CASE(whole_answer_reaches_the_caller)
{
  const uint64_t call = Http("POST",
                             "/v1/chat/completions?x=1",
                             R"({"model":"m","max_tokens":9,
                                 "messages":[{"role":"user","content":"hi"}]})",
                             { { "Cookie", "c" },
                               { "Connection", "X-Hop" },
                               { "X-Hop", "1" },
                               { "X-Deadline-Ms", "1500" },
                               { "X-Kept", "1" } });
  const Dispatch dispatch = OneDispatch();
  BOOST_TEST(dispatch.mSequence == 1u);
  BOOST_TEST(dispatch.mAttempt == 1u);
  BOOST_TEST(dispatch.mEntryEpoch.mValue == 100u);
  BOOST_TEST(dispatch.mPath == "/v1/chat/completions?x=1");
  BOOST_TEST(dispatch.mKey.mValue == TestKey('1').substr(0, 19));
  BOOST_TEST(dispatch.mDeadline.Millis() == 1500);
  BOOST_TEST(dispatch.mOutputTokens == 9u);
  BOOST_TEST(dispatch.mIdempotent);
  // No key, cookie or hop-by-hop header is forwarded.
  BOOST_REQUIRE(dispatch.mHeaders.size() == 1u);
  BOOST_TEST(dispatch.mHeaders[0].first == "X-Kept");
  Answer(dispatch, 0, "hel", false);
  BOOST_TEST(Status(call) == 0);
  Answer(dispatch, 1, "lo", true);
  BOOST_TEST(Status(call) == 200);
  BOOST_TEST(mResponses[call].mBody == "hello");
  BOOST_TEST(HeaderOf(call, "X-Request-Id") == dispatch.mRequest.mValue);
  BOOST_TEST(mEntry.mRequests.empty());
}

BOOST_AUTO_TEST_CASE(parts_are_relayed_once_and_in_order)
{
  const uint64_t call = Chat(true);
  const Dispatch dispatch = OneDispatch();
  Answer(dispatch, 1, "b", false);
  Answer(dispatch, 3, "d", true);
  BOOST_TEST(mState.count(call) == 0u);
  Answer(dispatch, 0, "a", false);
  Answer(dispatch, 0, "a", false);
  Answer(dispatch, 1, "b", false);
  BOOST_TEST(mChunks[call] == "ab");
  BOOST_TEST(mState[call] == "begun");
  Answer(dispatch, 2, "c", false);
  BOOST_TEST(mChunks[call] == "abcd");
  BOOST_TEST(mState[call] == "ended");
}

BOOST_AUTO_TEST_CASE(missing_part_is_queried)
{
  const uint64_t call = Chat(true);
  const Dispatch dispatch = OneDispatch();
  Answer(dispatch, 0, "a", false);
  Answer(dispatch, 2, "c", true);
  Advance(Millis(300));
  const auto queries = Sent<OutcomeQuery>();
  BOOST_REQUIRE(queries.size() == 1u);
  BOOST_TEST(queries[0].mNextPart == 1u);
  Answer(dispatch, 1, "b", false);
  BOOST_TEST(mChunks[call] == "abc");
}

BOOST_AUTO_TEST_CASE(crossed_answers_go_to_their_own_callers)
{
  const uint64_t left = Chat();
  const Dispatch leftDispatch = OneDispatch();
  const uint64_t right = Chat();
  const Dispatch rightDispatch = OneDispatch();
  Answer(rightDispatch, 0, "right", true);
  Answer(leftDispatch, 0, "left", true);
  BOOST_TEST(mResponses[left].mBody == "left");
  BOOST_TEST(mResponses[right].mBody == "right");
}

BOOST_AUTO_TEST_CASE(late_parts_of_an_earlier_attempt_are_dropped)
{
  const uint64_t call = Chat(true);
  const Dispatch first = OneDispatch();
  Step(PeerLost{ NodeOfEpoch(first.mNodeEpoch) });
  const Dispatch second = OneDispatch();
  BOOST_TEST(second.mAttempt == 2u);
  BOOST_TEST((second.mNodeEpoch != first.mNodeEpoch));
  Answer(first, 0, "old", false);
  Answer(second, 0, "new", false);
  Answer(first, 1, "old", true);
  Answer(second, 1, "", true);
  BOOST_TEST(mChunks[call] == "new");
  BOOST_TEST(mState[call] == "ended");
}

BOOST_AUTO_TEST_CASE(part_of_another_node_epoch_is_dropped)
{
  const uint64_t call = Chat();
  Dispatch dispatch = OneDispatch();
  dispatch.mNodeEpoch = Epoch(99);
  Answer(dispatch, 0, "x", true);
  BOOST_TEST(Status(call) == 0);
}

BOOST_AUTO_TEST_CASE(stream_that_breaks_ends_with_an_error_and_an_abort)
{
  const uint64_t call = Chat(true);
  const Dispatch dispatch = OneDispatch();
  Answer(dispatch, 0, "data: 1\n\n", false);
  Refuse(dispatch, ErrorKind::eTargetFailed, Outcome::eUnknown);
  BOOST_TEST(Sent<Dispatch>().empty()); // no retry once a part was relayed
  BOOST_TEST(mState[call] == "aborted");
  BOOST_TEST(mChunks[call].find("event: error") != std::string::npos);
  BOOST_TEST(mChunks[call].find("\"unknown\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(proven_not_run_goes_to_another_target_and_then_fails)
{
  const uint64_t call = Http("POST", "/stock/7", "{}");
  const Dispatch first = OneDispatch();
  BOOST_TEST(!first.mIdempotent);
  const uint64_t admitted = mEntry.mMetrics.mAdmitted;
  Refuse(first, ErrorKind::eOverloaded, Outcome::eNotRun);
  const Dispatch second = OneDispatch();
  BOOST_TEST((second.mNodeEpoch != first.mNodeEpoch));
  Refuse(second, ErrorKind::eOverloaded, Outcome::eNotRun);
  BOOST_TEST(Status(call) == 503);
  BOOST_TEST(ErrorField(call, "outcome") == "not_run");
  BOOST_TEST(ErrorField(call, "code") == "overloaded");
  BOOST_TEST(!HeaderOf(call, "Retry-After").empty());
  BOOST_TEST(mEntry.mMetrics.mReturned == 1u); // the token was returned
  BOOST_TEST(mEntry.mMetrics.mAdmitted == admitted);
}

BOOST_AUTO_TEST_CASE(non_idempotent_call_is_never_repeated_without_proof)
{
  const uint64_t call = Http("POST", "/stock/7", "{}");
  const Dispatch dispatch = OneDispatch();
  Refuse(dispatch, ErrorKind::eTargetFailed, Outcome::eUnknown);
  BOOST_TEST(Sent<Dispatch>().empty());
  BOOST_TEST(Status(call) == 502);
  BOOST_TEST(ErrorField(call, "outcome") == "unknown");
  BOOST_TEST(mEntry.mMetrics.mReturned == 0u);
}

BOOST_AUTO_TEST_CASE(stale_epoch_refusal_leaves_an_earlier_copy_unknown)
{
  const uint64_t call = Http("POST", "/stock/7", "{}");
  const Dispatch dispatch = OneDispatch();
  // The connection is lost, so a copy may have reached the previous process.
  Step(PeerLost{ NodeOfEpoch(dispatch.mNodeEpoch) });
  Refuse(dispatch, ErrorKind::eStaleEpoch, Outcome::eNotRun, 50);
  BOOST_TEST(Sent<Dispatch>().empty());
  BOOST_TEST(ErrorField(call, "outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(stale_epoch_refusal_of_the_only_copy_proves_not_run)
{
  Http("POST", "/stock/7", "{}");
  const Dispatch dispatch = OneDispatch();
  Refuse(dispatch, ErrorKind::eStaleEpoch, Outcome::eNotRun, 50);
  BOOST_TEST(OneDispatch().mAttempt == 2u);
}

BOOST_AUTO_TEST_CASE(one_unknown_attempt_makes_the_whole_request_unknown)
{
  // The call is idempotent, so it is retried; the outcome of the first attempt
  // stays unknown.
  const uint64_t call = Http("POST", "/read/7", "{}");
  Refuse(OneDispatch(), ErrorKind::eTargetFailed, Outcome::eUnknown);
  Refuse(OneDispatch(), ErrorKind::eOverloaded, Outcome::eNotRun);
  BOOST_TEST(ErrorField(call, "outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(refusal_after_answer_parts_does_not_prove_not_run)
{
  const uint64_t call = Http("POST", "/stock/7", "{}");
  const Dispatch dispatch = OneDispatch();
  Answer(dispatch, 0, "x", false);
  Refuse(dispatch, ErrorKind::eOverloaded, Outcome::eNotRun);
  BOOST_TEST(Sent<Dispatch>().empty());
  BOOST_TEST(ErrorField(call, "outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(silent_node_is_queried_until_it_replies)
{
  const uint64_t call = Http("POST", "/stock/7", "{}");
  const Dispatch dispatch = OneDispatch();
  Step(PeerLost{ NodeOfEpoch(dispatch.mNodeEpoch) });
  Advance(Millis(900));
  const auto queries = Sent<OutcomeQuery>();
  BOOST_TEST(queries.size() == 4u); // at once, then every 300 ms
  BOOST_TEST(queries[0].mSequence == dispatch.mSequence);
  BOOST_TEST((queries[0].mNodeEpoch == dispatch.mNodeEpoch));
  Outcomes(dispatch, AttemptState::eAnswered);
  Answer(dispatch, 0, "booked", true);
  BOOST_TEST(mResponses[call].mBody == "booked");
}

BOOST_AUTO_TEST_CASE(never_seen_reply_proves_not_run)
{
  Http("POST", "/stock/7", "{}");
  const Dispatch dispatch = OneDispatch();
  Step(PeerLost{ NodeOfEpoch(dispatch.mNodeEpoch) });
  Outcomes(dispatch, AttemptState::eNeverSeen);
  BOOST_TEST(OneDispatch().mAttempt == 2u);
}

BOOST_AUTO_TEST_CASE(no_reply_until_the_deadline_makes_the_outcome_unknown)
{
  const uint64_t call =
    Http("POST", "/stock/7", "{}", { { "X-Deadline-Ms", "5000" } });
  OneDispatch();
  Advance(Seconds(5));
  BOOST_TEST(Status(call) == 504);
  BOOST_TEST(ErrorField(call, "outcome") == "unknown");
  BOOST_TEST(Sent<Dispatch>().empty());
  BOOST_TEST(Sent<CancelRequest>().empty()); // a non-idempotent call may finish
}

BOOST_AUTO_TEST_CASE(idempotent_call_is_retried_when_its_node_is_silent)
{
  Chat();
  const Dispatch first = OneDispatch();
  Advance(Millis(2000));
  BOOST_TEST(Sent<CancelRequest>().size() == 1u);
  BOOST_TEST((OneDispatch().mNodeEpoch != first.mNodeEpoch));
}

BOOST_AUTO_TEST_CASE(restarted_node_makes_the_outcome_unknown)
{
  const uint64_t call = Http("POST", "/stock/7", "{}");
  const Dispatch dispatch = OneDispatch();
  AddNode(NodeOfEpoch(dispatch.mNodeEpoch).mValue, 50);
  BOOST_TEST(Sent<OutcomeQuery>().size() == 1u);
  Outcomes(dispatch, AttemptState::eWrongEpoch);
  BOOST_TEST(ErrorField(call, "outcome") == "unknown");
  BOOST_TEST(Sent<Dispatch>().empty());
}

BOOST_AUTO_TEST_CASE(silent_removed_node_makes_the_outcome_unknown_early)
{
  const uint64_t call = Http("POST", "/stock/7", "{}");
  const Dispatch dispatch = OneDispatch();
  Change(RemoveMember{ InstanceId(NodeOfEpoch(dispatch.mNodeEpoch).mValue),
                       dispatch.mNodeEpoch });
  Advance(Seconds(1));
  BOOST_TEST(ErrorField(call, "outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(unavailable_status_is_retried_elsewhere_when_idempotent)
{
  const uint64_t call = Chat();
  Answer(OneDispatch(), 0, "busy", true, 503);
  Answer(OneDispatch(), 0, "fine", true);
  BOOST_TEST(mResponses[call].mBody == "fine");
  const uint64_t booking = Http("POST", "/stock/7", "{}");
  Answer(OneDispatch(), 0, "busy", true, 503);
  BOOST_TEST(Status(booking) == 503); // the service's own answer
  BOOST_TEST(mResponses[booking].mBody == "busy");
}

BOOST_AUTO_TEST_CASE(retries_stop_at_three_attempts)
{
  AddNode("a3", 13);
  AddNode("a4", 14);
  for (int request = 0; request < 20; ++request) { // earns retries
    Chat();
    Answer(OneDispatch(), 0, "", true);
  }
  const uint64_t call = Chat();
  for (int attempt = 0; attempt < 3; ++attempt) {
    Refuse(OneDispatch(), ErrorKind::eOverloaded, Outcome::eNotRun);
  }
  BOOST_TEST(Sent<Dispatch>().empty());
  BOOST_TEST(Status(call) == 503);
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget)
{
  int sent = 0;
  for (int request = 0; request < 100; ++request) {
    Chat();
    for (Dispatch& dispatch : Sent<Dispatch>()) {
      ++sent;
      Refuse(dispatch, ErrorKind::eOverloaded, Outcome::eNotRun);
    }
    for (Dispatch& dispatch : Sent<Dispatch>()) {
      ++sent;
      Refuse(dispatch, ErrorKind::eOverloaded, Outcome::eNotRun);
    }
  }
  // 10%, and the one retry that a workspace starts with.
  BOOST_TEST(sent <= 111);
  BOOST_TEST(sent > 105);
}

BOOST_AUTO_TEST_CASE(sequences_have_no_gaps_per_node_epoch)
{
  std::map<Epoch, uint64_t> last;
  for (int request = 0; request < 50; ++request) {
    Chat();
    const Dispatch dispatch = OneDispatch();
    BOOST_TEST(dispatch.mSequence == ++last[dispatch.mNodeEpoch]);
    Answer(dispatch, 0, "", true);
  }
}

BOOST_AUTO_TEST_CASE(new_session_starts_sequences_anew_and_keeps_running_calls)
{
  const uint64_t call = Chat();
  const Dispatch before = OneDispatch();
  mEpoch = 200;
  Receive(kControl,
          RenewReply{ InstanceId("entry-1"),
                      Epoch(100),
                      RenewVerdict::eUnknownSession,
                      Seconds(3),
                      Revision(1),
                      0 });
  BOOST_TEST(mEntry.mSession.mEpoch.mValue == 200u);
  std::map<Epoch, uint64_t> first;
  for (int request = 0; request < 10; ++request) {
    Chat();
    const Dispatch dispatch = OneDispatch();
    BOOST_TEST(dispatch.mEntryEpoch.mValue == 200u);
    first.try_emplace(dispatch.mNodeEpoch, dispatch.mSequence);
  }
  for (const auto& [epoch, sequence] : first) {
    BOOST_TEST(sequence == 1u);
  }
  Answer(before, 0, "kept", true);
  BOOST_TEST(mResponses[call].mBody == "kept");
}

BOOST_AUTO_TEST_CASE(answer_above_the_size_limit_fails)
{
  const uint64_t call = Chat();
  const Dispatch dispatch = OneDispatch();
  for (uint32_t part = 0; part < 33; ++part) {
    Answer(dispatch, part, std::string(256 * 1024, 'x'), false);
  }
  BOOST_TEST(Status(call) == 502);
  BOOST_TEST(Sent<CancelRequest>().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
