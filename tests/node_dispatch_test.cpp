// Guards against calls that run twice, a wrong "not run" outcome, and answers
// under the wrong epoch.
#define BOOST_TEST_MODULE node_dispatch
#include <boost/test/unit_test.hpp>

#include "caraway/node/dispatch_window.h"
#include "tests/node_fixture.h"

using namespace caraway;

BOOST_AUTO_TEST_CASE(window_remembers_exactly_the_newest_4096)
{
  DispatchWindow window;
  MarkSeen(window, 1);
  MarkSeen(window, 3);
  BOOST_TEST((StateOf(window, 2) == SequenceState::eNew));
  BOOST_TEST((StateOf(window, 3) == SequenceState::eSeen));
  MarkSeen(window, 4098); // the window is 4096: 3 is the oldest inside
  BOOST_TEST((StateOf(window, 3) == SequenceState::eSeen));
  BOOST_TEST((StateOf(window, 2) == SequenceState::eTooOld));
  BOOST_TEST((StateOf(window, 4097) == SequenceState::eNew));
  MarkSeen(window, 100000); // a jump past the window clears all marks
  BOOST_TEST((StateOf(window, 99999) == SequenceState::eNew));
  BOOST_TEST((StateOf(window, 95904) == SequenceState::eTooOld));
}

BOOST_AUTO_TEST_CASE(duplicate_dispatch_runs_once_and_gets_the_answer_again)
{
  NodeFixture node;
  node.MakeReady();
  const Dispatch call = node.Call("r1");
  const TargetCallId id = node.Run(call);
  BOOST_REQUIRE(!id.IsNone());
  BOOST_TEST(node.Run(call).IsNone()); // duplicate while the call runs
  node.Answer(id, "hello");
  BOOST_TEST(node.Run(call).IsNone()); // duplicate after the call ended
  const auto parts = node.Sent<AnswerPart>();
  BOOST_REQUIRE_EQUAL(parts.size(), 2u);
  BOOST_TEST(parts[0].mBytes == "hello");
  BOOST_TEST(parts[1].mLast);
}

BOOST_AUTO_TEST_CASE(dispatch_with_expired_answer_is_unknown_and_not_run_again)
{
  NodeFixture node;
  node.MakeReady();
  const Dispatch call = node.Call("r1");
  node.Answer(node.Run(call), "hello");
  node.Pass(Seconds(40)); // answers are kept for 30 s
  BOOST_TEST(node.Run(call).IsNone());
  const auto refusals = node.Sent<Refusal>();
  BOOST_REQUIRE_EQUAL(refusals.size(), 1u);
  BOOST_TEST((refusals[0].mOutcome == Outcome::eUnknown));
}

BOOST_AUTO_TEST_CASE(dispatch_under_another_epoch_is_refused)
{
  NodeFixture node;
  node.MakeReady();
  Dispatch call = node.Call("r1");
  call.mNodeEpoch = Epoch(6);
  BOOST_TEST(node.Run(call).IsNone());
  const auto refusals = node.Sent<Refusal>();
  BOOST_REQUIRE_EQUAL(refusals.size(), 1u);
  BOOST_TEST((refusals[0].mKind == ErrorKind::eStaleEpoch));
  BOOST_TEST((refusals[0].mOutcome == Outcome::eNotRun));
}

BOOST_AUTO_TEST_CASE(calls_of_an_old_epoch_are_answered_under_it)
{
  NodeFixture node(4);
  node.MakeReady();
  const Dispatch old = node.Call("r1");
  const TargetCallId id = node.Run(old);
  node.Registered(9);
  node.GrantLease();
  node.Give(TargetCallBegan{ id, 200, {} });
  node.Give(TargetCallBytes{ id, "x" });
  BOOST_REQUIRE_EQUAL(node.Sent<AnswerPart>().size(), 1u);
  BOOST_TEST(node.Sent<AnswerPart>()[0].mNodeEpoch.mValue == 7u);
  // Sequences restart with the epoch: 1 under the new epoch is a new dispatch.
  Dispatch fresh = node.Call("r2");
  fresh.mSequence = old.mSequence;
  BOOST_TEST(!node.Run(fresh).IsNone());
}

BOOST_AUTO_TEST_CASE(
  outcome_query_for_an_unseen_sequence_blocks_its_late_dispatch)
{
  NodeFixture node;
  node.MakeReady();
  const Dispatch late = node.Call("r1");
  OutcomeQuery query;
  query.mRequest = late.mRequest;
  query.mAttempt = late.mAttempt;
  query.mNodeEpoch = late.mNodeEpoch;
  query.mEntry = late.mEntry;
  query.mEntryEpoch = late.mEntryEpoch;
  query.mSequence = late.mSequence;
  node.Hear(kTestEntry, query);
  BOOST_REQUIRE_EQUAL(node.Sent<OutcomeReply>().size(), 1u);
  BOOST_TEST((node.Sent<OutcomeReply>()[0].mState == AttemptState::eNeverSeen));
  BOOST_TEST(node.Run(late).IsNone()); // "not run" must remain true
  query.mNodeEpoch = Epoch(6);
  node.Hear(kTestEntry, query);
  BOOST_TEST(
    (node.Sent<OutcomeReply>()[0].mState == AttemptState::eWrongEpoch));
}

BOOST_AUTO_TEST_CASE(outcome_query_resends_from_the_first_missing_part)
{
  NodeFixture node;
  node.MakeReady();
  const Dispatch call = node.Call("r1");
  const TargetCallId id = node.Run(call);
  node.Give(TargetCallBegan{ id, 200, {} });
  node.Give(TargetCallBytes{ id, "a" });
  node.Give(TargetCallBytes{ id, "b" });
  node.Give(TargetCallEnded{ id });
  OutcomeQuery query;
  query.mRequest = call.mRequest;
  query.mAttempt = call.mAttempt;
  query.mNodeEpoch = call.mNodeEpoch;
  query.mNextPart = 1;
  node.Hear(kTestEntry, query);
  BOOST_TEST((node.Sent<OutcomeReply>()[0].mState == AttemptState::eAnswered));
  const auto parts = node.Sent<AnswerPart>();
  BOOST_REQUIRE_EQUAL(parts.size(), 2u);
  BOOST_TEST(parts[0].mBytes == "b");
  BOOST_TEST(parts[1].mLast);
}

BOOST_AUTO_TEST_CASE(cancel_stops_the_call_and_a_late_dispatch)
{
  NodeFixture node;
  node.MakeReady();
  const Dispatch call = node.Call("r1");
  const TargetCallId id = node.Run(call);
  node.Hear(kTestEntry, CancelRequest{ call.mRequest, 1, call.mNodeEpoch });
  BOOST_REQUIRE_EQUAL(node.Actions<CancelTargetCall>().size(), 1u);
  BOOST_TEST((node.Actions<CancelTargetCall>()[0].mCall == id));
  BOOST_TEST(node.Sent<Refusal>().empty()); // no further answer is sent
  const Dispatch late = node.Call("r2");
  node.Hear(kTestEntry, CancelRequest{ late.mRequest, 1, late.mNodeEpoch });
  BOOST_TEST(node.Run(late).IsNone());
}

BOOST_AUTO_TEST_CASE(failed_call_is_refused_with_its_outcome)
{
  NodeFixture node;
  node.MakeReady();
  TargetCallId id = node.Run(node.Call("r1"));
  node.Give(TargetCallFailed{ id, Outcome::eUnknown, "reset" });
  BOOST_REQUIRE_EQUAL(node.Sent<Refusal>().size(), 1u);
  BOOST_TEST((node.Sent<Refusal>()[0].mOutcome == Outcome::eUnknown));
  id = node.Run(node.Call("r2"));
  node.Give(TargetCallFailed{ id, Outcome::eNotRun, "connect refused" });
  BOOST_TEST((node.Sent<Refusal>()[0].mOutcome == Outcome::eNotRun));
  // After a refused connection no call starts until the next announcement.
  BOOST_TEST(node.Run(node.Call("r3")).IsNone());
  node.Announce();
  BOOST_TEST(node.Started().size() == 1u);
}

BOOST_AUTO_TEST_CASE(call_to_silent_target_ends_with_unknown_outcome)
{
  NodeFixture node;
  node.MakeReady();
  Dispatch call = node.Call("r1");
  call.mDeadline = Seconds(5);
  node.Run(call);
  bool ended = false;
  for (int n = 0; n < 20 && !ended; ++n) {
    node.mNow = node.mNow + Millis(500);
    node.Give(Wakeup{});
    for (const Refusal& refusal : node.Sent<Refusal>()) {
      ended = refusal.mOutcome == Outcome::eUnknown;
    }
  }
  BOOST_TEST(ended);
}

BOOST_AUTO_TEST_CASE(target_sees_no_credentials_and_a_request_id)
{
  NodeFixture node;
  node.MakeReady();
  Dispatch call = node.Call("r1");
  call.mIdempotent = false;
  node.Hear(kTestEntry, call);
  const auto started = node.Started();
  BOOST_REQUIRE_EQUAL(started.size(), 1u);
  BOOST_TEST(HeaderValue(started[0].mHeaders, "authorization").empty());
  BOOST_TEST(HeaderValue(started[0].mHeaders, "X-Request-Id") == "r1");
  BOOST_TEST(started[0].mFreshConnection);
}

BOOST_AUTO_TEST_CASE(lost_entry_cancels_only_idempotent_calls)
{
  NodeFixture node(4);
  node.MakeReady();
  const TargetCallId safe = node.Run(node.Call("r1"));
  Dispatch booking = node.Call("r2");
  booking.mIdempotent = false;
  const TargetCallId once = node.Run(booking);
  BOOST_REQUIRE(!once.IsNone());
  node.Give(PeerLost{ kTestEntry });
  const auto cancelled = node.Actions<CancelTargetCall>();
  BOOST_REQUIRE_EQUAL(cancelled.size(), 1u);
  BOOST_TEST((cancelled[0].mCall == safe));
  node.Answer(once, "booked");
  BOOST_TEST(node.Sent<AnswerPart>().back().mLast);
}

BOOST_AUTO_TEST_CASE(kept_answers_stay_within_their_bound)
{
  NodeFixture node;
  node.MakeReady();
  const std::string big(1 << 20, 'x');
  for (int n = 0; n < 20; ++n) {
    node.Answer(node.Run(node.Call("r" + std::to_string(n))), big);
  }
  BOOST_TEST(node.mNode.mKeptBytes <= 8u * 1024 * 1024);
  BOOST_TEST(node.mNode.mKeptBytes > 6u * 1024 * 1024);
}
