// Guards against targets of uneven speed that get equal work: their callers
// wait while faster targets are idle.
#define BOOST_TEST_MODULE scheduling_target_pace
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>
#include <queue>

#include "caraway/routing/placement.h"

using namespace caraway;

BOOST_AUTO_TEST_CASE(lasting_difference_is_learned_through_noise)
{
  Random random(1);
  TargetPace slow;
  TargetPace usual;
  for (int answer = 0; answer < 200; ++answer) {
    // A spell in which everything takes 2.5 times as long, one time in ten.
    const double spell = DrawBelow(random, 10) == 0 ? 2.5 : 1.0;
    const double noise =
      0.8 + static_cast<double>(DrawBelow(random, 400)) / 1000.0;
    RecordPace(slow, 1.7 * spell * noise);
    RecordPace(usual, 0.7 * noise);
  }
  BOOST_TEST(PaceOf(slow) > 1.4);
  BOOST_TEST(PaceOf(slow) < 2.6);
  BOOST_TEST(PaceOf(usual) < 0.85);
}

BOOST_AUTO_TEST_CASE(few_answers_tell_nothing)
{
  TargetPace pace;
  RecordPace(pace, 3);
  BOOST_TEST(PaceOf(pace) == 1);
}

BOOST_AUTO_TEST_CASE(usual_time_follows_all_targets)
{
  UsualPace usual;
  double last = 0;
  for (int answer = 0; answer < 600; ++answer) {
    last = RecordAgainstUsual(usual, answer % 3 == 0 ? 1.7 : 0.7);
  }
  BOOST_TEST(usual.mSeconds > 0.9);
  BOOST_TEST(usual.mSeconds < 1.2);
  BOOST_TEST(last < 0.8);
}

namespace {

// Targets with one queue each, of which a third is 1.7 times and the rest 0.7
// times as slow as usual, at half of what they can do.
struct UnevenFleet
{
  static constexpr size_t kTargets = 12;
  static constexpr uint32_t kSlots = 8;
  std::vector<PlacementCandidate> mCandidates;
  PlacementLoads mLoads;
  Random mRandom{ 7 };

  UnevenFleet()
  {
    for (size_t at = 0; at < kTargets; ++at) {
      const TargetId id("t" + std::to_string(at));
      mCandidates.push_back({ id, ZoneId("a"), kSlots });
      mLoads[id].mLimit = kSlots;
    }
  }

  static double Slowness(size_t aTarget)
  {
    return aTarget % 3 == 0 ? 1.7 : 0.7;
  }

  // Returns the mean time of requests, in units of usual work. aPaced: the
  // paces of the targets are known.
  double MeanTime(bool aPaced)
  {
    struct End
    {
      double mAt;
      size_t mTarget;
      bool operator<(const End& aOther) const { return mAt > aOther.mAt; }
    };
    std::priority_queue<End> running;
    std::vector<std::vector<double>> freeAt(kTargets,
                                            std::vector<double>(kSlots, 0));
    std::vector<double> times;
    if (aPaced) {
      for (size_t at = 0; at < kTargets; ++at) {
        mLoads.at(mCandidates[at].mTarget).mNodePace = Slowness(at);
      }
    }
    double capacity = 0;
    for (size_t at = 0; at < kTargets; ++at) {
      capacity += kSlots / Slowness(at);
    }
    const double gap = 1 / (0.5 * capacity);
    for (int request = 0; request < 20000; ++request) {
      const double now = gap * request;
      for (; !running.empty() && running.top().mAt <= now; running.pop()) {
        --mLoads.at(mCandidates[running.top().mTarget].mTarget).mOwn;
      }
      const MonoTime time{ static_cast<int64_t>(now * 1e6) };
      const Placement placed =
        ChoosePlacement(mCandidates, mLoads, {}, time, mRandom);
      const size_t at = placed.mIndex.value();
      ++mLoads.at(mCandidates[at].mTarget).mOwn;
      auto slot = std::min_element(freeAt[at].begin(), freeAt[at].end());
      *slot = std::max(*slot, now) + Slowness(at);
      running.push({ *slot, at });
      times.push_back(*slot - now);
    }
    return std::accumulate(times.begin(), times.end(), 0.0) /
           static_cast<double>(times.size());
  }
};

} // namespace

// Least load alone gives slow targets a third of the requests.
BOOST_AUTO_TEST_CASE(known_paces_shorten_the_answers)
{
  const double without = UnevenFleet().MeanTime(false);
  const double with = UnevenFleet().MeanTime(true);
  BOOST_TEST_MESSAGE("mean without " << without << ", with " << with);
  BOOST_TEST(with < 0.95 * without);
}

BOOST_AUTO_TEST_CASE(usual_pace_leaves_the_order_of_targets_as_it_is)
{
  PlacementLoad load;
  BOOST_TEST(PaceAt(load, MonoTime{ 0 }) == 1);
  load.mStatedPace = 2.5;
  load.mStatedPaceAt = MonoTime{ 0 };
  BOOST_TEST(PaceAt(load, MonoTime{ Millis(100).mMicros }) == 2.5);
  BOOST_TEST(PaceAt(load, MonoTime{ Millis(400).mMicros }) == 1);
}
