// Guards against batch runs that each burst of online work cuts, and against
// batch work that comes late because slots are kept free for such bursts.
#define BOOST_TEST_MODULE scheduling_forecast
#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>

#include "caraway/base/random.h"
#include "caraway/scheduling/scheduler.h"

using namespace caraway;

namespace {

const MonoTime kStart{ 1000000 };
constexpr uint32_t kSlots = 8;
constexpr Duration kItemTime = Seconds(3);
constexpr Duration kOnlineTime = Millis(300);
constexpr Duration kQuiet = Millis(3800);
constexpr Duration kBurst = Millis(2800);

constexpr size_t kTargets = 8;
constexpr size_t kItemsPerJob = 10;
constexpr Duration kPoll = Millis(200);

struct Outcome
{
  int mResults = 0;
  int mLate = 0;
  int mCuts = 0;
  int mLearnedCuts = 0; // of them, after the first two swings
  int mWaited = 0;      // online calls that did not start at once
};

struct Target
{
  Scheduler mScheduler;
  std::map<WorkId, MonoTime> mOnlineEnds;
  MonoTime mPollAt;
};

// Some targets, each of which asks for as many items as it has room for. Online
// demand swings between 0.4 and 1.8 of its mean, and goes to the target with
// the least load as entries see it. Jobs of ten items come at a steady rate;
// their items are due after 18 s.
struct Swings
{
  std::vector<Target> mTargets{ kTargets };
  Random mRandom{ 5 };
  MonoTime mNow = kStart;
  uint64_t mNextId = 1;
  std::map<WorkId, MonoTime> mDue;
  std::deque<MonoTime> mBacklog; // due times of items not leased yet
  Outcome mOutcome;

  Swings()
  {
    SchedulerSettings settings;
    settings.mFixedLimit = kSlots;
    settings.mSpareBursts = true;
    for (Target& target : mTargets) {
      target.mScheduler = MakeScheduler(settings);
      target.mScheduler.mHeld = false;
      target.mPollAt = mNow + Millis(DrawBelow(mRandom, 200));
    }
  }

  void Lease(Target& aTarget)
  {
    if (mNow < aTarget.mPollAt) {
      return;
    }
    aTarget.mPollAt = mNow + kPoll;
    uint32_t room = BatchRoom(aTarget.mScheduler, mNow);
    while (room-- > 0 && !mBacklog.empty()) {
      Work item;
      item.mId = WorkId(mNextId++);
      item.mKind = WorkKind::eBatch;
      item.mDeadline = item.mGoal = mBacklog.front();
      item.mRunTime = kItemTime;
      mDue[item.mId] = item.mGoal;
      mBacklog.pop_front();
      AddBatch(aTarget.mScheduler, item);
    }
  }

  void Run(Target& aTarget)
  {
    std::vector<ScheduleStep> steps;
    Schedule(aTarget.mScheduler, mNow, steps);
    for (const ScheduleStep& step : steps) {
      const bool cut = step.mKind == StepKind::ePreempt;
      mOutcome.mCuts += cut ? 1 : 0;
      mOutcome.mLearnedCuts +=
        cut && mNow > kStart + (kQuiet + kBurst) * 2 ? 1 : 0;
      if (step.mKind == StepKind::eStart && !mDue.contains(step.mWork)) {
        aTarget.mOnlineEnds[step.mWork] =
          mNow + kOnlineTime / 2 +
          Millis(DrawBelow(mRandom, kOnlineTime.Millis()));
      }
    }
  }

  void EndCalls(Target& aTarget)
  {
    for (auto call = aTarget.mOnlineEnds.begin();
         call != aTarget.mOnlineEnds.end();) {
      const auto [id, end] = *call++;
      if (end <= mNow) {
        aTarget.mOnlineEnds.erase(id);
        RecordCallEnd(aTarget.mScheduler, mNow, id, Ending::eGood, 0);
      }
    }
    std::vector<WorkId> ended;
    for (const auto& [id, running] : aTarget.mScheduler.mRunning) {
      const Duration ran = running.mWork.mRan + (mNow - running.mStarted);
      if (mDue.contains(id) && ran >= kItemTime) {
        ended.push_back(id);
      }
    }
    for (const WorkId id : ended) {
      RecordCallEnd(aTarget.mScheduler, mNow, id, Ending::eGood, 0);
      ++mOutcome.mResults;
      mOutcome.mLate += mNow > mDue[id] ? 1 : 0;
      mDue.erase(id);
    }
  }

  // As entries see it: batch work counts a quarter, and some chance.
  Target& LeastLoaded()
  {
    const auto load = [&](const Target& aTarget) {
      const double online = OnlineCalls(aTarget.mScheduler);
      const double batch =
        CallsAtTarget(aTarget.mScheduler) - aTarget.mScheduler.mRunningOnline;
      return online + batch / 4 +
             static_cast<double>(DrawBelow(mRandom, 2000)) / 1000;
    };
    Target* best = &mTargets[0];
    double least = load(*best);
    for (Target& target : mTargets) {
      if (const double other = load(target); other < least) {
        least = other;
        best = &target;
      }
    }
    return *best;
  }

  void Arrive()
  {
    Work call;
    call.mId = WorkId(mNextId++);
    call.mWorkspace = WorkspaceId("a");
    call.mDeadline = mNow + Seconds(5);
    Target& target = LeastLoaded();
    OfferOnline(target.mScheduler, mNow, call);
    Run(target);
    mOutcome.mWaited += target.mOnlineEnds.contains(call.mId) ? 0 : 1;
  }

  // aOnline: calls that run on average, aBatch: items, both per target.
  Outcome Play(double aOnline, double aBatch)
  {
    const double perSecond = kTargets * aOnline / kOnlineTime.Seconds();
    const Duration jobEvery = Micros(static_cast<int64_t>(
      1e6 * kItemsPerJob * kItemTime.Seconds() / (aBatch * kTargets)));
    MonoTime nextJob = mNow;
    const MonoTime end = mNow + (kQuiet + kBurst) * 10;
    while (mNow < end) {
      const Duration phase{ (mNow - kStart).mMicros %
                            (kQuiet + kBurst).mMicros };
      if (mNow >= nextJob) {
        nextJob = nextJob + jobEvery;
        mBacklog.insert(mBacklog.end(), kItemsPerJob, mNow + Seconds(18));
      }
      for (Target& target : mTargets) {
        EndCalls(target);
        Lease(target);
        Run(target);
      }
      const double wanted = perSecond * (phase < kQuiet ? 0.4 : 1.8) / 200;
      for (double left = wanted; left > 0; left -= 1) {
        if (DrawBelow(mRandom, 100000) < left * 100000) {
          Arrive();
        }
      }
      mNow = mNow + Millis(5);
    }
    BOOST_TEST_MESSAGE("results " << mOutcome.mResults << ", late "
                                  << mOutcome.mLate << ", cuts "
                                  << mOutcome.mCuts << ", online waited "
                                  << mOutcome.mWaited);
    return mOutcome;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(batch_work_that_starts_is_rarely_cut_by_bursts)
{
  const Outcome outcome = Swings().Play(2.2, 1.5);
  BOOST_TEST(outcome.mResults > 240);
  BOOST_TEST(outcome.mCuts * 10 < outcome.mResults * 3);
  BOOST_TEST(outcome.mLate == 0);
}

// Bursts that take nearly all slots: once their period has been seen, items run
// in the pauses.
BOOST_AUTO_TEST_CASE(bursts_that_fill_the_targets_find_little_batch_work)
{
  const Outcome outcome = Swings().Play(4.0, 1.0);
  BOOST_TEST(outcome.mResults > 150);
  BOOST_TEST(outcome.mLearnedCuts * 10 < outcome.mResults * 3);
  BOOST_TEST(outcome.mCuts < outcome.mResults);
  BOOST_TEST(outcome.mLate * 50 < outcome.mResults);
}

// More items than the slots that online work leaves at all times: those due
// soon use the pauses as well, and are cut in the bursts.
BOOST_AUTO_TEST_CASE(items_that_are_due_soon_use_all_slots)
{
  const Outcome outcome = Swings().Play(2.2, 4.5);
  BOOST_TEST(outcome.mResults > 600);
  BOOST_TEST(outcome.mLate * 50 < outcome.mResults);
}

BOOST_AUTO_TEST_CASE(forecast_covers_bursts_that_recur_and_counts_its_errors)
{
  OnlineForecast forecast;
  for (int ms = 0; ms < 20000; ms += 50) {
    const bool burst = ms % 6600 >= 3800;
    RecordOnlineCalls(forecast, kStart + Millis(ms), burst ? 6 : 1);
    if (ms > 6600) {
      BOOST_TEST(ExpectedOnlineCalls(forecast, Seconds(7)) == 6u);
    }
  }
  BOOST_TEST(forecast.mExceeded == 1u); // the first burst
  // Ten seconds after the last burst it is forgotten.
  RecordOnlineCalls(forecast, kStart + Seconds(32), 1);
  BOOST_TEST(ExpectedOnlineCalls(forecast, Seconds(7)) == 1u);
  BOOST_TEST(forecast.mSpared > 0u);
}
