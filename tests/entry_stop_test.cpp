// Guards against a planned stop that cuts requests off: at the end of the grace
// the process is killed, and what has no answer then never gets one.
#define BOOST_TEST_MODULE entry_stop
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <set>

#include "direct_fixture.h"

using namespace caraway;

namespace {

constexpr Duration kGrace = Seconds(8);
constexpr Duration kLongTimeout = Seconds(20);
constexpr Duration kLongWork = Seconds(3);

struct Stopping : Direct
{
  MonoTime mKillAt = kNever;

  Stopping()
  {
    mEntry.mSettings.mStopGrace = kGrace;
    ServingPlan plan = *mEntry.mConfig.mPlan;
    ++plan.mVersion;
    for (PlanRoute& route : plan.mRoutes) {
      route.mTimeout = kLongTimeout;
    }
    Change(SetPlan{ plan });
    mSent.clear();
  }

  // Serves requests of the route, each of which takes kLongWork.
  void TeachLongWork(const char* aRoute)
  {
    for (int answers = 0; answers < 20; ++answers) {
      uint64_t call = 0;
      const StartTargetCall start = StartCall(aRoute, call);
      mNow = mNow + kLongWork;
      Begin(start, 200);
      Step(TargetCallEnded{ start.mCall, false });
      BOOST_REQUIRE(Answered(call));
    }
  }

  void Stop()
  {
    mKillAt = mNow + kGrace;
    Step(StopRequested{});
  }

  // Both nodes let the request wait.
  void QueueEverywhere(uint64_t aCall, Duration aExpectedWait)
  {
    for (int node = 0; node < 2; ++node) {
      ReplySlot(RequestedNode(), aCall, SlotState::eQueued, aExpectedWait);
    }
  }

  bool Answered(uint64_t aCall)
  {
    return mResponses.contains(aCall) ||
           (mState.contains(aCall) && mState[aCall] != "begun");
  }

  Duration RetryAfter(uint64_t aCall)
  {
    return Micros(static_cast<int64_t>(
      1e6 *
      std::stod(HeaderValue(mResponses.at(aCall).mHeaders, "Retry-After"))));
  }
};

// What nodes, targets and callers do, drawn by a seed.
struct RandomStop : Stopping
{
  explicit RandomStop(uint64_t aSeed)
    : mRandom(aSeed)
    , mWork(Draw(Millis(20), Seconds(6)))
  {
  }

  Duration Draw(Duration aLeast, Duration aMost)
  {
    return aLeast +
           Micros(static_cast<int64_t>(DrawBelow(
             mRandom, static_cast<uint64_t>((aMost - aLeast).mMicros) + 1)));
  }

  bool Chance(uint64_t aPercent) { return DrawBelow(mRandom, 100) < aPercent; }

  void At(MonoTime aTime, std::function<void()> aDo)
  {
    mDue.emplace(aTime, std::move(aDo));
  }

  void React()
  {
    auto sent = std::exchange(mSent, {});
    for (const auto& [to, message] : sent) {
      if (const auto* request = std::get_if<SlotRequest>(&message)) {
        ReactToSlotRequest(to, *request);
      }
    }
    auto calls = std::exchange(mTargetCalls, {});
    for (const StartTargetCall& call : calls) {
      ReactToCall(call);
    }
  }

  void ReactToSlotRequest(const PeerAddress& aNode, const SlotRequest& aRequest)
  {
    SlotReply reply;
    reply.mRequest = aRequest.mRequest;
    reply.mLimit = 8;
    if (Chance(10)) {
      return; // a silent node
    }
    reply.mState = Chance(60)   ? SlotState::eGranted
                   : Chance(70) ? SlotState::eQueued
                                : SlotState::eRefused;
    reply.mExpectedWait = Draw({}, Seconds(4));
    At(mNow + Millis(2), [this, aNode, reply] { Receive(aNode, reply); });
    if (reply.mState == SlotState::eQueued && Chance(70)) {
      SlotReply granted = reply;
      granted.mState = SlotState::eGranted;
      At(mNow + Draw(Millis(5), Seconds(6)),
         [this, aNode, granted] { Receive(aNode, granted); });
    }
  }

  void ReactToCall(const StartTargetCall& aCall)
  {
    if (Chance(3)) {
      return; // the target's machine does not respond
    }
    At(mNow + Millis(2), [this, aCall] {
      if (std::ranges::find(mCancelled, aCall.mCall) == mCancelled.end()) {
        mRan.insert(aCall.mContext.mRequest);
        Step(TargetCallSent{ aCall.mCall });
      }
    });
    if (Chance(10)) {
      return; // a silent target
    }
    const MonoTime end = mNow + Millis(3) + Draw(mWork / 2, mWork);
    if (Chance(10)) {
      At(end, [this, aCall] { Break(aCall, Outcome::eUnknown); });
      return;
    }
    const MonoTime middle = mNow + Millis(3) + (end - mNow) / 2;
    At(middle, [this, aCall] {
      Begin(aCall, 200);
      Bytes(aCall, "id: 1\ndata: a\n\n");
    });
    At(end, [this, aCall] { Step(TargetCallEnded{ aCall.mCall, false }); });
  }

  void RunUntil(MonoTime aEnd)
  {
    React();
    while (true) {
      const MonoTime due = mDue.empty() ? kNever : mDue.begin()->first;
      const MonoTime next = std::min(due, NextWakeup(mEntry));
      if (next > aEnd) {
        break;
      }
      mNow = std::max(mNow, next);
      if (due <= mNow) {
        const auto act = mDue.begin()->second;
        mDue.erase(mDue.begin());
        act();
      } else {
        Step(Wakeup{});
      }
      React();
    }
    mNow = aEnd;
  }

  Random mRandom;
  Duration mWork;
  std::multimap<MonoTime, std::function<void()>> mDue;
  std::set<RequestId> mRan; // handed to a target that receives it
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stop, Stopping)

// It waited for a slot until the kill.
BOOST_AUTO_TEST_CASE(waiting_request_is_refused_while_others_can_serve_it)
{
  TeachLongWork("look");
  Stop();
  const uint64_t call = SendForward("look");
  QueueEverywhere(call, {});
  Advance(kGrace - kLongWork - Millis(400));
  BOOST_TEST(Status(call) == 503);
  BOOST_TEST(ErrorField(call, "outcome") == "not_run");
  BOOST_TEST(ErrorField(call, "code") == "draining");
  BOOST_TEST(RetryAfter(call).Millis() <= 100);
}

BOOST_AUTO_TEST_CASE(request_that_would_wait_too_long_is_refused_at_once)
{
  TeachLongWork("once");
  Stop();
  const uint64_t call = SendForward("once");
  QueueEverywhere(call, Seconds(5));
  BOOST_TEST(Status(call) == 503);
  BOOST_TEST(ErrorField(call, "outcome") == "not_run");
}

BOOST_AUTO_TEST_CASE(running_call_has_until_the_last_moment)
{
  TeachLongWork("once");
  uint64_t answered = 0;
  uint64_t cut = 0;
  const StartTargetCall first = StartCall("once", answered);
  StartCall("once", cut);
  Stop();
  Advance(Seconds(7));
  Begin(first, 200);
  Step(TargetCallEnded{ first.mCall, false });
  BOOST_TEST(Status(answered) == 200);
  BOOST_TEST(!Answered(cut));
  Advance(kGrace - Seconds(7));
  BOOST_TEST(Status(cut) == 502);
  BOOST_TEST(ErrorField(cut, "outcome") == "unknown");
  BOOST_TEST(mStopped);
}

BOOST_AUTO_TEST_CASE(running_stream_is_broken_off_before_the_kill)
{
  uint64_t call = 0;
  const StartTargetCall start = StartCall("chat", call);
  Begin(start, 200);
  Bytes(start, "id: 1\ndata: a\n\n");
  Stop();
  Advance(kGrace);
  BOOST_TEST(mState[call] == "aborted");
  BOOST_TEST(mStopped);
}

// It was dropped after its goal had passed twice, and waited for another slot.
BOOST_AUTO_TEST_CASE(call_that_takes_as_long_as_usual_is_not_abandoned)
{
  TeachLongWork("look");
  uint64_t call = 0;
  StartCall("look", call);
  Advance(kLongWork - Millis(100));
  BOOST_TEST(mCancelled.empty());
}

BOOST_AUTO_TEST_CASE(retry_that_cannot_end_in_time_is_left_to_the_caller)
{
  TeachLongWork("look");
  uint64_t call = 0;
  const StartTargetCall start = StartCall("look", call);
  Stop();
  Advance(Seconds(6));
  Break(start, Outcome::eUnknown);
  BOOST_TEST(Status(call) == 502);
  BOOST_TEST(ErrorField(call, "outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(operators_call_is_answered_before_the_kill)
{
  mEntry.mSettings.mStopGrace = Seconds(2);
  ControlOrder order;
  order.mCall = HttpCallId(mNextCall++);
  order.mBody = ReadPlan{};
  Stop();
  Step(order);
  Advance(Seconds(2));
  BOOST_TEST(mOrders.size() == 1u);
  BOOST_TEST(mStopped);
}

BOOST_AUTO_TEST_SUITE_END()

// Any moment of the stop, any mix of work, nodes and targets that are slow or
// silent.
BOOST_AUTO_TEST_CASE(every_request_has_a_true_answer_before_the_kill)
{
  constexpr uint64_t kSeeds = 300;
  const char* const kRoutes[] = { "chat", "resume", "look", "once" };
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomStop run(seed);
    std::vector<uint64_t> calls;
    const MonoTime begin = run.mNow;
    const MonoTime stopAt = begin + run.Draw(Seconds(1), Seconds(12));
    for (MonoTime at = begin; at < stopAt + Seconds(5);
         at = at + run.Draw(Millis(50), Millis(600))) {
      run.At(at, [&run, &calls, route = kRoutes[DrawBelow(run.mRandom, 4)]] {
        if (!run.mStopped) {
          calls.push_back(run.SendForward(route));
        }
      });
    }
    run.At(stopAt, [&run] { run.Stop(); });
    run.RunUntil(stopAt + kGrace);
    BOOST_TEST(run.mStopped, "seed " << seed << ": still runs at the kill");
    for (const uint64_t call : calls) {
      BOOST_TEST(run.Answered(call), "seed " << seed << ", call " << call);
      const RequestId id("r" + std::to_string(call));
      if (run.mResponses.contains(call) && run.mRan.contains(id) &&
          run.Status(call) != 200) {
        BOOST_TEST(run.ErrorField(call, "outcome") == "unknown",
                   "seed " << seed << ", call " << call << ": "
                           << run.mResponses.at(call).mBody);
      }
    }
  }
}
