// Guards against a burst above the capacity of the targets making every caller
// late: which callers wait, which are told to retry, and the order of starts.
//
// Arrivals alternate between a third above and far below the capacity of all
// slots, as with synchronized callers. The result is compared with the queue
// without goals, first come first served, and random placement.
#define BOOST_TEST_MODULE scheduling_burst
#include <boost/test/unit_test.hpp>

#include <map>
#include <queue>

#include "caraway/base/random.h"
#include "caraway/scheduling/scheduler.h"

using namespace caraway;

namespace {

constexpr size_t kTargets = 6;
constexpr uint32_t kSlots = 8;
constexpr size_t kTargetsPerCall = 3; // targets asked for one request
constexpr Duration kService = Millis(700);
constexpr Duration kGoal = Millis(240);
constexpr Duration kCallerTimeout = Seconds(5);
constexpr Duration kBurst = Millis(2800);
constexpr Duration kQuiet = Millis(3800);
constexpr int kCycles = 6;

struct Policy
{
  SchedulePolicy mOrder = SchedulePolicy::eOnlineFirst;
  bool mUseGoals = true;
  bool mRandomTarget = false;
};

struct Call
{
  MonoTime mFirstSeen;
  MonoTime mGoalFrom; // start of the current attempt
  bool mReturned = false;
  std::map<size_t, WorkId> mWaitingAt; // by target
};

struct Outcomes
{
  int mOnTime = 0;       // at the first attempt
  int mReturnOnTime = 0; // after a retry
  int mLate = 0;
  int mRefused = 0; // finally
  int mRefusedWhileFree = 0;
};

enum class EventKind : uint8_t
{
  eArrive,
  eEnd,
  eWake,
};

struct Event
{
  MonoTime mAt;
  EventKind mEventKind = EventKind::eArrive;
  size_t mCall = 0;
  size_t mTarget = 0;
  WorkId mWork;
};

struct LaterEvent
{
  bool operator()(const Event& aLeft, const Event& aRight) const
  {
    return aLeft.mAt > aRight.mAt;
  }
};

struct Simulation
{
  Policy mPolicy;
  Random mRandom{ 7 };
  std::vector<Scheduler> mTargets;
  std::vector<Call> mCalls;
  std::map<WorkId, size_t> mCallOf;
  std::priority_queue<Event, std::vector<Event>, LaterEvent> mQueue;
  uint64_t mNextWork = 1;
  Outcomes mOutcomes;

  explicit Simulation(const Policy& aPolicy)
    : mPolicy(aPolicy)
  {
    SchedulerSettings settings;
    settings.mPolicy = aPolicy.mOrder;
    settings.mFixedLimit = kSlots;
    settings.mLimit.mCold = settings.mLimit.mMax = kSlots;
    for (size_t at = 0; at < kTargets; ++at) {
      mTargets.push_back(MakeScheduler(settings));
      mTargets.back().mHeld = false;
    }
  }

  void Withdraw(MonoTime aNow, Call& aCall)
  {
    for (const auto& [target, work] : aCall.mWaitingAt) {
      WithdrawWaiting(mTargets[target], aNow, work);
    }
    aCall.mWaitingAt.clear();
  }

  void HandleStart(MonoTime aNow, size_t aTarget, WorkId aWork)
  {
    Call& call = mCalls[mCallOf.at(aWork)];
    call.mWaitingAt.erase(aTarget);
    Withdraw(aNow, call);
    if (aNow > call.mGoalFrom + kGoal) {
      ++mOutcomes.mLate;
    } else {
      ++(call.mReturned ? mOutcomes.mReturnOnTime : mOutcomes.mOnTime);
    }
    mQueue.push({ aNow + kService, EventKind::eEnd, 0, aTarget, aWork });
  }

  void Run(MonoTime aNow, size_t aTarget)
  {
    std::vector<ScheduleStep> steps;
    Schedule(mTargets[aTarget], aNow, steps);
    for (const ScheduleStep& step : steps) {
      if (step.mKind == StepKind::eStart) {
        HandleStart(aNow, aTarget, step.mWork);
      } else {
        Call& call = mCalls[mCallOf.at(step.mWork)];
        call.mWaitingAt.erase(aTarget);
        mOutcomes.mRefused += call.mWaitingAt.empty() ? 1 : 0;
      }
    }
    const MonoTime next = NextDecision(mTargets[aTarget]);
    if (next < kNever) {
      mQueue.push(
        { std::max(next, aNow + Millis(1)), EventKind::eWake, 0, aTarget, {} });
    }
  }

  std::vector<size_t> TargetOrder()
  {
    std::vector<size_t> order;
    for (size_t at = 0; at < kTargets; ++at) {
      order.insert(order.begin() + static_cast<std::ptrdiff_t>(
                                     DrawBelow(mRandom, order.size() + 1)),
                   at);
    }
    if (!mPolicy.mRandomTarget) {
      const auto load = [&](size_t aTarget) {
        return CallsAtTarget(mTargets[aTarget]) +
               WaitingOnline(mTargets[aTarget]);
      };
      std::stable_sort(
        order.begin(), order.end(), [&](size_t aLeft, size_t aRight) {
          return load(aLeft) < load(aRight);
        });
    }
    order.resize(kTargetsPerCall);
    return order;
  }

  Work WorkFor(MonoTime aNow, const Call& aCall, size_t aCallId)
  {
    Work work;
    work.mId = WorkId(mNextWork++);
    work.mWorkspace = WorkspaceId(aCallId % 2 == 0 ? "a" : "b");
    work.mCost = 100;
    work.mDeadline = aCall.mFirstSeen + kCallerTimeout;
    if (mPolicy.mUseGoals) {
      work.mStartGoal = aNow + kGoal;
      work.mMayReturn = !aCall.mReturned;
    }
    return work;
  }

  bool HasFreeSlot() const
  {
    return std::any_of(
      mTargets.begin(), mTargets.end(), [](const Scheduler& aTarget) {
        return CallsAtTarget(aTarget) < kSlots;
      });
  }

  void HandleArrival(MonoTime aNow, size_t aCallId)
  {
    mCalls[aCallId].mGoalFrom = aNow;
    Duration back = kCallerTimeout;
    for (const size_t target : TargetOrder()) {
      const bool free = HasFreeSlot();
      const Work work = WorkFor(aNow, mCalls[aCallId], aCallId);
      mCallOf[work.mId] = aCallId;
      const OfferResult offer = OfferOnline(mTargets[target], aNow, work);
      if (offer.mVerdict == Verdict::eRefused) {
        mOutcomes.mRefusedWhileFree += free && !mPolicy.mRandomTarget ? 1 : 0;
        back = std::min(back, offer.mRetryAfter);
        continue;
      }
      mCalls[aCallId].mWaitingAt[target] = work.mId;
      Run(aNow, target);
      if (!mCalls[aCallId].mWaitingAt.contains(target)) {
        return; // it runs
      }
    }
    Call& call = mCalls[aCallId];
    if (!call.mWaitingAt.empty()) {
      return;
    }
    if (call.mReturned) {
      ++mOutcomes.mRefused;
      return;
    }
    call.mReturned = true;
    const Duration most = (call.mFirstSeen + kCallerTimeout - aNow) / 3;
    mQueue.push(
      { aNow + std::min(back, most), EventKind::eArrive, aCallId, 0, {} });
  }

  void RunEvents()
  {
    while (!mQueue.empty()) {
      const Event next = mQueue.top();
      mQueue.pop();
      if (next.mEventKind == EventKind::eArrive) {
        HandleArrival(next.mAt, next.mCall);
        continue;
      }
      if (next.mEventKind == EventKind::eEnd) {
        RecordCallEnd(
          mTargets[next.mTarget], next.mAt, next.mWork, Ending::eGood, 0);
      }
      Run(next.mAt, next.mTarget);
    }
  }
};

Outcomes
SimulateBursts(const Policy& aPolicy)
{
  Simulation model(aPolicy);
  const double capacity = kTargets * kSlots / kService.Seconds(); // a second
  MonoTime at{ 1000000 };
  for (int cycle = 0; cycle < kCycles; ++cycle) {
    for (const auto& [length, load] :
         { std::pair(kQuiet, 0.3), std::pair(kBurst, 4.0 / 3) }) {
      const auto gap = Micros(static_cast<int64_t>(1e6 / (capacity * load)));
      for (const MonoTime end = at + length; at < end; at = at + gap) {
        model.mCalls.push_back({ at, at, false, {} });
        model.mQueue.push(
          { at, EventKind::eArrive, model.mCalls.size() - 1, 0, {} });
      }
    }
  }
  model.RunEvents();
  const Outcomes& outcomes = model.mOutcomes;
  BOOST_TEST_MESSAGE("on time " << outcomes.mOnTime << ", after a retry "
                                << outcomes.mReturnOnTime << ", late "
                                << outcomes.mLate << ", refused "
                                << outcomes.mRefused << " of "
                                << model.mCalls.size());
  BOOST_TEST(outcomes.mOnTime + outcomes.mReturnOnTime + outcomes.mLate +
               outcomes.mRefused ==
             static_cast<int>(model.mCalls.size()));
  return outcomes;
}

} // namespace

BOOST_AUTO_TEST_CASE(bursts_above_capacity_keep_most_callers_on_time)
{
  const Outcomes goals = SimulateBursts({});
  BOOST_TEST(goals.mRefused == 0);
  BOOST_TEST(goals.mRefusedWhileFree == 0);
  for (const Policy& baseline :
       { Policy{ SchedulePolicy::eOnlineFirst, false, false },
         Policy{ SchedulePolicy::eFirstCome, false, false },
         Policy{ SchedulePolicy::eOnlineFirst, false, true } }) {
    const Outcomes other = SimulateBursts(baseline);
    BOOST_TEST(goals.mOnTime > other.mOnTime);
    BOOST_TEST(goals.mLate < other.mLate);
  }
}

// Overload that lasts: work that cannot be served expires while its caller has
// time left, not at the deadline.
BOOST_AUTO_TEST_CASE(late_work_expires_before_its_original_deadline)
{
  SchedulerSettings settings;
  settings.mFixedLimit = 1;
  Scheduler scheduler = MakeScheduler(settings);
  scheduler.mHeld = false;
  const MonoTime start{ 1000000 };
  std::vector<ScheduleStep> steps;
  for (uint64_t id = 1; id <= 2; ++id) {
    Work work;
    work.mId = WorkId(id);
    work.mDeadline = start + kCallerTimeout;
    work.mStartGoal = start + kGoal;
    BOOST_TEST(
      (OfferOnline(scheduler, start, work).mVerdict == Verdict::eQueued));
    Schedule(scheduler, start, steps);
  }
  steps.clear();
  Schedule(scheduler, start + kGoal + Millis(1), steps);
  BOOST_TEST(steps.empty());
  BOOST_TEST((NextDecision(scheduler) == start + kCallerTimeout * 2 / 3));
  Schedule(scheduler, start + kCallerTimeout * 2 / 3, steps);
  BOOST_REQUIRE(steps.size() == 1u);
  BOOST_TEST((steps[0].mKind == StepKind::eExpire));
  BOOST_TEST((steps[0].mWork == WorkId(2)));
}

// New work starts before work whose goal has passed, and the late work still
// starts before its deadline.
BOOST_AUTO_TEST_CASE(late_work_waits_behind_work_that_can_be_on_time)
{
  SchedulerSettings settings;
  settings.mFixedLimit = 1;
  Scheduler scheduler = MakeScheduler(settings);
  scheduler.mHeld = false;
  const MonoTime start{ 1000000 };
  const auto offer = [&](uint64_t aId, MonoTime aAt) {
    Work work;
    work.mId = WorkId(aId);
    work.mWorkspace = WorkspaceId("a");
    work.mDeadline = aAt + Seconds(5);
    work.mStartGoal = aAt + kGoal;
    return OfferOnline(scheduler, aAt, work).mVerdict;
  };
  const auto next = [&](MonoTime aAt) {
    std::vector<ScheduleStep> steps;
    Schedule(scheduler, aAt, steps);
    return steps.empty() ? WorkId() : steps.front().mWork;
  };
  BOOST_TEST((offer(1, start) == Verdict::eQueued));
  BOOST_TEST((next(start) == WorkId(1)));
  BOOST_TEST((offer(2, start) == Verdict::eQueued));
  const MonoTime later = start + Millis(500);
  BOOST_TEST((offer(3, later) == Verdict::eQueued));
  RecordCallEnd(scheduler, later, WorkId(1), Ending::eGood, 0);
  BOOST_TEST((next(later) == WorkId(3)));
  RecordCallEnd(scheduler, later + Millis(10), WorkId(3), Ending::eGood, 0);
  BOOST_TEST((next(later + Millis(10)) == WorkId(2)));
  BOOST_TEST(WaitingOnline(scheduler) == 0u);
}
