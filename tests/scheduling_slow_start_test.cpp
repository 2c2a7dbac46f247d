// Guards against a target that has just started or recovered and is flooded
// with all its slots at once, or left idle for a fixed time.
#define BOOST_TEST_MODULE scheduling_slow_start
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <functional>
#include <vector>

#include "caraway/scheduling/scheduler.h"

using namespace caraway;

namespace {

constexpr uint32_t kSlots = 8;

// A target whose calls take longer until it has answered some, and the longer
// the more of them run beside each other than it can serve yet. There is always
// a caller that waits.
struct ColdTarget
{
  int mLate = 0;      // answers that took twice the usual time or longer
  int mServed = 0;    // within two seconds
  double mBusyAt = 0; // when all slots were in use with usual times

  // aLimit: calls at once, at a time in seconds. aDone: after each answer, with
  // its time against the usual time.
  void Play(const std::function<uint32_t(double)>& aLimit,
            const std::function<void(double)>& aDone)
  {
    constexpr double kUsual = 0.1;
    constexpr double kStep = 0.005;
    struct Call
    {
      double mStart;
      double mWork; // left, in usual seconds
    };
    std::vector<Call> running;
    int answered = 0;
    for (double now = 0; now < 4; now += kStep) {
      while (running.size() < aLimit(now)) {
        running.push_back({ now, kUsual });
      }
      const double cold = std::exp(-answered / 12.0);
      const double capacity = kSlots * (1 - 0.75 * cold);
      const double share =
        std::min(1.0, capacity / static_cast<double>(running.size()));
      const double crowded =
        std::max(1.0, static_cast<double>(running.size()) / (2 * capacity));
      for (Call& call : running) {
        call.mWork -= kStep * share / crowded;
      }
      std::erase_if(running, [&](const Call& aCall) {
        if (aCall.mWork > 0) {
          return false;
        }
        ++answered;
        const double took = now - aCall.mStart + kStep;
        mLate += took >= 2 * kUsual ? 1 : 0;
        mServed += now < 2 ? 1 : 0;
        aDone(took / kUsual);
        return true;
      });
      if (mBusyAt == 0 && cold < 0.05 && running.size() == kSlots) {
        mBusyAt = now;
      }
    }
  }
};

ColdTarget
PlaySlowStart()
{
  ColdTarget target;
  SlowStart start;
  BeginSlowStart(start);
  target.Play([&](double) { return SlowStartLimit(start, kSlots); },
              [&](double aPace) {
                RecordStartAnswer(start, JudgeStartAnswer(true, aPace), kSlots);
              });
  return target;
}

} // namespace

BOOST_AUTO_TEST_CASE(target_that_starts_is_neither_flooded_nor_idle)
{
  ColdTarget flooded;
  flooded.Play([](double) { return kSlots; }, [](double) {});
  ColdTarget paused;
  paused.Play([](double aNow) { return aNow < 2 ? 0 : kSlots; }, [](double) {});
  const ColdTarget paced = PlaySlowStart();
  BOOST_TEST_MESSAGE("late: all at once " << flooded.mLate << ", pause "
                                          << paused.mLate << ", slow start "
                                          << paced.mLate);
  BOOST_TEST_MESSAGE("served in 2 s: all at once "
                     << flooded.mServed << ", pause " << paused.mServed
                     << ", slow start " << paced.mServed);
  BOOST_TEST(paced.mLate * 2 <= flooded.mLate);
  BOOST_TEST(paced.mServed > paused.mServed);
  BOOST_TEST(paced.mServed * 10 >= flooded.mServed * 9);
  BOOST_TEST(paced.mBusyAt < 2);
}

BOOST_AUTO_TEST_CASE(limit_doubles_with_each_round_of_usual_answers)
{
  SlowStart start;
  BeginSlowStart(start);
  for (uint32_t calls = 2; calls < kSlots; calls *= 2) {
    BOOST_TEST(SlowStartLimit(start, kSlots) == calls);
    for (uint32_t answer = 0; answer < calls; ++answer) {
      RecordStartAnswer(start, StartAnswer::eUsual, kSlots);
    }
  }
  BOOST_TEST(!start.mActive);
  BOOST_TEST(SlowStartLimit(start, kSlots) == kSlots);
}

BOOST_AUTO_TEST_CASE(slow_answers_hold_the_limit)
{
  SlowStart start;
  BeginSlowStart(start);
  for (int answer = 0; answer < 20; ++answer) {
    RecordStartAnswer(start, JudgeStartAnswer(true, 3), kSlots);
  }
  BOOST_TEST(SlowStartLimit(start, kSlots) == 2u);
}

BOOST_AUTO_TEST_CASE(failures_in_a_row_shrink_the_limit_and_one_does_not)
{
  SlowStart start;
  RecordStartAnswer(start, StartAnswer::eFailed, kSlots);
  RecordStartAnswer(start, StartAnswer::eUsual, kSlots);
  RecordStartAnswer(start, StartAnswer::eFailed, kSlots);
  BOOST_TEST(SlowStartLimit(start, kSlots) == kSlots);
  for (int failure = 0; failure < 10; ++failure) {
    RecordStartAnswer(start, StartAnswer::eFailed, kSlots);
  }
  BOOST_TEST(SlowStartLimit(start, kSlots) == 2u);
  for (int answer = 0; answer < 6; ++answer) {
    RecordStartAnswer(start, StartAnswer::eUsual, kSlots);
  }
  BOOST_TEST(SlowStartLimit(start, kSlots) == kSlots);
}

// Guards against batch items that are started up to the slots and preempted
// down to the limit in the same step, again and again.
BOOST_AUTO_TEST_CASE(batch_items_keep_within_the_limit)
{
  SchedulerSettings settings;
  settings.mFixedLimit = kSlots;
  Scheduler scheduler = MakeScheduler(settings);
  scheduler.mHeld = false;
  BeginSlowStart(scheduler.mSlowStart);
  MonoTime now{ Seconds(100).mMicros };
  for (uint64_t item = 1; item <= kSlots; ++item) {
    Work work;
    work.mId = WorkId(item);
    work.mKind = WorkKind::eBatch;
    work.mDeadline = now + Seconds(60);
    AddBatch(scheduler, work);
  }
  std::vector<ScheduleStep> steps;
  Schedule(scheduler, now, steps);
  BOOST_TEST(steps.size() == 2u);
  for (int round = 0; round < 5; ++round) {
    steps.clear();
    now = now + Millis(10);
    Schedule(scheduler, now, steps);
    BOOST_TEST(steps.empty());
  }
}
