// Guards against callers who compete for too few places being served in the
// wrong order: urgent ones behind others, a workspace that pays for another's
// excess, and callers that return only to be refused again.
#define BOOST_TEST_MODULE scheduling_shortage
#include <boost/test/unit_test.hpp>

#include <map>

#include "caraway/base/random.h"
#include "caraway/config/contract.h"
#include "caraway/scheduling/scheduler.h"

using namespace caraway;

namespace {

const MonoTime kStart{ 1000000 };

Work
Call(uint64_t aId, const char* aWorkspace, uint32_t aRank = 0)
{
  Work work;
  work.mId = WorkId(aId);
  work.mWorkspace = WorkspaceId(aWorkspace);
  work.mCost = 10;
  work.mRank = aRank;
  work.mDeadline = kStart + Seconds(5);
  work.mStartGoal = kStart + Millis(200);
  return work;
}

Scheduler
Target(uint32_t aSlots)
{
  SchedulerSettings settings;
  settings.mFixedLimit = aSlots;
  Scheduler scheduler = MakeScheduler(settings);
  scheduler.mHeld = false;
  return scheduler;
}

WorkId
NextStart(Scheduler& aScheduler, MonoTime aNow)
{
  std::vector<ScheduleStep> steps;
  Schedule(aScheduler, aNow, steps);
  for (const ScheduleStep& step : steps) {
    if (step.mKind == StepKind::eStart) {
      return step.mWork;
    }
  }
  return {};
}

// Ends the running call and returns the one that starts in its place.
WorkId
Replace(Scheduler& aScheduler, WorkId aRunning, MonoTime aNow = kStart)
{
  RecordCallEnd(aScheduler, aNow, aRunning, Ending::eGood, 0);
  return NextStart(aScheduler, aNow);
}

// A target with one slot, which call 1 has taken.
struct OneSlot
{
  Scheduler mTarget = Target(1);

  OneSlot()
  {
    Offer(Call(1, "first"));
    BOOST_REQUIRE((NextStart(mTarget, kStart) == WorkId(1)));
  }

  OfferResult Offer(const Work& aWork, MonoTime aNow = kStart)
  {
    return OfferOnline(mTarget, aNow, aWork);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(important_work_goes_first_also_when_late, OneSlot)
{
  Offer(Call(2, "a", 2));
  Offer(Call(3, "a", 0));
  Offer(Call(4, "b", 1));
  BOOST_TEST((Replace(mTarget, WorkId(1)) == WorkId(3)));
  BOOST_TEST((Replace(mTarget, WorkId(3)) == WorkId(4)));
  const MonoTime later = kStart + Millis(300); // call 2 is late by now
  Work urgent = Call(5, "b", 0);
  Offer(urgent, kStart);
  Work fresh = Call(6, "b", 1);
  fresh.mStartGoal = later + Millis(200);
  Offer(fresh, later);
  // Late work of the highest importance before new work of a lower one.
  BOOST_TEST((Replace(mTarget, WorkId(4), later) == WorkId(5)));
  BOOST_TEST((Replace(mTarget, WorkId(5), later) == WorkId(6)));
  BOOST_TEST((Replace(mTarget, WorkId(6), later) == WorkId(2)));
}

BOOST_FIXTURE_TEST_CASE(full_queue_drops_what_is_least_important, OneSlot)
{
  mTarget.mSettings.mMaxOnlineQueue = 2;
  Offer(Call(2, "a", 0));
  Offer(Call(3, "a", 1));
  BOOST_TEST((Offer(Call(4, "a", 0)).mEvicted == WorkId(3)));
  BOOST_TEST((Offer(Call(5, "b", 1)).mVerdict == Verdict::eRefused));
}

BOOST_FIXTURE_TEST_CASE(returned_caller_goes_before_new_ones_of_its_workspace,
                        OneSlot)
{
  Offer(Call(2, "a"));
  Work back = Call(3, "a");
  back.mIsCallerRetry = true;
  Offer(back);
  back.mId = WorkId(4);
  Offer(back);
  Offer(Call(5, "b"));
  // Fairly over workspaces, and in the order in which the callers returned.
  std::vector<uint64_t> order;
  for (WorkId last(1); order.size() < 4;) {
    last = Replace(mTarget, last);
    order.push_back(last.mValue);
  }
  BOOST_TEST((order == std::vector<uint64_t>{ 3, 5, 4, 2 }));
}

// It would not come back once more.
BOOST_FIXTURE_TEST_CASE(returned_caller_waits_until_its_deadline, OneSlot)
{
  Offer(Call(2, "a"));
  Work back = Call(3, "b");
  back.mIsCallerRetry = true;
  Offer(back);
  std::vector<ScheduleStep> steps;
  Schedule(mTarget, kStart + Millis(300), steps); // both are late by now
  Schedule(mTarget, kStart + Seconds(4), steps);
  BOOST_REQUIRE(steps.size() == 1u);
  BOOST_TEST((steps[0].mWork == WorkId(2)));
  BOOST_TEST((Replace(mTarget, WorkId(1), kStart + Seconds(4)) == WorkId(3)));
}

// Twelve targets with 240 places a second, and three kinds of workspaces.
struct Sender
{
  const char* mName;
  double mPerSecond; // of all its callers
  uint32_t mWeight;  // by what it may send
};

// Requests go to the less loaded of three targets, by whichever entry: a queue
// holds the requests of all entries.
std::map<std::string, double>
RefusedShares(const std::vector<Sender>& aSenders)
{
  constexpr size_t kTargets = 12;
  constexpr uint32_t kSlots = 4;
  const Duration service = Millis(200);
  std::vector<Scheduler> targets(kTargets, Target(kSlots));
  Random random(11);
  std::map<std::string, double> asked;
  std::map<std::string, double> refused;
  std::map<WorkId, std::pair<size_t, MonoTime>> running;
  std::map<WorkId, std::string> senderOf;
  const auto run = [&](size_t aTarget, MonoTime aNow) {
    std::vector<ScheduleStep> steps;
    Schedule(targets[aTarget], aNow, steps);
    for (const ScheduleStep& step : steps) {
      if (step.mKind == StepKind::eStart) {
        running[step.mWork] = { aTarget, aNow + service };
      } else {
        ++refused[senderOf[step.mWork]];
      }
    }
  };
  const auto send = [&](const Sender& aSender, MonoTime aNow) {
    size_t target = DrawBelow(random, kTargets);
    for (int more = 0; more < 2; ++more) {
      const size_t other = DrawBelow(random, kTargets);
      target = OnlineCalls(targets[other]) < OnlineCalls(targets[target])
                 ? other
                 : target;
    }
    Work work = Call(senderOf.size() + 1, aSender.mName);
    work.mWeight = aSender.mWeight;
    work.mStartGoal = aNow + Millis(200);
    work.mDeadline = aNow + Seconds(3);
    work.mMayReturn = true;
    ++asked[aSender.mName];
    senderOf[work.mId] = aSender.mName;
    if (OfferOnline(targets[target], aNow, work).mVerdict ==
        Verdict::eRefused) {
      ++refused[aSender.mName];
    }
    run(target, aNow);
  };
  for (int ms = 0; ms < 8000; ms += 2) {
    const MonoTime now = kStart + Millis(ms);
    const auto calls = running;
    for (const auto& [id, call] : calls) {
      if (call.second <= now) {
        running.erase(id);
        RecordCallEnd(targets[call.first], now, id, Ending::eGood, 0);
        run(call.first, now);
      }
    }
    for (const Sender& sender : aSenders) {
      if (DrawBelow(random, 100000) < sender.mPerSecond * 200) {
        send(sender, now);
      }
    }
  }
  for (auto& [name, count] : asked) {
    count = refused[name] / count;
    BOOST_TEST_MESSAGE(name << " refused " << count);
  }
  return asked;
}

// 310 requests a second for 240 places: "hot" sends many times its usual.
BOOST_AUTO_TEST_CASE(workspace_above_its_usual_pays_for_it_alone)
{
  std::vector<Sender> senders{ { "hot", 120, 9 }, { "large", 80, 128 } };
  for (const char* name : { "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8" }) {
    senders.push_back({ name, 14, 22 });
  }
  const std::map<std::string, double> shares = RefusedShares(senders);
  double others = 0;
  for (const auto& [name, share] : shares) {
    others += name == "hot" ? 0 : share / (senders.size() - 1);
  }
  BOOST_TEST(others < 0.05);
  BOOST_TEST(shares.at("large") < 0.05);
  BOOST_TEST(shares.at("hot") > others * 10);
}

BOOST_AUTO_TEST_CASE(weight_follows_what_a_workspace_may_send)
{
  Contract contract;
  contract.mRate = 90;
  BOOST_TEST(ShareWeight(contract) == 90u);
  contract.mRate = 0.2;
  BOOST_TEST(ShareWeight(contract) == 1u);
  contract.mRate = 0;
  contract.mWeight = 3;
  BOOST_TEST(ShareWeight(contract) == 300u);
}
