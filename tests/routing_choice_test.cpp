// Guards against targets without entries, subsets that change when other
// members come and go, work that leaves its zone needlessly, hot spots caused
// by prefix affinity, and retries beyond the budget.
#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

#include "caraway/routing/choose.h"
#include "caraway/routing/hash.h"
#include "caraway/routing/retry_budget.h"
#include "caraway/routing/subset.h"

using namespace caraway;

namespace {

constexpr MonoTime kNow{ 1000000000 };

std::string
Zone(size_t aIndex, size_t aZones)
{
  return "z" + std::to_string(aIndex % aZones);
}

SubsetInput
Fleet(size_t aEntries, size_t aTargets, size_t aZones)
{
  SubsetInput input;
  for (size_t index = 0; index < aEntries; ++index) {
    input.mEntries.push_back({ InstanceId("entry-" + std::to_string(index)),
                               ZoneId(Zone(index, aZones)) });
  }
  for (size_t index = 0; index < aTargets; ++index) {
    input.mTargets.push_back({ InstanceId("node-" + std::to_string(index)),
                               ZoneId(Zone(index, aZones)) });
  }
  return input;
}

std::vector<InstanceId>
SubsetOf(SubsetInput aInput, size_t aEntry)
{
  aInput.mSelf = aInput.mEntries[aEntry];
  return ChooseSubset(aInput);
}

std::vector<RouteCandidate>
Candidates(std::initializer_list<const char*> aNames)
{
  std::vector<RouteCandidate> candidates;
  for (const char* name : aNames) {
    // "a1" is in zone "a".
    candidates.push_back({ InstanceId(name), ZoneId(std::string(1, name[0])) });
  }
  return candidates;
}

void
SetLoad(TargetStates& aStates, const char* aName, uint32_t aRunning)
{
  RecordReport(aStates[InstanceId(aName)], kNow, { aRunning, 0, 10 });
}

RouteQuery
LocalQuery()
{
  RouteQuery query;
  query.mLocalZone = ZoneId("a");
  return query;
}

std::map<std::string, int>
Draw(const std::vector<RouteCandidate>& aCandidates,
     const TargetStates& aStates,
     const RouteQuery& aQuery,
     MonoTime aNow = kNow)
{
  Random random(7);
  std::map<std::string, int> counts;
  for (int draw = 0; draw < 200; ++draw) {
    RouteChoice choice =
      ChooseTarget(aCandidates, aStates, aQuery, aNow, random);
    ++counts[choice.mNode ? choice.mNode->mValue : "none"];
  }
  return counts;
}

} // namespace

BOOST_AUTO_TEST_CASE(every_target_has_an_entry_in_small_fleets)
{
  for (size_t entries : { 1, 2, 3, 7 }) {
    const SubsetInput fleet = Fleet(entries, 20, 3);
    std::set<InstanceId> covered;
    for (size_t entry = 0; entry < entries; ++entry) {
      const std::vector<InstanceId> subset = SubsetOf(fleet, entry);
      covered.insert(subset.begin(), subset.end());
    }
    BOOST_TEST(covered.size() == 20u);
  }
}

BOOST_AUTO_TEST_CASE(subset_does_not_depend_on_the_order_of_members)
{
  SubsetInput fleet = Fleet(12, 30, 2);
  const std::vector<InstanceId> before = SubsetOf(fleet, 0);
  std::reverse(fleet.mTargets.begin(), fleet.mTargets.end());
  std::reverse(fleet.mEntries.begin() + 1, fleet.mEntries.end());
  const std::vector<InstanceId> after = SubsetOf(fleet, 0);
  BOOST_TEST((std::set(before.begin(), before.end()) ==
              std::set(after.begin(), after.end())));
  BOOST_TEST(before.size() >= 6u);
}

BOOST_AUTO_TEST_CASE(subset_contains_targets_of_local_and_other_zones)
{
  const SubsetInput fleet = Fleet(100, 40, 4);
  const std::vector<InstanceId> subset = SubsetOf(fleet, 0);
  size_t local = 0;
  for (const InstanceId& node : subset) {
    local += std::stoul(node.mValue.substr(5)) % 4 == 0 ? 1 : 0;
  }
  BOOST_TEST(local >= 4u);
  BOOST_TEST(subset.size() - local == 2u);
}

BOOST_AUTO_TEST_CASE(subset_is_stable_when_another_target_leaves)
{
  SubsetInput fleet = Fleet(100, 40, 4);
  const std::vector<InstanceId> before = SubsetOf(fleet, 0);
  const auto unused = std::find_if(
    fleet.mTargets.begin(),
    fleet.mTargets.end(),
    [&](const SubsetTarget& aTarget) {
      return std::find(before.begin(), before.end(), aTarget.mNode) ==
             before.end();
    });
  fleet.mTargets.erase(unused);
  const std::vector<InstanceId> after = SubsetOf(fleet, 0);
  size_t kept = 0;
  for (const InstanceId& node : before) {
    kept += std::count(after.begin(), after.end(), node);
  }
  BOOST_TEST(kept + 1 >= before.size());
}

BOOST_AUTO_TEST_CASE(work_stays_local_until_the_zone_is_busy)
{
  const auto candidates = Candidates({ "a1", "a2", "b1", "b2" });
  TargetStates states;
  SetLoad(states, "a1", 7);
  SetLoad(states, "a2", 8);
  SetLoad(states, "b1", 0);
  SetLoad(states, "b2", 0);
  auto counts = Draw(candidates, states, LocalQuery());
  BOOST_TEST(counts["b1"] + counts["b2"] == 0);
  SetLoad(states, "a1", 9);
  counts = Draw(candidates, states, LocalQuery());
  BOOST_TEST(counts["b1"] + counts["b2"] > 100);
}

BOOST_AUTO_TEST_CASE(affinity_yields_above_the_bound)
{
  const auto candidates = Candidates({ "a1", "a2", "a3" });
  RouteQuery query = LocalQuery();
  query.mPrefix = PrefixHash("once upon a time");
  TargetStates states;
  auto counts = Draw(candidates, states, query);
  BOOST_REQUIRE(counts.size() == 1u);
  const std::string preferred = counts.begin()->first;
  for (const char* name : { "a1", "a2", "a3" }) {
    SetLoad(states, name, name == preferred ? 9 : 1);
  }
  counts = Draw(candidates, states, query);
  BOOST_TEST(counts[preferred] == 0);
}

BOOST_AUTO_TEST_CASE(
  affinity_keeps_other_prefixes_in_place_when_a_target_leaves)
{
  const auto all = Candidates({ "a1", "a2", "a3", "a4" });
  const auto fewer = Candidates({ "a1", "a2", "a3" });
  const TargetStates states;
  Random random(1);
  for (int index = 0; index < 100; ++index) {
    RouteQuery query = LocalQuery();
    query.mPrefix = PrefixHash("prompt " + std::to_string(index));
    const auto before = ChooseTarget(all, states, query, kNow, random).mNode;
    const auto after = ChooseTarget(fewer, states, query, kNow, random).mNode;
    if (before->mValue != "a4") {
      BOOST_TEST(before->mValue == after->mValue);
    }
  }
}

BOOST_AUTO_TEST_CASE(prefix_is_the_first_256_characters)
{
  const std::string base(256, 'x');
  BOOST_TEST(PrefixHash(base + "a") == PrefixHash(base + "b"));
  BOOST_TEST(PrefixHash("a") != PrefixHash("b"));
}

BOOST_AUTO_TEST_CASE(failed_target_is_avoided_for_a_growing_time)
{
  TargetState state;
  RecordFailure(state, kNow);
  BOOST_TEST(IsAvoided(state, kNow + Millis(249)));
  BOOST_TEST(!IsAvoided(state, kNow + Millis(250)));
  const MonoTime second = kNow + Seconds(1);
  RecordFailure(state, second);
  BOOST_TEST(IsAvoided(state, second + Millis(499)));
  for (int failure = 0; failure < 20; ++failure) {
    RecordFailure(state, second);
  }
  BOOST_TEST(!IsAvoided(state, second + Seconds(8)));
  // The success of a call that began before the failure does not clear it.
  RecordSuccess(state, second - Millis(1));
  BOOST_TEST(IsAvoided(state, second));
  RecordSuccess(state, second + Millis(1));
  BOOST_TEST(!IsAvoided(state, second));
}

BOOST_AUTO_TEST_CASE(avoided_targets_are_used_when_no_other_is_left)
{
  const auto candidates = Candidates({ "a1", "a2" });
  TargetStates states;
  RecordFailure(states[InstanceId("a1")], kNow);
  auto counts = Draw(candidates, states, LocalQuery());
  BOOST_TEST(counts["a2"] == 200);
  RecordFailure(states[InstanceId("a2")], kNow + Millis(1));
  counts = Draw(candidates, states, LocalQuery(), kNow + Millis(2));
  BOOST_TEST(counts["a1"] == 200); // its avoidance ends first
}

BOOST_AUTO_TEST_CASE(tried_targets_are_excluded)
{
  RouteQuery query = LocalQuery();
  query.mExclude = { InstanceId("a1") };
  auto counts = Draw(Candidates({ "a1", "a2" }), {}, query);
  BOOST_TEST(counts["a2"] == 200);
  query.mExclude.emplace_back("a2");
  counts = Draw(Candidates({ "a1", "a2" }), {}, query);
  BOOST_TEST(counts["none"] == 200);
}

BOOST_AUTO_TEST_CASE(expired_reports_are_ignored_and_own_calls_count_once)
{
  TargetState state;
  state.mOwn = 4;
  RecordReport(state, kNow, { 6, 2, 10 });
  BOOST_TEST(LoadOf(state, kNow) == 0.8);
  state.mOwn = 6; // two more since the report
  BOOST_TEST(LoadOf(state, kNow) == 1.0);
  BOOST_TEST(LoadOf(state, kNow + kReportLifetime) == 6.0 / 4);
}

BOOST_AUTO_TEST_CASE(choice_is_logged_with_candidates_and_reason)
{
  Random random(1);
  TargetStates states;
  SetLoad(states, "a1", 5);
  RouteQuery query = LocalQuery();
  query.mRequest = RequestId("req_1");
  const RouteChoice choice =
    ChooseTarget(Candidates({ "a1", "a2" }), states, query, kNow, random);
  BOOST_TEST(choice.mLog.mChoice == choice.mNode->mValue);
  BOOST_TEST(choice.mLog.mRequest.mValue == "req_1");
  BOOST_TEST(!choice.mLog.mReason.empty());
  BOOST_TEST(choice.mLog.mExtra.at(0).mValue == "a1=0.50,a2=0.00");
}

BOOST_AUTO_TEST_CASE(retries_stay_within_a_tenth_per_workspace_and_in_total)
{
  RetryBudget budget;
  const WorkspaceId greedy("greedy");
  const WorkspaceId other("other");
  int taken = 0;
  for (int request = 0; request < 1000; ++request) {
    EarnRetries(budget, greedy);
    taken += TakeRetry(budget, greedy) ? 1 : 0;
  }
  BOOST_TEST(taken <= 101);
  BOOST_TEST(taken >= 99);
  // The total budget is used up as well, until the other workspace earns more.
  BOOST_TEST(!TakeRetry(budget, other));
  for (int request = 0; request < 20; ++request) {
    EarnRetries(budget, other);
  }
  BOOST_TEST(TakeRetry(budget, other));
}
