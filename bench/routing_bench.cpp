// Measures routing on a virtual clock: a comparison of policies, retries while
// a third of the targets fail, prefix affinity and load balance at the design
// size, the stability of subsets when entries and targets leave, and the
// placement of prompts that share parts.
//
// Prints a line `name value bound verdict` per figure; figures without a bound
// are for comparison. Exits non-zero if a bound is missed.

#include <cstdio>
#include <cstdlib>
#include <ctime>

#include "bench/placement_world.h"
#include "bench/routing_world.h"

namespace {

using namespace caraway;
using namespace caraway::routing;

bool gFailed = false;

void
PrintAtMost(const std::string& aName, double aValue, double aBound)
{
  const bool good = aValue <= aBound;
  gFailed = gFailed || !good;
  std::printf(
    "%s %.4f %.4f %s\n", aName.c_str(), aValue, aBound, good ? "ok" : "MISSED");
}

void
PrintAtLeast(const std::string& aName, double aValue, double aBound)
{
  const bool good = aValue >= aBound;
  gFailed = gFailed || !good;
  std::printf(
    "%s %.4f %.4f %s\n", aName.c_str(), aValue, aBound, good ? "ok" : "MISSED");
}

void
PrintFigure(const std::string& aName, double aValue)
{
  std::printf("%s %.4f - -\n", aName.c_str(), aValue);
}

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  const auto at =
    static_cast<size_t>(aQuantile * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + at, aValues.end());
  return aValues[at];
}

double
MaxByMean(const std::vector<double>& aValues)
{
  double sum = 0;
  for (double value : aValues) {
    sum += value;
  }
  return *std::max_element(aValues.begin(), aValues.end()) /
         (sum / static_cast<double>(aValues.size()));
}

// Figures ---------------------------------------------------------------------

void
BenchPolicies()
{
  std::map<RoutePolicy, double> waits;
  for (auto [policy, name] :
       { std::pair(RoutePolicy::eRandom, "random"),
         std::pair(RoutePolicy::eRoundRobin, "round_robin"),
         std::pair(RoutePolicy::eLeastLoaded, "least_loaded") }) {
    SimPlan plan;
    plan.mPolicy = policy;
    plan.mFleet = { 20, 30, 3 };
    plan.mUtilisation = 0.85;
    const SimResult result = Simulation(plan).Run();
    waits[policy] = Quantile(result.mWaits, 0.99);
    PrintFigure(std::string("policy_wait_p99_s_") + name, waits[policy]);
    PrintFigure(std::string("policy_wait_p50_s_") + name,
                Quantile(result.mWaits, 0.5));
  }
  // The default policy must not be worse than any of the baselines.
  PrintAtMost("policy_p99_ratio_to_best_baseline",
              waits[RoutePolicy::eLeastLoaded] /
                std::max(1e-9,
                         std::min(waits[RoutePolicy::eRandom],
                                  waits[RoutePolicy::eRoundRobin])),
              1.0);
}

void
BenchFailingThird()
{
  SimPlan plan;
  plan.mFleet = { 20, 30, 3 };
  plan.mUtilisation = 0.5; // of all targets; the working ones can serve it
  plan.mBroken = 1.0 / 3;
  const SimResult result = Simulation(plan).Run();
  PrintAtMost("failing_third_sent_by_accepted",
              static_cast<double>(result.mSent) /
                static_cast<double>(result.mAccepted),
              1.1);
  PrintFigure("failing_third_served_share",
              static_cast<double>(result.mServed) /
                static_cast<double>(result.mAccepted));
}

void
BenchAffinity()
{
  std::map<bool, double> share;
  for (bool affinity : { false, true }) {
    SimPlan plan;
    plan.mAffinity = true;
    plan.mPolicy = affinity ? RoutePolicy::eLeastLoaded : RoutePolicy::eRandom;
    const SimResult result = Simulation(plan).Run();
    share[affinity] = static_cast<double>(result.mPrefixHits) /
                      static_cast<double>(result.mRepeatedPrefixes);
    const std::string name = affinity ? "affinity" : "random";
    PrintFigure(name + "_hit_share", share[affinity]);
    PrintFigure(name + "_wait_p99_s", Quantile(result.mWaits, 0.99));
    if (affinity) {
      // Affinity doesn't prefer a target whose load is above 1.25 times the
      // mean.
      PrintAtMost(name + "_max_by_mean_load", MaxByMean(result.mLoads), 1.25);
    } else {
      PrintFigure(name + "_max_by_mean_load", MaxByMean(result.mLoads));
    }
  }
  PrintAtLeast("affinity_hits_by_random_hits", share[true] / share[false], 1.0);
}

std::vector<double>
EntriesPerTarget(const SubsetInput& aFleet)
{
  std::map<InstanceId, double> counts;
  for (const SubsetTarget& target : aFleet.mTargets) {
    counts[target.mNode] = 0;
  }
  for (const auto& subset : AllSubsets(aFleet)) {
    for (const InstanceId& node : subset) {
      counts[node] += 1;
    }
  }
  std::vector<double> values;
  values.reserve(counts.size());
  for (const auto& [node, count] : counts) {
    values.push_back(count);
  }
  return values;
}

// Returns the fraction of subset members that were replaced, over the entries
// that are in both fleets.
double
MovedShare(const SubsetInput& aBefore, const SubsetInput& aAfter)
{
  std::map<InstanceId, std::vector<InstanceId>> before;
  const auto old = AllSubsets(aBefore);
  for (size_t index = 0; index < old.size(); ++index) {
    before[aBefore.mEntries[index].mInstance] = old[index];
  }
  size_t places = 0;
  size_t moved = 0;
  const auto fresh = AllSubsets(aAfter);
  for (size_t index = 0; index < fresh.size(); ++index) {
    const auto& known = before[aAfter.mEntries[index].mInstance];
    for (const InstanceId& node : known) {
      ++places;
      moved += std::count(fresh[index].begin(), fresh[index].end(), node) == 0;
    }
  }
  return static_cast<double>(moved) / static_cast<double>(places);
}

void
BenchSubsets()
{
  const SubsetInput full = MakeFleet({});
  const std::vector<double> counts = EntriesPerTarget(full);
  PrintFigure("subset_max_by_mean_entries", MaxByMean(counts));
  PrintAtLeast("subset_min_entries_per_target",
               *std::min_element(counts.begin(), counts.end()),
               2);
  double places = 0;
  for (double count : counts) {
    places += count;
  }
  // An entry watches at most 90 targets for 15 models, which is 6 per model.
  PrintAtMost("subset_mean_targets_per_entry", places / 390, 6);

  SubsetInput fewer = full;
  fewer.mEntries.erase(fewer.mEntries.begin(), fewer.mEntries.begin() + 39);
  PrintFigure("subset_max_by_mean_entries_after_39_left",
              MaxByMean(EntriesPerTarget(fewer)));
  PrintFigure("subset_moved_after_39_of_390_entries_left",
              MovedShare(full, fewer));
  SubsetInput oneLess = full;
  oneLess.mEntries.erase(oneLess.mEntries.begin());
  PrintFigure("subset_moved_after_1_of_390_entries_left",
              MovedShare(full, oneLess));
  SubsetInput fewerTargets = full;
  fewerTargets.mTargets.erase(fewerTargets.mTargets.begin());
  PrintFigure("subset_moved_after_1_of_47_targets_left",
              MovedShare(full, fewerTargets));
}

// Prompts that share parts: what is read again although some target held it.
void
BenchPrompts()
{
  std::map<PlacementPolicy, double> again;
  std::map<PlacementPolicy, double> first;
  for (auto [policy, name] :
       { std::pair(PlacementPolicy::eRoundRobin, "round_robin"),
         std::pair(PlacementPolicy::ePowerOfTwo, "power_of_two"),
         std::pair(PlacementPolicy::eLeastLoaded, "least_loaded"),
         std::pair(PlacementPolicy::ePrefix, "prefix") }) {
    PromptPlan plan;
    plan.mPolicy = policy;
    const PromptResult result = PromptWorld(plan).Run();
    again[policy] = result.mReadAgain / result.mTokens;
    first[policy] = Quantile(result.mFirst, 0.99);
    PrintFigure(std::string("prompts_read_again_share_") + name, again[policy]);
    PrintFigure(std::string("prompts_first_token_p50_s_") + name,
                Quantile(result.mFirst, 0.5));
    PrintFigure(std::string("prompts_first_token_p99_s_") + name,
                first[policy]);
    PrintFigure(std::string("prompts_max_by_mean_requests_") + name,
                MaxByMean(result.mRequests));
  }
  const auto best = [](const std::map<PlacementPolicy, double>& aFigures) {
    return std::min({ aFigures.at(PlacementPolicy::eRoundRobin),
                      aFigures.at(PlacementPolicy::ePowerOfTwo),
                      aFigures.at(PlacementPolicy::eLeastLoaded) });
  };
  PrintAtMost("prompts_read_again_ratio_to_best_baseline",
              again[PlacementPolicy::ePrefix] / best(again),
              0.75);
  // Locality must not make callers wait.
  PrintAtMost("prompts_first_token_p99_ratio_to_best_baseline",
              first[PlacementPolicy::ePrefix] / best(first),
              1.0);
}

// Processor time of one choice among 700 targets: with a prefix against
// without, in one run.
void
BenchPlacementCost()
{
  std::vector<PlacementCandidate> candidates;
  PlacementLoads loads;
  for (int at = 0; at < 700; ++at) {
    candidates.push_back({ TargetId("target-" + std::to_string(at)),
                           ZoneId(std::to_string(at % 4)),
                           8 });
    loads[candidates.back().mTarget].mOwn = at % 3;
  }
  Random random(1);
  const auto measure = [&](uint64_t aPrefix) {
    PlacementQuery query;
    query.mLocalZone = ZoneId("1");
    query.mPrefix = aPrefix;
    query.mPrefixShare = aPrefix == 0 ? 0 : 0.5;
    const std::clock_t start = std::clock();
    size_t sum = 0;
    for (int round = 0; round < 500; ++round) {
      sum +=
        ChoosePlacement(candidates, loads, query, MonoTime{ 5000000 }, random)
          .mIndex.value();
    }
    // The sum keeps the calls from being left out.
    return static_cast<double>(std::clock() - start) + (sum == 0 ? 1 : 0);
  };
  measure(0);
  const double plain = std::max(1.0, measure(0));
  const double prefix = measure(77);
  PrintFigure("placement_us_of_700_targets",
              plain / 500 * 1e6 / CLOCKS_PER_SEC);
  PrintFigure("placement_us_of_700_targets_prefix",
              prefix / 500 * 1e6 / CLOCKS_PER_SEC);
  PrintAtMost("placement_cost_ratio_prefix", prefix / plain, 3);
}

} // namespace

int
main()
{
  BenchPolicies();
  BenchFailingThird();
  BenchAffinity();
  BenchSubsets();
  BenchPrompts();
  BenchPlacementCost();
  return gFailed ? EXIT_FAILURE : EXIT_SUCCESS;
}
