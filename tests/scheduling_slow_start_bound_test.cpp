// Guards a target that comes back against more calls than its slots, its cold
// bound and its own answers allow, in any order of answers; and a slow start
// that never ends, which would leave the target idle.
#define BOOST_TEST_MODULE scheduling_slow_start_bound
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <rapidcheck.h>

#include "caraway/scheduling/scheduler.h"

using namespace caraway;

namespace {

StartAnswer
AnyAnswer()
{
  return *rc::gen::element(
    StartAnswer::eUsual, StartAnswer::eSlow, StartAnswer::eFailed);
}

} // namespace

BOOST_AUTO_TEST_CASE(limit_follows_the_answers_and_stays_within_the_slots)
{
  BOOST_TEST(rc::check("slow start stays within its limits", [] {
    const auto slots = *rc::gen::inRange<uint32_t>(2, 65);
    SlowStart start;
    if (*rc::gen::arbitrary<bool>()) {
      BeginSlowStart(start);
    }
    for (int count = *rc::gen::inRange(0, 100); count > 0; --count) {
      const uint32_t before = SlowStartLimit(start, slots);
      const StartAnswer answer = AnyAnswer();
      RecordStartAnswer(start, answer, slots);
      const uint32_t after = SlowStartLimit(start, slots);
      RC_ASSERT(after <= slots);
      RC_ASSERT(after >= 2u);
      RC_ASSERT(after <= before + (answer == StartAnswer::eUsual ? 1 : 0));
    }
    for (uint32_t answer = 0; answer < slots; ++answer) {
      RecordStartAnswer(start, StartAnswer::eUsual, slots);
    }
    RC_ASSERT(!start.mActive);
  }));
}

// The cold bound holds in every second, and the limit at every moment at which
// calls start.
BOOST_AUTO_TEST_CASE(starts_keep_within_the_cold_bound_beside_a_slow_start)
{
  BOOST_TEST(rc::check("cold bound holds beside the slow start", [] {
    constexpr uint32_t kSlots = 8;
    SchedulerSettings settings;
    settings.mFixedLimit = kSlots;
    Scheduler scheduler = MakeScheduler(settings);
    scheduler.mHeld = false;
    scheduler.mPace.mPerSecond = *rc::gen::inRange(2, 40);
    BeginSlowStart(scheduler.mSlowStart);
    std::vector<MonoTime> starts;
    std::vector<WorkId> running;
    MonoTime now{ Seconds(100).mMicros };
    uint64_t next = 1;
    for (int round = 0; round < 300; ++round) {
      now = now + Millis(*rc::gen::inRange(1, 30));
      Work work;
      work.mId = WorkId(next++);
      work.mKind = WorkKind::eBatch;
      work.mDeadline = now + Seconds(600);
      AddBatch(scheduler, work);
      if (!running.empty() && *rc::gen::arbitrary<bool>()) {
        const StartAnswer answer = AnyAnswer();
        RecordStartAnswer(scheduler.mSlowStart, answer, kSlots);
        RecordCallEnd(scheduler,
                      now,
                      running.front(),
                      answer == StartAnswer::eFailed ? Ending::eServerError
                                                     : Ending::eGood,
                      0);
        running.erase(running.begin());
      }
      std::vector<ScheduleStep> steps;
      Schedule(scheduler, now, steps);
      for (const ScheduleStep& step : steps) {
        if (step.mKind == StepKind::eStart) {
          running.push_back(step.mWork);
          starts.push_back(now);
          RC_ASSERT(running.size() <=
                    SlowStartLimit(scheduler.mSlowStart, kSlots));
        } else {
          std::erase(running, step.mWork);
        }
      }
    }
    for (size_t from = 0; from < starts.size(); ++from) {
      const auto end = std::upper_bound(
        starts.begin(), starts.end(), starts[from] + Seconds(1) - Micros(1));
      RC_ASSERT(static_cast<double>(
                  end - (starts.begin() + static_cast<ptrdiff_t>(from))) <=
                scheduler.mPace.mPerSecond);
    }
  }));
}
