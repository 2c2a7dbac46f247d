// Guards a target that turns cold without warning against more starts in any
// second than it tolerates. Also guards the choice of the batch item that is
// preempted by an online burst.
#define BOOST_TEST_MODULE scheduling_pace
#include <boost/test/unit_test.hpp>

#include "caraway/scheduling/scheduler.h"

using namespace caraway;

namespace {

Work
Item(uint64_t aId, MonoTime aGoal, Duration aRunTime)
{
  Work work;
  work.mId = WorkId(aId);
  work.mKind = WorkKind::eBatch;
  work.mStreamed = true;
  work.mDeadline = work.mGoal = aGoal;
  work.mRunTime = aRunTime;
  return work;
}

Work
Online(uint64_t aId, MonoTime aDeadline)
{
  Work work;
  work.mId = WorkId(aId);
  work.mWorkspace = WorkspaceId("w");
  work.mDeadline = aDeadline;
  return work;
}

Scheduler
Fixed(uint32_t aLimit)
{
  SchedulerSettings settings;
  settings.mFixedLimit = aLimit;
  Scheduler scheduler = MakeScheduler(settings);
  scheduler.mHeld = false;
  return scheduler;
}

std::vector<ScheduleStep>
Run(Scheduler& aScheduler, MonoTime aNow)
{
  std::vector<ScheduleStep> steps;
  Schedule(aScheduler, aNow, steps);
  return steps;
}

} // namespace

BOOST_AUTO_TEST_CASE(starts_in_any_second_stay_within_the_bound)
{
  StartPace pace;
  pace.mPerSecond = 5;
  const MonoTime begin{ 1000000 };
  std::vector<MonoTime> starts;
  for (MonoTime now = begin; now < begin + Seconds(10); now = now + Millis(7)) {
    if (MayStart(pace, now, StartKind::eOnline)) {
      RecordCallStart(pace, now);
      starts.push_back(now);
    }
  }
  BOOST_TEST(starts.size() >= 45u);
  for (size_t at = 5; at < starts.size(); ++at) {
    BOOST_TEST((starts[at] - starts[at - 5]).mMicros > Seconds(1).mMicros);
  }
}

BOOST_AUTO_TEST_CASE(batch_leaves_half_of_the_starts_to_online_work)
{
  StartPace pace;
  pace.mPerSecond = 10;
  const MonoTime now{ 1000000 };
  int batch = 0;
  while (MayStart(pace, now, StartKind::eBatch)) {
    RecordCallStart(pace, now);
    ++batch;
  }
  BOOST_TEST(batch == 5);
  BOOST_TEST(MayStart(pace, now, StartKind::eOnline));
}

BOOST_AUTO_TEST_CASE(online_work_over_the_start_rate_starts_after_one_second)
{
  Scheduler scheduler = Fixed(8);
  scheduler.mPace.mPerSecond = 1;
  const MonoTime now{ 1000000 };
  OfferOnline(scheduler, now, Online(1, now + Seconds(5)));
  OfferOnline(scheduler, now, Online(2, now + Seconds(5)));
  BOOST_TEST(Run(scheduler, now).size() == 1u);
  const MonoTime next = NextDecision(scheduler);
  BOOST_TEST((next <= now + Millis(1001)));
  BOOST_TEST(Run(scheduler, next).size() == 1u);
}

BOOST_AUTO_TEST_CASE(late_item_is_preempted_first_then_the_one_with_most_slack)
{
  Scheduler scheduler = Fixed(3);
  const MonoTime now{ 100000000 };
  AddBatch(scheduler, Item(1, now + Seconds(6), Seconds(5)));  // 1 s of slack
  AddBatch(scheduler, Item(2, now + Seconds(2), Seconds(5)));  // late
  AddBatch(scheduler, Item(3, now + Seconds(18), Seconds(5))); // 13 s of slack
  BOOST_TEST(Run(scheduler, now).size() == 3u);
  std::vector<uint64_t> stopped;
  for (uint64_t id = 10; id < 13; ++id) {
    OfferOnline(scheduler, now, Online(id, now + Seconds(5)));
    for (const ScheduleStep& step : Run(scheduler, now)) {
      if (step.mKind == StepKind::ePreempt) {
        stopped.push_back(step.mWork.mValue);
      }
    }
  }
  BOOST_TEST((stopped == std::vector<uint64_t>{ 2, 3, 1 }));
}

BOOST_AUTO_TEST_CASE(online_burst_takes_the_slots_of_batch_at_once)
{
  Scheduler scheduler = Fixed(8);
  const MonoTime now{ 100000000 };
  for (uint64_t id = 1; id <= 8; ++id) {
    AddBatch(scheduler, Item(id, now + Seconds(18), Seconds(5)));
  }
  Run(scheduler, now);
  for (uint64_t id = 101; id <= 112; ++id) {
    OfferOnline(scheduler, now, Online(id, now + Seconds(5)));
  }
  uint32_t started = 0;
  for (const ScheduleStep& step : Run(scheduler, now)) {
    started += step.mKind == StepKind::eStart ? 1 : 0;
  }
  BOOST_TEST(started == 8u);
  BOOST_TEST(scheduler.mRunningOnline == 8u);
  BOOST_TEST(CallsAtTarget(scheduler) ==
             8u); // never more than the target's slots
}
