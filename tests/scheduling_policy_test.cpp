// Guards against unfair service, late refusals, batch work that delays online
// work, and a concurrency limit that overloads or starves the target.
#define BOOST_TEST_MODULE scheduling_policy
#include <boost/test/unit_test.hpp>

#include "caraway/scheduling/scheduler.h"

using namespace caraway;

namespace {

const MonoTime kStart{ 1000000 };

Work
Online(uint64_t aId, const char* aWorkspace, double aCost, uint32_t aWeight = 1)
{
  Work work;
  work.mId = WorkId(aId);
  work.mWorkspace = WorkspaceId(aWorkspace);
  work.mCost = aCost;
  work.mWeight = aWeight;
  work.mDeadline = kStart + Seconds(60);
  return work;
}

Scheduler
Warm(uint32_t aLimit)
{
  SchedulerSettings settings;
  settings.mLimit.mCold = aLimit;
  Scheduler scheduler = MakeScheduler(settings);
  scheduler.mHeld = false;
  return scheduler;
}

std::vector<ScheduleStep>
Decide(Scheduler& aScheduler, MonoTime aNow = kStart)
{
  std::vector<ScheduleStep> steps;
  Schedule(aScheduler, aNow, steps);
  return steps;
}

Work
Item(uint64_t aId, Duration aLeft)
{
  Work work = Online(aId, "night", 100);
  work.mDeadline = kStart + aLeft;
  work.mWindow = Seconds(1000);
  return work;
}

} // namespace

BOOST_AUTO_TEST_CASE(fair_queue_serves_by_weight_and_gives_no_idle_credit)
{
  FairQueue queue;
  for (uint64_t n = 0; n < 40; ++n) {
    PushFair(queue, Online(n, "a", 10, 3));
    PushFair(queue, Online(100 + n, "b", 10, 1));
  }
  int first = 0;
  for (int n = 0; n < 20; ++n) {
    first += PopFair(queue).mWorkspace == WorkspaceId("a") ? 1 : 0;
  }
  BOOST_TEST(first == 15);
  // A workspace that was idle is not compensated for its unused share.
  PushFair(queue, Online(200, "late", 10));
  PushFair(queue, Online(201, "late", 10));
  int late = 0;
  for (int n = 0; n < 8; ++n) {
    late += PopFair(queue).mWorkspace == WorkspaceId("late") ? 1 : 0;
  }
  BOOST_TEST(late >= 1);
  BOOST_TEST(late <= 2);
}

BOOST_AUTO_TEST_CASE(removed_work_is_not_charged)
{
  FairQueue queue;
  PushFair(queue, Online(1, "a", 1000));
  PushFair(queue, Online(2, "a", 10));
  PushFair(queue, Online(3, "b", 10));
  BOOST_TEST(RemoveFair(queue, WorkspaceId("a"), WorkId(1)));
  BOOST_TEST((PopFair(queue).mId == WorkId(2)));
  BOOST_TEST((PopFair(queue).mId == WorkId(3)));
  BOOST_TEST(queue.mBacklog == 0);
}

BOOST_AUTO_TEST_CASE(full_queue_drops_the_largest_backlog)
{
  Scheduler scheduler = Warm(1);
  scheduler.mSettings.mMaxOnlineQueue = 3;
  scheduler.mHeld = true;
  for (uint64_t n = 1; n <= 3; ++n) {
    OfferOnline(scheduler, kStart, Online(n, "heavy", 100));
  }
  const OfferResult light =
    OfferOnline(scheduler, kStart, Online(9, "light", 1));
  BOOST_TEST((light.mVerdict == Verdict::eQueued));
  BOOST_TEST((light.mEvicted == WorkId(3)));
  const OfferResult heavy =
    OfferOnline(scheduler, kStart, Online(10, "heavy", 1));
  BOOST_TEST((heavy.mKind == ErrorKind::eOverloaded));
}

BOOST_AUTO_TEST_CASE(work_that_cannot_start_in_time_is_refused_early)
{
  Scheduler scheduler = Warm(1);
  scheduler.mRate = { 100, 10 }; // ten cost units a second
  OfferOnline(scheduler, kStart, Online(1, "a", 100));
  Decide(scheduler);
  OfferOnline(scheduler, kStart, Online(2, "a", 300));
  Work late = Online(3, "a", 10);
  late.mDeadline = kStart + Seconds(20); // about 40 s are ahead
  const OfferResult refused = OfferOnline(scheduler, kStart, late);
  BOOST_TEST((refused.mKind == ErrorKind::eDeadlineTooShort));
  BOOST_TEST(refused.mRetryAfter.mMicros > 0);
  // Work of another workspace does not wait behind this backlog.
  Work other = Online(4, "b", 10);
  other.mDeadline = late.mDeadline;
  BOOST_TEST(
    (OfferOnline(scheduler, kStart, other).mVerdict == Verdict::eQueued));
  const auto steps = Decide(scheduler, kStart + Seconds(21));
  BOOST_REQUIRE_EQUAL(steps.size(), 1u);
  BOOST_TEST((steps[0].mKind == StepKind::eExpire));
  BOOST_TEST((steps[0].mWork == WorkId(4)));
}

BOOST_AUTO_TEST_CASE(online_preempts_the_batch_call_with_least_progress)
{
  Scheduler scheduler = Warm(2);
  AddBatch(scheduler, Item(1, Seconds(900)));
  AddBatch(scheduler, Item(2, Seconds(900)));
  BOOST_TEST(Decide(scheduler).size() == 2u);
  RecordToken(scheduler, kStart, WorkId(1));
  OfferOnline(scheduler, kStart, Online(3, "a", 10));
  const auto steps = Decide(scheduler);
  BOOST_REQUIRE_EQUAL(steps.size(), 2u);
  BOOST_TEST((steps[0].mKind == StepKind::ePreempt));
  BOOST_TEST((steps[0].mWork == WorkId(2)));
  BOOST_TEST((steps[1].mKind == StepKind::eStart));
  BOOST_TEST((steps[1].mWork == WorkId(3)));
}

BOOST_AUTO_TEST_CASE(items_near_their_deadline_keep_a_tenth_of_the_limit)
{
  Scheduler scheduler = Warm(20);
  for (uint64_t n = 1; n <= 20; ++n) {
    AddBatch(scheduler, Item(n, Seconds(100))); // 10% of the window left
  }
  Decide(scheduler);
  for (uint64_t n = 101; n <= 130; ++n) {
    OfferOnline(scheduler, kStart, Online(n, "a", 10));
  }
  Decide(scheduler);
  BOOST_TEST(scheduler.mRunning.size() == 20u);
  BOOST_TEST(scheduler.mRunningOnline == 18u);
}

BOOST_AUTO_TEST_CASE(limit_doubles_while_ramping_and_resets_when_cold)
{
  ConcurrencyLimit limit = MakeLimit({ 1, 64, Millis(74), Millis(750) });
  for (const uint32_t expected : { 2U, 4U, 8U }) {
    const uint32_t round = limit.mValue;
    for (uint32_t n = 0; n < round; ++n) {
      RecordCompletion(limit, true, true);
    }
    BOOST_TEST(limit.mValue == expected);
  }
  RecordCompletion(limit, true, false); // limit not used up: does not count
  BOOST_TEST(limit.mRoundSuccesses == 0u);
  limit.mTargetReportsCold = true;
  for (int n = 0; n < 20; ++n) {
    RecordCompletion(limit, true, true);
  }
  BOOST_TEST(limit.mValue == 8u);
  BOOST_TEST((RecordConnectionFailure(limit) == LimitChange::eTurnedCold));
  BOOST_TEST(limit.mValue == 1u);
}

BOOST_AUTO_TEST_CASE(limit_shrinks_by_a_quarter_over_a_goal)
{
  ConcurrencyLimit limit = MakeLimit({ 1, 64, Millis(74), Millis(750) });
  limit.mValue = 40;
  limit.mRamping = false;
  for (int n = 0; n < 64; ++n) {
    RecordTokenGap(limit, Millis(80), false); // above the limit: ignored
  }
  BOOST_TEST(limit.mValue == 40u);
  for (int n = 0; n < 64; ++n) {
    RecordTokenGap(limit, Millis(80), true);
  }
  BOOST_TEST(limit.mValue == 30u);
}

BOOST_AUTO_TEST_CASE(slow_or_missing_first_token_indicates_a_cold_target)
{
  ConcurrencyLimit limit = MakeLimit({ 1, 64, Millis(74), Millis(750) });
  for (int n = 0; n < 50; ++n) {
    RecordFirstToken(limit, Millis(200), 100, true);
  }
  limit.mValue = 40;
  BOOST_TEST(
    (RecordFirstToken(limit, Millis(790), 100, true) == LimitChange::eNone));
  BOOST_TEST((RecordFirstToken(limit, Millis(1200), 100, true) ==
              LimitChange::eTurnedCold));
  limit.mValue = 40; // a prompt of five times the length may take that long
  BOOST_TEST(
    (RecordFirstToken(limit, Millis(1200), 500, true) == LimitChange::eNone));
  Scheduler scheduler = Warm(1);
  scheduler.mLimit = limit;
  Work work = Online(1, "a", 10);
  work.mStreamed = true;
  OfferOnline(scheduler, kStart, work);
  Decide(scheduler);
  BOOST_TEST((CheckFirstTokenTimeouts(scheduler, kStart + Millis(700)) ==
              LimitChange::eNone));
  BOOST_TEST((CheckFirstTokenTimeouts(scheduler, kStart + Seconds(2)) ==
              LimitChange::eTurnedCold));
}

BOOST_AUTO_TEST_CASE(throughput_loss_at_more_calls_lowers_the_bound)
{
  ThroughputKnee knee;
  MonoTime now = kStart;
  knee.mSince = now;
  auto second = [&](uint32_t aCalls, int aTokens) {
    for (int n = 0; n < aTokens; ++n) {
      RecordKneeToken(knee, aCalls);
    }
    now = now + Seconds(1);
    AdjustKnee(knee, now);
  };
  second(64, 2000);
  second(96, 3000);
  BOOST_TEST(knee.mBound == ThroughputKnee().mBound);
  second(120, 2000);
  BOOST_TEST(knee.mBound >= 96u);
  BOOST_TEST(knee.mBound < 110u);
}
