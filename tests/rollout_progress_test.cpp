// Guards the phases of a roll-out: the traffic moves only to a version that was
// judged, as late as the order's time allows, and old targets are given up only
// when nothing runs there.
#define BOOST_TEST_MODULE rollout_progress
#include <boost/test/unit_test.hpp>

#include "caraway/base/random.h"
#include "caraway/rollout/exposure.h"
#include "caraway/rollout/progress.h"

using namespace caraway;

namespace {

struct Order
{
  Rollout mRollout;
  RolloutStatus mStatus;
  MonoTime mNow{ Seconds(100).mMicros };

  Order()
  {
    mRollout.mService = ServiceId("engine");
    mRollout.mTo = "v2";
    mRollout.mBegunAt = mRollout.mChangedAt = mNow;
    mRollout.mDuration = Seconds(12);
    mStatus.mTrialSlots = mStatus.mOldSlots = 8;
    mStatus.mStreamTime = Seconds(5);
    mStatus.mJudgement.mVerdict = RolloutVerdict::eGood;
  }

  // Lets the leader look each 100 ms. Returns when the phase is left, or
  // nullopt if it still goes on after aMost.
  std::optional<Duration> Leaves(Duration aMost)
  {
    const MonoTime start = mNow;
    for (; mNow - start <= aMost; mNow = mNow + Millis(100)) {
      if (auto step = NextRolloutStep(mRollout, mStatus, mNow)) {
        mRollout.mPhase = step->mNext;
        mRollout.mChangedAt = mNow;
        return mNow - start;
      }
    }
    return std::nullopt;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(sound_version_completes_in_the_time_of_the_order, Order)
{
  mStatus.mAllReported = true;
  BOOST_REQUIRE(Leaves(Seconds(12)));
  BOOST_TEST((mRollout.mPhase == RolloutPhase::eMoving));
  BOOST_REQUIRE(Leaves(Seconds(12)));
  BOOST_TEST((mRollout.mPhase == RolloutPhase::eDraining));
  BOOST_REQUIRE(Leaves(Seconds(12)));
  BOOST_TEST((mRollout.mPhase == RolloutPhase::eCompleted));
  BOOST_TEST((mNow - mRollout.mBegunAt).Seconds() <= 12);
}

BOOST_FIXTURE_TEST_CASE(bad_version_is_taken_back_in_each_active_phase, Order)
{
  mStatus.mJudgement.mVerdict = RolloutVerdict::eBad;
  for (const RolloutPhase phase : { RolloutPhase::eTrial,
                                    RolloutPhase::eMoving,
                                    RolloutPhase::eDraining }) {
    mRollout.mPhase = phase;
    const auto step = NextRolloutStep(mRollout, mStatus, mNow);
    BOOST_REQUIRE(step);
    BOOST_TEST((step->mNext == RolloutPhase::eRolledBack));
  }
  mRollout.mPhase = RolloutPhase::eCompleted;
  BOOST_TEST(!NextRolloutStep(mRollout, mStatus, mNow));
}

BOOST_FIXTURE_TEST_CASE(version_without_a_verdict_stays_on_trial, Order)
{
  mStatus.mJudgement.mVerdict = RolloutVerdict::eUndecided;
  mStatus.mJudgement.mReason = "too few answers";
  BOOST_TEST(!Leaves(Seconds(60)));
  BOOST_TEST(RolloutAlarm(mRollout, mStatus, mNow) == "too few answers");
}

BOOST_FIXTURE_TEST_CASE(traffic_does_not_move_to_too_few_targets, Order)
{
  mStatus.mTrialSlots = 5;
  BOOST_TEST(!Leaves(Seconds(60)));
  BOOST_TEST(RolloutAlarm(mRollout, mStatus, mNow) ==
             "too few targets of the version: 5 slots beside 8");
  mStatus.mTrialSlots = 0;
  BOOST_TEST(!Leaves(Seconds(60)));
  BOOST_TEST(RolloutAlarm(mRollout, mStatus, mNow) ==
             "no target of the version takes work");
}

BOOST_FIXTURE_TEST_CASE(old_targets_are_kept_while_calls_run_there, Order)
{
  mRollout.mPhase = RolloutPhase::eDraining;
  mStatus.mAllReported = true;
  mStatus.mCallsAtOld = 1;
  BOOST_TEST(!Leaves(Seconds(60)));
  mStatus.mCallsAtOld = 0;
  mStatus.mAllReported = false;
  BOOST_TEST(!Leaves(Seconds(60)));
  mStatus.mAllReported = true;
  BOOST_TEST(Leaves(Seconds(1)).has_value());
}

// Targets of the version leave, or their zone is evacuated, while the old ones
// get nothing new any more.
BOOST_FIXTURE_TEST_CASE(old_targets_help_out_again_if_new_ones_leave, Order)
{
  mRollout.mPhase = RolloutPhase::eDraining;
  mStatus.mCallsAtOld = 1;
  mStatus.mTrialSlots = 3;
  BOOST_REQUIRE(Leaves(Seconds(1)));
  BOOST_TEST((mRollout.mPhase == RolloutPhase::eMoving));
  BOOST_TEST(!Leaves(Seconds(10)));
  mStatus.mTrialSlots = 8;
  BOOST_REQUIRE(Leaves(Seconds(2)));
  BOOST_TEST((mRollout.mPhase == RolloutPhase::eDraining));
}

// 390 entries that never hear each other, with uneven traffic, restarts in the
// middle and streams that are taken up again.
BOOST_AUTO_TEST_CASE(exposure_stays_within_share_and_slack_over_all_entries)
{
  constexpr size_t kEntries = 390;
  constexpr double kShare = 0.1;
  constexpr double kSlack = 50;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    std::vector<Exposure> entries(kEntries);
    std::vector<double> slack(kEntries, kSlack / kEntries);
    uint64_t requests = 0;
    uint64_t trial = 0;
    for (int step = 0; step < 50000; ++step) {
      const size_t at = DrawBelow(random, 1 + DrawBelow(random, kEntries));
      const bool resumed = DrawBelow(random, 4) == 0;
      Exposure& one = entries[at];
      const bool may =
        MayExpose(one,
                  kShare,
                  slack[at],
                  resumed ? TrialUse::eResumedStream : TrialUse::eNewRequest);
      ++one.mRequests;
      one.mTrial += may ? 1 : 0;
      ++requests;
      trial += may ? 1 : 0;
      if (DrawBelow(random, 500) == 0) {
        one = {};
        slack[at] = 0;
      }
      BOOST_REQUIRE(static_cast<double>(trial) <=
                    kShare * static_cast<double>(requests) + kSlack);
    }
    BOOST_TEST(trial > requests / 25); // the share is used
  }
}

BOOST_AUTO_TEST_CASE(trial_targets_carry_a_usual_load)
{
  BOOST_TEST(TrialTargets(0.1, 38) == 4u);
  BOOST_TEST(TrialTargets(0.05, 3) == 3u);
}
