// Guards requests that the entry takes to targets itself: nothing that may not
// run twice is sent twice, a promise of "not run" is true, streams go on after
// their last event, and slots are given back.
#define BOOST_TEST_MODULE entry_direct
#include <boost/test/unit_test.hpp>

#include "entry_rig.h"

using namespace caraway;

namespace {

PlanRoute
MakeRoute(const char* aId, CallKind aKind, bool aResumable, uint32_t aAttempts)
{
  PlanRoute route;
  route.mId = RouteId(aId);
  route.mHost = "h";
  route.mPathPrefix = std::string("/") + aId + "/";
  route.mKind = aKind;
  route.mShares = { { ServiceId("engine"), 1 } };
  route.mTimeout = Seconds(5);
  route.mLatencyGoal = Millis(300);
  route.mGapGoal = Millis(200);
  route.mMaxAttempts = aAttempts;
  route.mResumable = aResumable;
  return route;
}

struct Direct : EntryRig
{
  Direct()
  {
    mEntry.mSettings.mServeWithoutLease = true;
    ServingPlan plan;
    plan.mVersion = 1;
    plan.mServices.resize(1);
    plan.mServices[0].mId = ServiceId("engine");
    plan.mServices[0].mEngine = true;
    plan.mRoutes = { MakeRoute("chat", CallKind::eStream, false, 1),
                     MakeRoute("resume", CallKind::eStream, true, 2),
                     MakeRoute("look", CallKind::eIdempotent, false, 2),
                     MakeRoute("once", CallKind::eOnce, false, 3) };
    PlanWorkspace workspace;
    workspace.mId = WorkspaceId("p");
    workspace.mKeys = { DigestOfKey("secret") };
    workspace.mRate = 100;
    workspace.mBurst = 100;
    plan.mWorkspaces = { workspace };
    Change(SetPlan{ plan });
    for (const char* name : { "a1", "a2" }) {
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
    mSent.clear();
  }

  uint64_t Ask(const char* aRoute, const std::string& aKey = "secret")
  {
    ForwardRequest request;
    const uint64_t call = mNextCall++;
    request.mCall = HttpCallId(call);
    request.mId = RequestId("r" + std::to_string(call));
    request.mKey = aKey;
    request.mHost = "h";
    request.mMethod = "POST";
    request.mPath = std::string("/") + aRoute + "/x";
    request.mBody = "body";
    Step(request);
    return call;
  }

  // The node that was asked last for a slot.
  PeerAddress AskedNode()
  {
    PeerAddress node;
    for (const auto& [to, message] : mSent) {
      if (std::holds_alternative<SlotRequest>(message)) {
        node = to;
      }
    }
    mSent.clear();
    return node;
  }

  void Slot(const PeerAddress& aNode,
            uint64_t aCall,
            SlotState aState,
            Duration aWait = {})
  {
    SlotReply reply;
    reply.mRequest = RequestId("r" + std::to_string(aCall));
    reply.mState = aState;
    reply.mExpectedWait = aWait;
    reply.mLimit = 8;
    Receive(aNode, reply);
  }

  // Asks and gets a slot; returns the call to the target.
  StartTargetCall Running(const char* aRoute, uint64_t& aCall)
  {
    aCall = Ask(aRoute);
    Slot(AskedNode(), aCall, SlotState::eGranted);
    BOOST_REQUIRE(!mTargetCalls.empty());
    StartTargetCall call = mTargetCalls.back();
    Step(TargetCallSent{ call.mCall });
    return call;
  }

  void LoseNodes()
  {
    Change(RemoveMember{ InstanceId("a1"), Epoch(10 + '1') });
    Change(RemoveMember{ InstanceId("a2"), Epoch(10 + '2') });
  }

  void MakeCold(double aRate)
  {
    ServingPlan plan = *mEntry.mConfig.mPlan;
    ++plan.mVersion;
    plan.mServices[0].mColdRate = aRate;
    Change(SetPlan{ plan });
  }

  StartTargetCall GrantNext(uint64_t aCall)
  {
    const size_t before = mTargetCalls.size();
    Slot(AskedNode(), aCall, SlotState::eGranted);
    BOOST_REQUIRE(mTargetCalls.size() == before + 1);
    Step(TargetCallSent{ mTargetCalls.back().mCall });
    return mTargetCalls.back();
  }

  void Begin(const StartTargetCall& aCall, int aStatus, bool aNotRun = false)
  {
    TargetCallBegan began;
    began.mCall = aCall.mCall;
    began.mStatus = aStatus;
    began.mNotRun = aNotRun;
    began.mEchoesRequestId = true;
    began.mAnsweredRequest = aCall.mContext.mRequest;
    Step(began);
  }

  void Bytes(const StartTargetCall& aCall, const std::string& aBytes)
  {
    Step(TargetCallBytes{ aCall.mCall, aBytes });
  }

  void Break(const StartTargetCall& aCall, Outcome aOutcome)
  {
    Step(TargetCallFailed{ aCall.mCall, aOutcome, "broken by the test" });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(direct, Direct)

BOOST_AUTO_TEST_CASE(answer_passes_whole_and_the_slot_is_given_back)
{
  uint64_t call = 0;
  const StartTargetCall start = Running("look", call);
  BOOST_TEST(start.mContext.mWorkspace.mValue == "p");
  BOOST_TEST(start.mFreshConnection);
  Begin(start, 200);
  Bytes(start, "ans");
  Bytes(start, "wer");
  BOOST_TEST(Status(call) == 0); // not before it is whole
  Step(TargetCallEnded{ start.mCall });
  BOOST_TEST(Status(call) == 200);
  BOOST_TEST(mResponses[call].mBody == "answer");
  BOOST_TEST(Sent<SlotRelease>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(unknown_key_and_route_are_refused_at_once)
{
  BOOST_TEST(Status(Ask("look", "wrong")) == 401);
  BOOST_TEST(Status(Ask("nowhere")) == 404);
  BOOST_TEST(mTargetCalls.empty());
}

BOOST_AUTO_TEST_CASE(request_that_may_have_run_is_not_sent_again)
{
  uint64_t call = 0;
  Break(Running("once", call), Outcome::eUnknown);
  BOOST_TEST(mTargetCalls.size() == 1u);
  BOOST_TEST(Status(call) == 502); // no promise
}

BOOST_AUTO_TEST_CASE(request_proven_not_run_goes_elsewhere)
{
  uint64_t call = 0;
  const StartTargetCall first = Running("once", call);
  Begin(first, 503, true);
  const StartTargetCall second = GrantNext(call);
  BOOST_TEST(second.mUrl != first.mUrl);
  Begin(second, 200);
  Step(TargetCallEnded{ second.mCall });
  BOOST_TEST(Status(call) == 200);
}

BOOST_AUTO_TEST_CASE(refusal_promises_not_run_only_if_nothing_ran)
{
  uint64_t call = 0;
  Begin(Running("once", call), 503, true);
  Begin(GrantNext(call), 503, true);
  BOOST_TEST(Status(call) == 503);
  BOOST_TEST(!HeaderOf(call, "Retry-After").empty());
  // The first attempt may have run, so the same refusal promises nothing.
  uint64_t other = 0;
  Break(Running("look", other), Outcome::eUnknown);
  Begin(GrantNext(other), 503, true);
  BOOST_TEST(Status(other) == 502);
}

BOOST_AUTO_TEST_CASE(answer_to_another_request_is_not_passed_on)
{
  uint64_t call = 0;
  const StartTargetCall start = Running("once", call);
  TargetCallBegan began;
  began.mCall = start.mCall;
  began.mStatus = 200;
  began.mEchoesRequestId = true;
  began.mAnsweredRequest = RequestId("another");
  Step(began);
  BOOST_TEST(Status(call) == 502);
}

BOOST_AUTO_TEST_CASE(resumable_stream_goes_on_after_its_last_event)
{
  uint64_t call = 0;
  const StartTargetCall first = Running("resume", call);
  Begin(first, 200);
  Bytes(first, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  Break(first, Outcome::eUnknown);
  const StartTargetCall second = GrantNext(call);
  BOOST_TEST(*second.mContext.mResumeAfter == 2u);
  Begin(second, 200);
  Bytes(second, "id: 3\ndata: c\n\n");
  Step(TargetCallEnded{ second.mCall });
  BOOST_TEST(mChunks[call] ==
             "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  BOOST_TEST(mState[call] == "ended");
}

BOOST_AUTO_TEST_CASE(other_stream_that_breaks_never_looks_complete)
{
  uint64_t call = 0;
  const StartTargetCall start = Running("chat", call);
  Begin(start, 200);
  Bytes(start, "id: 1\ndata: a\n\n");
  Break(start, Outcome::eUnknown);
  BOOST_TEST(mState[call] == "aborted");
  BOOST_TEST(mTargetCalls.size() == 1u);
}

BOOST_AUTO_TEST_CASE(silent_target_loses_what_may_be_repeated)
{
  uint64_t call = 0;
  const StartTargetCall start = Running("look", call);
  Advance(Seconds(2));
  BOOST_TEST((std::find(mCancelled.begin(), mCancelled.end(), start.mCall) !=
              mCancelled.end()));
  uint64_t once = 0;
  const StartTargetCall kept = Running("once", once);
  Advance(Seconds(2));
  // Silence is no proof that it has not run, so it is waited for.
  BOOST_TEST((std::find(mCancelled.begin(), mCancelled.end(), kept.mCall) ==
              mCancelled.end()));
}

BOOST_AUTO_TEST_CASE(call_that_never_left_has_not_run)
{
  const uint64_t call = Ask("once");
  Slot(AskedNode(), call, SlotState::eGranted);
  BOOST_REQUIRE(mTargetCalls.size() == 1u); // no TargetCallSent
  const std::string first = mTargetCalls.front().mUrl;
  Advance(Millis(400));
  BOOST_TEST(mCancelled.size() == 1u);
  BOOST_TEST(GrantNext(call).mUrl != first);
}

BOOST_AUTO_TEST_CASE(first_grant_counts_and_others_are_given_back)
{
  const uint64_t call = Ask("look");
  const PeerAddress first = AskedNode();
  Slot(first, call, SlotState::eQueued, Millis(100));
  const PeerAddress second = AskedNode();
  BOOST_TEST((first != second));
  Slot(second, call, SlotState::eGranted);
  BOOST_TEST(mTargetCalls.size() == 1u);
  const auto given = Sent<SlotRelease>();
  BOOST_REQUIRE(given.size() == 1u);
  BOOST_TEST((given[0].mEnding == SlotEnding::eCancelled));
  Slot(first, call, SlotState::eGranted); // crosses the release
  BOOST_TEST(mTargetCalls.size() == 1u);
  BOOST_TEST(Sent<SlotRelease>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(silent_nodes_do_not_keep_requests_from_targets)
{
  Ask("look");
  Advance(Millis(400));
  BOOST_TEST(mTargetCalls.size() == 1u);
}

BOOST_AUTO_TEST_CASE(full_fleet_refuses_with_the_time_to_come_back)
{
  const uint64_t call = Ask("look");
  Slot(AskedNode(), call, SlotState::eRefused, Millis(700));
  Slot(AskedNode(), call, SlotState::eRefused, Millis(400));
  BOOST_TEST(Status(call) == 503);
  BOOST_TEST(HeaderOf(call, "Retry-After") == "0.400");
  BOOST_TEST(mTargetCalls.empty());
}

BOOST_AUTO_TEST_CASE(caller_that_leaves_ends_its_call_and_frees_the_slot)
{
  uint64_t call = 0;
  const StartTargetCall start = Running("chat", call);
  Step(HttpClosed{ HttpCallId(call) });
  BOOST_REQUIRE(mCancelled.size() == 1u);
  BOOST_TEST((mCancelled[0] == start.mCall));
  BOOST_TEST(Sent<SlotRelease>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(leaving_target_gets_no_granted_request)
{
  const uint64_t call = Ask("look");
  const PeerAddress node = AskedNode();
  Target leaving = mEntry.mConfig.mTargets.at(TargetId("t-" + node.mValue));
  leaving.mDraining = true;
  Change(SetTarget{ leaving });
  mSent.clear();
  Slot(node, call, SlotState::eGranted);
  BOOST_TEST(mTargetCalls.empty());
  BOOST_TEST((AskedNode() != node));
}

// An engine without a node is served from the first second, within its slots.
BOOST_AUTO_TEST_CASE(engine_without_a_node_gets_as_many_calls_as_it_has_slots)
{
  LoseNodes();
  for (int call = 0; call < 16; ++call) {
    Ask("look");
  }
  BOOST_TEST(mTargetCalls.size() == 16u); // two targets of eight slots
  BOOST_TEST(Status(Ask("look")) == 503);
  Step(TargetCallEnded{ mTargetCalls.front().mCall });
  Ask("look");
  BOOST_TEST(mTargetCalls.size() == 17u);
}

// Each of many entries used to take one call a second for itself, whatever all
// of them together did to a target that was cold.
BOOST_AUTO_TEST_CASE(entries_together_keep_to_what_a_cold_target_bears)
{
  MakeCold(10);
  LoseNodes();
  for (int other = 0; other < 60; ++other) {
    Member entry;
    entry.mInstance = InstanceId("other-" + std::to_string(other));
    entry.mEpoch = Epoch(1000 + other);
    entry.mRole = MemberRole::eEntry;
    Change(SetMember{ entry });
  }
  for (int call = 0; call < 40; ++call) {
    Ask("look");
  }
  // A tenth of 60 entries may call each of the two targets, once a second.
  BOOST_TEST(mTargetCalls.size() <= 2u);
}

BOOST_AUTO_TEST_CASE(target_of_a_silent_node_is_called_once_its_grants_are_old)
{
  MakeCold(10);
  const uint64_t call = Ask("look");
  Advance(Millis(900));
  BOOST_TEST(
    mTargetCalls.empty()); // the node may have granted a second's worth
  Advance(Millis(900));
  BOOST_TEST(mTargetCalls.size() >= 1u);
  BOOST_TEST(Status(call) == 0);
}

// A target that leaves says so in its answers before control knows of it.
BOOST_AUTO_TEST_CASE(target_that_says_it_leaves_gets_nothing_more)
{
  uint64_t call = 0;
  const StartTargetCall start = Running("look", call);
  TargetCallBegan began;
  began.mCall = start.mCall;
  began.mStatus = 200;
  began.mLeaving = true;
  began.mEchoesRequestId = true;
  began.mAnsweredRequest = start.mContext.mRequest;
  Step(began);
  Step(TargetCallEnded{ start.mCall });
  BOOST_TEST(Status(call) == 200); // its answer counts
  const auto told = Sent<ControlCall>();
  BOOST_REQUIRE(!told.empty());
  const auto* report = std::get_if<ReportTargets>(&told.back().mBody);
  BOOST_REQUIRE(report != nullptr);
  BOOST_TEST(report->mSeen.at(0).mDraining);
  for (int next = 0; next < 8; ++next) {
    uint64_t other = 0;
    BOOST_TEST(Running("look", other).mUrl != start.mUrl);
  }
}

BOOST_AUTO_TEST_CASE(bytes_without_an_end_do_not_keep_a_stream_alive)
{
  uint64_t call = 0;
  const StartTargetCall start = Running("resume", call);
  Begin(start, 200);
  Bytes(start, "id: 1\ndata: a\n\n");
  for (int at = 0; at < 20 && mCancelled.empty(); ++at) {
    Bytes(start, "x"); // no event comes of it
    Advance(Millis(100));
  }
  BOOST_TEST((std::find(mCancelled.begin(), mCancelled.end(), start.mCall) !=
              mCancelled.end()));
  BOOST_TEST(*GrantNext(call).mContext.mResumeAfter == 1u);
}

BOOST_AUTO_TEST_CASE(slow_but_sound_stream_is_left_alone)
{
  uint64_t call = 0;
  const StartTargetCall resumable = Running("resume", call);
  Begin(resumable, 200);
  for (int at = 1; at <= 5; ++at) {
    Bytes(resumable, "id: " + std::to_string(at) + "\ndata: a\n\n");
    Advance(Millis(700)); // three and a half times the stated pause
  }
  Step(TargetCallEnded{ resumable.mCall });
  uint64_t other = 0;
  const StartTargetCall once = Running("chat", other);
  Begin(once, 200);
  Bytes(once, "id: 1\ndata: a\n\n");
  Advance(
    Seconds(4)); // silence is no reason to end what cannot go on elsewhere
  Bytes(once, "id: 2\ndata: b\n\n");
  BOOST_TEST(mCancelled.empty());
  BOOST_TEST(mTargetCalls.size() == 2u);
}

BOOST_AUTO_TEST_CASE(event_without_an_end_is_not_held_in_memory)
{
  uint64_t call = 0;
  const StartTargetCall start = Running("chat", call);
  Begin(start, 200);
  Bytes(start, "id: 1\ndata: a\n\n");
  for (int at = 0; at < 20 && mState[call] != "aborted"; ++at) {
    Bytes(start, std::string(100 * 1024, 'x'));
  }
  BOOST_TEST(mState[call] == "aborted"); // never looks complete
}

BOOST_AUTO_TEST_CASE(request_past_its_time_out_is_answered)
{
  uint64_t call = 0;
  Running("once", call);
  Advance(Millis(5100));
  BOOST_TEST(Status(call) == 504);
}

BOOST_AUTO_TEST_SUITE_END()
