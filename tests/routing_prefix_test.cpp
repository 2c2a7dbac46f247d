// Guards the placement of prompts that share parts: every target reads every
// part although another one holds it, and one part's target is flooded.
#define BOOST_TEST_MODULE routing_prefix
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

#include "caraway/routing/placement.h"

using namespace caraway;

namespace {

constexpr uint32_t kSlots = 8;
constexpr MonoTime kNow{ 5000000 };

std::vector<PlacementCandidate>
Targets(int aCount)
{
  std::vector<PlacementCandidate> targets;
  targets.reserve(static_cast<size_t>(aCount));
  for (int at = 0; at < aCount; ++at) {
    targets.push_back({ TargetId("t" + std::to_string(at)),
                        ZoneId(at % 3 == 0 ? "a" : "b"),
                        kSlots });
  }
  return targets;
}

PlacementQuery
Query(uint64_t aPrefix, double aShare = 0.5)
{
  PlacementQuery query;
  query.mLocalZone = ZoneId("a");
  query.mPrefix = aPrefix;
  query.mPrefixShare = aShare;
  return query;
}

struct Entry
{
  PlacementLoads mLoads;
  Random mRandom;

  explicit Entry(uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  Placement Place(const std::vector<PlacementCandidate>& aTargets,
                  const PlacementQuery& aQuery)
  {
    return ChoosePlacement(aTargets, mLoads, aQuery, kNow, mRandom);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(entries_agree_on_the_home_of_a_prefix)
{
  const auto targets = Targets(42);
  std::map<size_t, int> homes;
  for (uint64_t prefix = 1; prefix <= 1400; ++prefix) {
    Entry first(1);
    Entry second(2);
    const Placement home = first.Place(targets, Query(prefix));
    BOOST_REQUIRE(home.mIndex);
    BOOST_TEST(home.mHome);
    BOOST_TEST((second.Place(targets, Query(prefix)).mIndex == home.mIndex));
    BOOST_TEST(targets[*home.mIndex].mZone.mValue == "a");
    ++homes[*home.mIndex];
  }
  // 100 for each of the 14 targets in the zone, within five deviations.
  BOOST_TEST(homes.size() == 14u);
  for (const auto& [target, count] : homes) {
    BOOST_TEST(count > 50);
    BOOST_TEST(count < 150);
  }
}

BOOST_AUTO_TEST_CASE(home_is_left_when_its_work_costs_more_than_reading)
{
  const auto targets = Targets(3);
  Entry entry(1);
  const size_t home = entry.Place(targets, Query(7)).mIndex.value();
  PlacementLoad& load = entry.mLoads[targets[home].mTarget];
  for (const auto& target : targets) {
    entry.mLoads[target.mTarget].mOwn = 1;
  }
  load.mOwn = kSlots;
  BOOST_TEST(!entry.Place(targets, Query(7)).mHome);
  // A slow home costs all of the answer's time, a part some of it.
  load.mOwn = 1;
  BOOST_TEST(entry.Place(targets, Query(7)).mHome);
  load.mNodePace = 4;
  BOOST_TEST(!entry.Place(targets, Query(7)).mHome);
}

BOOST_AUTO_TEST_CASE(next_requests_go_to_the_same_second_target)
{
  const auto targets = Targets(42);
  std::set<size_t> used;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Entry entry(seed);
    PlacementQuery query = Query(7);
    const size_t home = entry.Place(targets, query).mIndex.value();
    RecordPlacementFailure(entry.mLoads[targets[home].mTarget], kNow);
    used.insert(entry.Place(targets, query).mIndex.value());
    entry.mLoads.clear();
    query.mExclude = { targets[home].mTarget };
    used.insert(entry.Place(targets, query).mIndex.value());
    BOOST_TEST(used.count(home) == 0u);
  }
  BOOST_TEST(used.size() == 1u);
}

BOOST_AUTO_TEST_CASE(prefix_of_most_of_the_prompt_has_one_home_in_all_zones)
{
  const auto targets = Targets(42);
  PlacementQuery query = Query(7, 0.9);
  const size_t home = Entry(1).Place(targets, query).mIndex.value();
  query.mLocalZone = ZoneId("b");
  BOOST_TEST(Entry(2).Place(targets, query).mIndex.value() == home);
}

// Several entries send a burst of one prefix.
BOOST_AUTO_TEST_CASE(burst_of_one_prefix_does_not_flood_its_home)
{
  const auto targets = Targets(9);
  std::map<size_t, uint32_t> sent;
  std::vector<Entry> entries;
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    entries.emplace_back(seed);
  }
  for (uint32_t request = 0; request < 9 * kSlots / 2; ++request) {
    Entry& entry = entries[request % entries.size()];
    const size_t at = entry.Place(targets, Query(7)).mIndex.value();
    ++sent[at];
    ++entry.mLoads[targets[at].mTarget].mOwn;
    for (Entry& other : entries) { // reports arrive after each request
      RecordLoadReport(
        other.mLoads[targets[at].mTarget], kNow, sent[at], 0, kSlots, 0);
    }
  }
  for (const auto& [target, count] : sent) {
    BOOST_TEST(count <= kSlots);
  }
}

BOOST_AUTO_TEST_CASE(prompt_without_shared_parts_is_placed_by_load)
{
  const auto targets = Targets(42);
  std::set<size_t> used;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    const Placement placed = Entry(seed).Place(targets, Query(0, 0));
    BOOST_TEST(!placed.mHome);
    used.insert(placed.mIndex.value());
  }
  BOOST_TEST(used.size() > 5u);
}
