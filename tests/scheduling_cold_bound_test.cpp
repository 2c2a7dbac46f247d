// Guards a target that turns cold against more requests in a second than it
// tolerates, summed over all callers: grants that are used late, nodes and
// targets that restart, and entries that call while no node answers.
#define BOOST_TEST_MODULE scheduling_cold_bound
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <rapidcheck.h>

#include "caraway/base/random.h"
#include "caraway/routing/placement.h"

using namespace caraway;

namespace {

constexpr Duration kStep = Millis(5);
// How long an entry waits for an answer of the node before it calls without a
// grant, as in entry/direct_targets.cpp.
constexpr Duration kNodeTimeout = Millis(1100);

struct Scenario
{
  double mRate = 10;
  uint32_t mSlots = 8;
  uint32_t mEntries = 8;
  uint64_t mSeed = 1;
  bool mNodeRestarts = false; // the node dies and restarts at random times
  bool mLateGrants = false;   // grants are used up to two seconds later
  bool mUnused = false;       // some grants are given back in place of that
};

// A target whose callers all start as many calls as the limits allow.
class ColdTargetSimulation
{
public:
  explicit ColdTargetSimulation(const Scenario& aScenario)
    : mScenario(aScenario)
    , mRandom(aScenario.mSeed)
    , mUnguarded(aScenario.mEntries)
  {
    StartNode();
  }

  // The most requests that were sent in any second.
  size_t Run(Duration aTime)
  {
    for (const MonoTime end = mNow + aTime; mNow < end; mNow = mNow + kStep) {
      if (mScenario.mNodeRestarts && DrawBelow(mRandom, 400) == 0) {
        StopNode();
      }
      if (!mAlive && mNow >= mRestartAt) {
        StartNode();
      }
      IssueGrants();
      UseGrants();
      CallUnguarded();
    }
    return MaxRequestsInWindow();
  }

  std::vector<MonoTime> mSent;
  size_t mGivenBack = 0;

private:
  struct Grant
  {
    MonoTime mIssuedAt;
    MonoTime mUseAt;
  };

  void StartNode()
  {
    mAlive = true;
    mPace = StartPace();
    mPace.mPerSecond = GrantableStarts(mTolerance,
                                       mScenario.mRate,
                                       mScenario.mSlots,
                                       DrawBelow(mRandom, 2) == 0);
    mPace.mQuietUntil = mNow + kPaceWindow;
  }

  void StopNode()
  {
    mAlive = false;
    mUnansweredSince = mNow;
    mRestartAt =
      mNow + Millis(100 + static_cast<int64_t>(DrawBelow(mRandom, 3000)));
    // Issued grants stay usable, since their entries do not know that it died.
  }

  void IssueGrants()
  {
    while (mAlive && mGrants.size() < mScenario.mSlots &&
           MayStart(mPace, mNow, StartKind::eOnline)) {
      RecordCallStart(mPace, mNow);
      const auto late = static_cast<int64_t>(DrawBelow(mRandom, 2000));
      mGrants.push_back(
        { mNow, mScenario.mLateGrants ? mNow + Millis(late) : mNow });
    }
  }

  void UseGrants()
  {
    std::erase_if(mGrants, [&](const Grant& aGrant) {
      if (aGrant.mUseAt > mNow) {
        return false;
      }
      if (mScenario.mUnused && DrawBelow(mRandom, 3) == 0) {
        ReturnStart(mPace, aGrant.mIssuedAt);
        ++mGivenBack;
      } else {
        mSent.push_back(mNow);
      }
      return true;
    });
  }

  void CallUnguarded()
  {
    if (mAlive || mNow - mUnansweredSince <= kNodeTimeout) {
      return;
    }
    for (uint32_t rank = 0; rank < mScenario.mEntries; ++rank) {
      StartPace& pace = mUnguarded[rank];
      pace.mPerSecond = ShareOfRank(
        UnguardedStarts(mTolerance, mScenario.mRate), rank, mScenario.mEntries);
      while (pace.mPerSecond > 0 && MayStart(pace, mNow, StartKind::eOnline)) {
        RecordCallStart(pace, mNow);
        mSent.push_back(mNow);
      }
    }
  }

  size_t MaxRequestsInWindow() const
  {
    size_t most = 0;
    for (size_t from = 0; from < mSent.size(); ++from) {
      const auto end = std::upper_bound(
        mSent.begin(), mSent.end(), mSent[from] + kPaceWindow - Micros(1));
      most = std::max<size_t>(most, end - (mSent.begin() + from));
    }
    return most;
  }

  Scenario mScenario;
  Random mRandom;
  ColdTolerance mTolerance;
  MonoTime mNow{ 10000000 };
  StartPace mPace;
  bool mAlive = true;
  MonoTime mRestartAt;
  MonoTime mUnansweredSince;
  std::vector<Grant> mGrants; // those not used yet
  std::vector<StartPace> mUnguarded;
};

} // namespace

BOOST_AUTO_TEST_CASE(late_grants_stay_within_the_cold_bound)
{
  const bool held = rc::check([] {
    Scenario scenario;
    scenario.mRate = *rc::gen::inRange(6, 30);
    scenario.mEntries = *rc::gen::inRange(1, 100);
    scenario.mSeed = *rc::gen::inRange(1, 1000000);
    scenario.mLateGrants = true;
    ColdTargetSimulation simulation(scenario);
    const auto most = static_cast<double>(simulation.Run(Seconds(8)));
    RC_ASSERT(most <= ToleratedStarts(ColdTolerance(), scenario.mRate));
    RC_ASSERT(simulation.mSent.size() > 8u);
  });
  BOOST_TEST(held);
}

// Requests wait at several targets, and all grants but the first are given
// back.
BOOST_AUTO_TEST_CASE(grants_that_are_given_back_stay_within_the_cold_bound)
{
  const bool held = rc::check([] {
    Scenario scenario;
    scenario.mRate = *rc::gen::inRange(6, 30);
    scenario.mSeed = *rc::gen::inRange(1, 1000000);
    scenario.mLateGrants = *rc::gen::arbitrary<bool>();
    scenario.mNodeRestarts = *rc::gen::arbitrary<bool>();
    scenario.mUnused = true;
    ColdTargetSimulation simulation(scenario);
    const auto most = static_cast<double>(simulation.Run(Seconds(30)));
    RC_ASSERT(most <= ToleratedStarts(ColdTolerance(), scenario.mRate));
    RC_ASSERT(simulation.mGivenBack > 0u);
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(unused_start_makes_room_for_another)
{
  StartPace pace;
  pace.mPerSecond = 2;
  const MonoTime now{ 1000000 };
  RecordCallStart(pace, now);
  RecordCallStart(pace, now + Millis(1));
  BOOST_TEST(!MayStart(pace, now + Millis(2), StartKind::eOnline));
  ReturnStart(pace, now + Millis(1));
  BOOST_TEST(MayStart(pace, now + Millis(2), StartKind::eOnline));
  ReturnStart(pace, now + Millis(1)); // a repeated release
  RecordCallStart(pace, now + Millis(2));
  BOOST_TEST(!MayStart(pace, now + Millis(3), StartKind::eOnline));
}

BOOST_AUTO_TEST_CASE(
  node_restarts_and_unguarded_entries_stay_within_the_cold_bound)
{
  const bool held = rc::check([] {
    Scenario scenario;
    scenario.mRate = *rc::gen::inRange(6, 30);
    scenario.mEntries = *rc::gen::inRange(1, 100);
    scenario.mSeed = *rc::gen::inRange(1, 1000000);
    scenario.mNodeRestarts = true;
    ColdTargetSimulation simulation(scenario);
    const auto most = static_cast<double>(simulation.Run(Seconds(30)));
    RC_ASSERT(most <= ToleratedStarts(ColdTolerance(), scenario.mRate));
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(shares_sum_to_at_most_the_bound_and_to_over_half_of_it)
{
  const bool held = rc::check([] {
    const double bound = *rc::gen::inRange(0, 400) / 10.0;
    const uint32_t entries = *rc::gen::inRange(1, 400);
    double sum = 0;
    for (uint32_t rank = 0; rank < entries; ++rank) {
      sum += ShareOfRank(bound, rank, entries);
    }
    RC_ASSERT(sum <= bound);
    RC_ASSERT(bound < 1 || sum * 2 > bound);
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(warm_target_is_granted_more_than_the_cold_rate)
{
  const ColdTolerance tolerance;
  BOOST_TEST(GrantableStarts(tolerance, 15, 8, true) == 15);
  BOOST_TEST(GrantableStarts(tolerance, 15, 8, false) == 19.5);
  BOOST_TEST(GrantableStarts(tolerance, 0, 8, false) == 0); // no bound
  // Above 0 however small the rate, or no call could ever start.
  BOOST_TEST(GrantableStarts(tolerance, 0.1, 64, true) > 0);
}

BOOST_AUTO_TEST_CASE(quiet_period_ends_without_another_event)
{
  StartPace pace;
  pace.mPerSecond = 5;
  const MonoTime now{ 1000000 };
  pace.mQuietUntil = now + Seconds(1);
  BOOST_TEST(!MayStart(pace, now, StartKind::eOnline));
  const MonoTime next = NextStart(pace);
  BOOST_TEST((next == now + Seconds(1)));
  BOOST_TEST(MayStart(pace, next, StartKind::eOnline));
  // Otherwise a loop that sleeps until then would spin.
  BOOST_TEST((NextStart(pace) == kNever));
}
