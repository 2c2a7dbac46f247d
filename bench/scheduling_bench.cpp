// Compares scheduling policies: the node's own code with a model of an engine
// on a virtual clock. The same seed gives the same figures in every run. Bounds
// come from docs/design.md section 16.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <vector>

#include "standins/node_world.h"

using namespace caraway;

namespace {

int gMissed = 0;

// The design load of 5,400 requests/s and 1.6M tokens/s, per one of 700
// targets.
constexpr double kRequestsPerSecond = 5400.0 / 700;
constexpr uint32_t kOutputMean = 296;
constexpr uint32_t kPromptMean = 400;
constexpr Duration kWarmUp = Seconds(200); // from a cold limit
constexpr Duration kMeasured = Seconds(300);
// Online load starts here. Until shortly before, batch work warms up the target
// in every run, so that no run starts with a backlog from the warm-up.
constexpr Duration kOnlineFrom = Seconds(150);

void
Report(const char* aName, double aValue, double aBound, bool aAtLeast)
{
  const bool met = aAtLeast ? aValue >= aBound : aValue <= aBound;
  std::printf("%-44s %10.4f %s%9.4f %s\n",
              aName,
              aValue,
              aAtLeast ? ">=" : "<=",
              aBound,
              met ? "ok" : "MISSED");
  gMissed += met ? 0 : 1;
}

// Prints a figure without a bound: a baseline or additional information.
void
PrintInfo(const char* aName, double aValue)
{
  std::printf("%-44s %10.4f %11s info\n", aName, aValue, "-");
}

// The online load that the benchmark generates, independent of the node.
struct OnlineLoad
{
  double mRate = 0;       // requests/s
  double mBurstEvery = 0; // s, 0 = none
  uint32_t mBurst = 0;    // requests per burst
  uint32_t mOutput = kOutputMean;
  uint32_t mPrompt = kPromptMean;
  WorkspaceId mWorkspace{ "w" };
  Duration mDeadline = Seconds(60);
};

// Draws uniformly between 0.25 and 1.75 times aMean.
uint32_t
DrawAroundMean(Random& aRandom, uint32_t aMean)
{
  return static_cast<uint32_t>(aMean * (0.25 + 1.5 * DrawUnit(aRandom)));
}

void
AddLoad(NodeWorld& aWorld, const OnlineLoad& aLoad, uint64_t aSeed)
{
  Random random(aSeed);
  const MonoTime end = aWorld.mNow + kWarmUp + kMeasured;
  auto send = [&](MonoTime aAt) {
    OnlineCall call;
    call.mWorkspace = aLoad.mWorkspace;
    call.mPrompt = DrawAroundMean(random, aLoad.mPrompt);
    call.mOutput = DrawAroundMean(random, aLoad.mOutput);
    call.mDeadline = aLoad.mDeadline;
    At(aWorld, aAt, [&aWorld, call]() { SendOnline(aWorld, call); });
  };
  MonoTime at = aWorld.mNow + kOnlineFrom;
  while (aLoad.mRate > 0 && at < end) {
    const double gap = -std::log(1.0 - DrawUnit(random)) / aLoad.mRate;
    at = at + Micros(static_cast<int64_t>(gap * 1e6));
    send(at);
  }
  at = aWorld.mNow + kOnlineFrom + Seconds(2);
  while (aLoad.mBurst > 0 && at < end) {
    for (uint32_t n = 0; n < aLoad.mBurst; ++n) {
      send(at + Millis(n));
    }
    at = at + Micros(static_cast<int64_t>(aLoad.mBurstEvery * 1e6));
  }
}

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto rank =
    static_cast<size_t>(aQuantile * static_cast<double>(aValues.size()));
  return aValues[std::min(rank, aValues.size() - 1)];
}

struct Figures
{
  double mFirstP95 = 0;     // s
  double mFirstP99 = 0;     // s
  double mGapP95 = 0;       // s between tokens, of the means per call
  double mOnlineTokens = 0; // per s
  double mBatchTokens = 0;  // per s, finished items only
  double mServed = 0;       // fraction of requests answered
  uint32_t mLimit = 0;
  uint64_t mPreempted = 0;
};

// Totals at the start of the measurement, to be subtracted from those at the
// end.
struct WarmUpTotals
{
  uint64_t mBatchTokens = 0;
  uint64_t mPreempted = 0;
};

WarmUpTotals
RunWorld(NodeWorld& aWorld,
         const WorldSettings& aSettings,
         const std::vector<OnlineLoad>& aLoads)
{
  InitWorld(aWorld, aSettings);
  aWorld.mSettings.mBatch = true;
  At(aWorld, aWorld.mNow + kOnlineFrom - Seconds(20), [&]() {
    aWorld.mSettings.mBatch = aSettings.mBatch;
  });
  uint64_t seed = aSettings.mSeed;
  for (const OnlineLoad& load : aLoads) {
    AddLoad(aWorld, load, ++seed);
  }
  const MonoTime begin = aWorld.mNow + kWarmUp;
  RunUntil(aWorld, begin);
  const WarmUpTotals before{ aWorld.mBatchTokens, aWorld.mPreempted };
  RunUntil(aWorld, begin + kMeasured);
  return before;
}

Figures
Run(const WorldSettings& aSettings, const std::vector<OnlineLoad>& aLoads)
{
  NodeWorld world;
  const WarmUpTotals before = RunWorld(world, aSettings, aLoads);
  const MonoTime begin = world.mNow - kMeasured;
  Figures figures;
  std::vector<double> firsts;
  std::vector<double> gaps;
  double tokens = 0;
  double offered = 0;
  double done = 0;
  // Excludes calls of the last 30 s, since they may still be running.
  const MonoTime last = begin + kMeasured - Seconds(30);
  for (const auto& [id, record] : world.mOnline) {
    if (record.mSent < begin || record.mSent >= last) {
      continue;
    }
    ++offered;
    done += record.mDone ? 1 : 0;
    tokens += record.mDone ? record.mCall.mOutput : 0;
    if (record.mParts > 0) {
      firsts.push_back((record.mFirst - record.mSent).Seconds());
    }
    if (record.mParts > 2) {
      gaps.push_back((record.mLast - record.mFirst).Seconds() /
                     (record.mParts - 1));
    }
  }
  figures.mFirstP95 = Quantile(firsts, 0.95);
  figures.mFirstP99 = Quantile(firsts, 0.99);
  figures.mGapP95 = Quantile(gaps, 0.95);
  figures.mOnlineTokens = tokens / (last - begin).Seconds();
  figures.mBatchTokens =
    static_cast<double>(world.mBatchTokens - before.mBatchTokens) /
    kMeasured.Seconds();
  figures.mServed = offered > 0 ? done / offered : 1;
  figures.mLimit = world.mNode.mScheduler.mLimit.mValue;
  figures.mPreempted = world.mPreempted - before.mPreempted;
  return figures;
}

struct Service
{
  double mServed = 0; // requests answered
  double mTokens = 0; // output tokens of these requests
};

std::map<WorkspaceId, Service>
RunByWorkspace(const WorldSettings& aSettings,
               const std::vector<OnlineLoad>& aLoads)
{
  NodeWorld world;
  RunWorld(world, aSettings, aLoads);
  std::map<WorkspaceId, Service> services;
  const MonoTime begin = world.mNow - kMeasured;
  for (const auto& [id, record] : world.mOnline) {
    if (record.mDone && record.mSent >= begin &&
        record.mSent < world.mNow - Seconds(30)) {
      Service& service = services[record.mCall.mWorkspace];
      service.mServed += 1;
      service.mTokens += record.mCall.mOutput;
    }
  }
  return services;
}

const char*
PolicyName(SchedulePolicy aPolicy)
{
  switch (aPolicy) {
    case SchedulePolicy::eOnlineFirst:
      return "online_first";
    case SchedulePolicy::eFirstCome:
      return "first_come";
    case SchedulePolicy::eFixedSplit:
      return "fixed_split";
  }
  return "?";
}

void
PrintFigures(const std::string& aName, const Figures& aFigures)
{
  PrintInfo((aName + ".first_token_p99_s").c_str(), aFigures.mFirstP99);
  PrintInfo((aName + ".between_tokens_p95_s").c_str(), aFigures.mGapP95);
  PrintInfo((aName + ".online_tokens_per_s").c_str(), aFigures.mOnlineTokens);
  PrintInfo((aName + ".batch_tokens_per_s").c_str(), aFigures.mBatchTokens);
  PrintInfo((aName + ".online_served").c_str(), aFigures.mServed);
  PrintInfo((aName + ".preempted").c_str(),
            static_cast<double>(aFigures.mPreempted));
  PrintInfo((aName + ".limit").c_str(), aFigures.mLimit);
}

// Returns the best throughput of the engine with batch work alone, over several
// fixed limits on concurrent calls. Of the scheduler, only that limit has an
// effect.
double
MeasureCapacity(uint32_t aBatchOutput)
{
  static std::map<uint32_t, double> sKnown;
  auto [known, fresh] = sKnown.try_emplace(aBatchOutput, 0.0);
  for (const uint32_t calls : { 72U, 84U, 96U, 108U }) {
    if (!fresh) {
      break;
    }
    WorldSettings settings;
    settings.mSeed = 11;
    settings.mPolicy = SchedulePolicy::eFirstCome;
    settings.mBatch = true;
    settings.mBatchOutput = aBatchOutput;
    settings.mMaxLimit = calls;
    known->second = std::max(known->second, Run(settings, {}).mBatchTokens);
  }
  return known->second;
}

// Runs online load at half of the design load, with bursts, once alone and once
// with more batch work than the engine can serve.
void
BenchMixed(SchedulePolicy aPolicy, bool aResume, uint32_t aBatchOutput)
{
  OnlineLoad online;
  online.mRate = kRequestsPerSecond / 2;
  online.mBurstEvery = 10;
  online.mBurst = 8;
  WorldSettings settings;
  settings.mSeed = 11;
  settings.mPolicy = aPolicy;
  settings.mCanResume = aResume;
  settings.mBatchOutput = aBatchOutput;
  const Figures alone = Run(settings, { online });
  settings.mBatch = true;
  const Figures mixed = Run(settings, { online });
  // The capacity left for batch work: the fraction of the engine that online
  // work doesn't use, times the throughput of this batch work alone. Online
  // work and batch items of 300 tokens have the same cost per token.
  const double left = MeasureCapacity(aBatchOutput) *
                      (1 - mixed.mOnlineTokens / MeasureCapacity(300));
  const std::string name = std::string("mixed.") + PolicyName(aPolicy) +
                           (aResume ? ".resume" : "") + ".batch" +
                           std::to_string(aBatchOutput);
  PrintFigures(name + ".online_alone", alone);
  PrintFigures(name + ".both", mixed);
  PrintInfo((name + ".capacity_left").c_str(), left);
  const double harm = mixed.mFirstP99 / alone.mFirstP99;
  const double use = mixed.mBatchTokens / left;
  const std::string harmName = name + ".harm_p99";
  const std::string useName = name + ".batch_use";
  if (aPolicy == SchedulePolicy::eOnlineFirst) {
    Report(harmName.c_str(), harm, 1.10, false);
    Report(useName.c_str(), use, 0.95, true);
  } else {
    PrintInfo(harmName.c_str(), harm);
    PrintInfo(useName.c_str(), use);
  }
}

void
BenchDesignLoad()
{
  OnlineLoad online;
  online.mRate = kRequestsPerSecond;
  WorldSettings settings;
  settings.mSeed = 21;
  const Figures figures = Run(settings, { online });
  PrintFigures("design_load", figures);
  Report("design_load.first_token_p95_s", figures.mFirstP95, 0.75, false);
  Report("design_load.between_tokens_p95_s", figures.mGapP95, 0.074, false);
  Report("design_load.served", figures.mServed, 0.999, true);
}

// Eight workspaces each send an equal share of the design load. In the second
// run one of them sends eight times its share, in the third all send three
// times theirs.
void
BenchFairness()
{
  constexpr int kWorkspaces = 8;
  WorldSettings settings;
  settings.mSeed = 31;
  // Deadlines of 10 s keep the queue short, since work that cannot be served in
  // time is refused early.
  auto loads = [&](double aHeavy, double aLight) {
    std::vector<OnlineLoad> all;
    for (int n = 0; n < kWorkspaces; ++n) {
      OnlineLoad load;
      load.mWorkspace = WorkspaceId("w" + std::to_string(n));
      load.mRate = n == 0 ? aHeavy : aLight;
      load.mDeadline = Seconds(10);
      all.push_back(load);
    }
    return all;
  };
  const double share = kRequestsPerSecond / kWorkspaces;
  const auto quiet = RunByWorkspace(settings, loads(share, share));
  const auto heavy = RunByWorkspace(settings, loads(8 * share, share));
  double before = 0;
  double after = 0;
  for (int n = 1; n < kWorkspaces; ++n) {
    const WorkspaceId id("w" + std::to_string(n));
    before += quiet.at(id).mServed;
    after += heavy.at(id).mServed;
  }
  Report("fairness.others_service", after / before, 0.99, true);
  const auto all = RunByWorkspace(settings, loads(3 * share, 3 * share));
  double worst = 1e9;
  double total = 0;
  for (const auto& [id, service] : all) {
    worst = std::min(worst, service.mTokens);
    total += service.mTokens;
  }
  Report("fairness.worst_served", worst * kWorkspaces / total, 0.95, true);
}

// Restarts the engine process at random times while it is serving.
void
BenchColdStart()
{
  uint64_t above = 0;
  uint64_t falls = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    WorldSettings settings;
    settings.mSeed = seed;
    settings.mColdStart = true;
    settings.mBatch = true;
    NodeWorld world;
    InitWorld(world, settings);
    Random random(seed);
    MonoTime at = world.mNow;
    for (int restart = 0; restart < 3; ++restart) {
      at = at + Seconds(20) +
           Micros(static_cast<int64_t>(DrawUnit(random) * 20e6));
      At(world, at, [&world]() { RestartTarget(world); });
    }
    for (int n = 0; n < 500; ++n) {
      const auto when = static_cast<int64_t>(DrawUnit(random) * 120e6);
      At(world, world.mNow + Seconds(3) + Micros(when), [&world]() {
        SendOnline(world, OnlineCall());
      });
    }
    RunUntil(world, world.mNow + Seconds(130));
    above += world.mEngine.mCallsAboveColdCapacity;
    falls += world.mEngine.mCrashes;
  }
  Report("cold.calls_above_bearable", static_cast<double>(above), 0, false);
  Report("cold.falls", static_cast<double>(falls), 0, false);
}

} // namespace

int
main()
{
  BenchDesignLoad();
  BenchColdStart();
  BenchFairness();
  for (const uint32_t output : { 300U, 60U }) {
    BenchMixed(SchedulePolicy::eOnlineFirst, false, output);
  }
  BenchMixed(SchedulePolicy::eOnlineFirst, true, 300);
  BenchMixed(SchedulePolicy::eFirstCome, false, 300);
  BenchMixed(SchedulePolicy::eFixedSplit, false, 300);
  return gMissed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
