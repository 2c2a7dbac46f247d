// Guards the choice of targets when a burst arrives at several entries at once:
// no target is overloaded while others have free slots, batch items do not
// displace online work, and failing targets are avoided.
#define BOOST_TEST_MODULE routing_placement
#include <boost/test/unit_test.hpp>

#include <map>

#include "caraway/routing/placement.h"

using namespace caraway;

namespace {

constexpr uint32_t kSlots = 8;

std::vector<PlacementCandidate>
Targets(int aCount, const char* aZone = "a")
{
  std::vector<PlacementCandidate> targets;
  targets.reserve(static_cast<size_t>(aCount));
  for (int at = 0; at < aCount; ++at) {
    targets.push_back(
      { TargetId("t" + std::to_string(at)), ZoneId(aZone), kSlots });
  }
  return targets;
}

std::string
Choose(const std::vector<PlacementCandidate>& aTargets,
       const PlacementLoads& aLoads,
       MonoTime aNow,
       Random& aRandom,
       const char* aZone = "a")
{
  PlacementQuery query;
  query.mLocalZone = ZoneId(aZone);
  const Placement placement =
    ChoosePlacement(aTargets, aLoads, query, aNow, aRandom);
  return placement.mIndex ? aTargets[*placement.mIndex].mTarget.mValue : "none";
}

// The most requests at one target after a burst of one request for every two
// slots, sent by entries that learn of each other's requests only from reports.
uint32_t
MostAfterBurst(int aEntries, int aTargets, bool aRandomChoice, uint64_t aSeed)
{
  const auto targets = Targets(aTargets);
  std::vector<PlacementLoads> views(aEntries);
  std::map<std::string, uint32_t> running;
  Random random(aSeed);
  MonoTime now{ 1000000 };
  const int requests = aTargets * static_cast<int>(kSlots) / 2;
  for (int request = 0; request < requests; ++request) {
    PlacementLoads& view = views[request % aEntries];
    const std::string chosen =
      aRandomChoice ? "t" + std::to_string(DrawBelow(random, aTargets))
                    : Choose(targets, view, now, random);
    ++running[chosen];
    ++view[TargetId(chosen)].mOwn;
    now = now + Millis(2);
    if (request % 8 == 7) { // a report every 8 requests
      for (PlacementLoads& each : views) {
        for (const auto& [name, count] : running) {
          RecordLoadReport(each[TargetId(name)], now, count, 0, kSlots, 0);
        }
      }
    }
  }
  uint32_t most = 0;
  for (const auto& [name, count] : running) {
    most = std::max(most, count);
  }
  return most;
}

} // namespace

BOOST_AUTO_TEST_CASE(burst_at_several_entries_fills_no_target_before_others)
{
  uint32_t chosen = 0;
  uint32_t baseline = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    // Half as many requests as slots, so each request can find a free slot.
    const uint32_t most = MostAfterBurst(8, 9, false, seed);
    BOOST_TEST(most <= kSlots);
    chosen += most;
    baseline += MostAfterBurst(8, 9, true, seed);
  }
  BOOST_TEST(chosen < baseline); // random placement
}

BOOST_AUTO_TEST_CASE(free_slot_is_preferred_to_a_slot_held_by_batch)
{
  const auto targets = Targets(2);
  PlacementLoads loads;
  Random random(1);
  const MonoTime now{ 5000000 };
  RecordLoadReport(loads[TargetId("t0")], now, 2, 6, kSlots, 0);
  RecordLoadReport(loads[TargetId("t1")], now, 2, 0, kSlots, 0);
  BOOST_TEST(Choose(targets, loads, now, random) == "t1");
  // A batch item can be preempted, so it counts less than an online request.
  RecordLoadReport(loads[TargetId("t1")], now, 6, 0, kSlots, 0);
  BOOST_TEST(Choose(targets, loads, now, random) == "t0");
}

BOOST_AUTO_TEST_CASE(other_zone_is_used_only_when_the_local_zone_is_crowded)
{
  auto targets = Targets(1, "a");
  targets.push_back({ TargetId("far"), ZoneId("b"), kSlots });
  PlacementLoads loads;
  Random random(1);
  const MonoTime now{ 5000000 };
  RecordLoadReport(loads[TargetId("t0")], now, 1, 0, kSlots, 0);
  RecordLoadReport(loads[TargetId("far")], now, 1, 0, kSlots, 0);
  BOOST_TEST(Choose(targets, loads, now, random) == "t0");
  RecordLoadReport(loads[TargetId("t0")], now, 7, 0, kSlots, 0);
  BOOST_TEST(Choose(targets, loads, now, random) == "far");
}

BOOST_AUTO_TEST_CASE(failing_target_is_avoided_unless_it_is_the_only_one)
{
  const auto targets = Targets(2);
  PlacementLoads loads;
  Random random(1);
  MonoTime now{ 5000000 };
  RecordPlacementFailure(loads[TargetId("t0")], now);
  for (int at = 0; at < 20; ++at) {
    BOOST_TEST(Choose(targets, loads, now, random) == "t1");
  }
  PlacementQuery query;
  query.mExclude = { TargetId("t1") };
  const Placement last = ChoosePlacement(targets, loads, query, now, random);
  BOOST_REQUIRE(last.mIndex);
  BOOST_TEST(targets[*last.mIndex].mTarget.mValue == "t0");
}

BOOST_AUTO_TEST_CASE(avoidance_doubles_and_ends)
{
  PlacementLoad load;
  const MonoTime now{ 5000000 };
  RecordPlacementFailure(load, now);
  const Duration first = load.mAvoidUntil - now;
  RecordPlacementFailure(load, now);
  BOOST_TEST((load.mAvoidUntil - now).mMicros == 2 * first.mMicros);
  for (int at = 0; at < 20; ++at) {
    RecordPlacementFailure(load, now);
  }
  BOOST_TEST((load.mAvoidUntil - now).mMicros == Seconds(4).mMicros);
  RecordPlacementSuccess(load);
  BOOST_TEST(load.mFailures == 0u);
}

BOOST_AUTO_TEST_CASE(expired_report_is_ignored)
{
  PlacementLoad load;
  const MonoTime now{ 50000000 };
  RecordLoadReport(load, now, 8, 0, kSlots, 0);
  BOOST_TEST(OnlineAt(load, now) == 8u);
  BOOST_TEST(OnlineAt(load, now + Seconds(4)) == 0u);
}
