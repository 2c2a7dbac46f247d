#pragma once
// Discrete-event simulation of entries, targets and calls on a virtual clock,
// for the routing benchmark.

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "caraway/routing/choose.h"
#include "caraway/routing/hash.h"
#include "caraway/routing/retry_budget.h"
#include "caraway/routing/subset.h"

namespace caraway::routing {

// Fleet -----------------------------------------------------------------------

struct FleetSize
{
  size_t mEntries = 390;
  size_t mTargets = 47; // 700 targets over 15 models
  size_t mZones = 4;
};

SubsetInput
MakeFleet(const FleetSize& aSize)
{
  SubsetInput fleet;
  auto zone = [&](size_t aIndex) {
    return ZoneId("zone-" + std::to_string(aIndex % aSize.mZones));
  };
  for (size_t index = 0; index < aSize.mEntries; ++index) {
    fleet.mEntries.push_back(
      { InstanceId("entry-" + std::to_string(index)), zone(index) });
  }
  for (size_t index = 0; index < aSize.mTargets; ++index) {
    fleet.mTargets.push_back(
      { InstanceId("node-" + std::to_string(index)), zone(index) });
  }
  return fleet;
}

// Returns the subset of nodes of each entry, in the order of aFleet.mEntries.
std::vector<std::vector<InstanceId>>
AllSubsets(SubsetInput aFleet)
{
  std::vector<std::vector<InstanceId>> subsets;
  for (const SubsetEntry& entry : aFleet.mEntries) {
    aFleet.mSelf = entry;
    subsets.push_back(ChooseSubset(aFleet));
  }
  return subsets;
}

// Simulation ------------------------------------------------------------------

struct SimTarget
{
  InstanceId mNode;
  ZoneId mZone;
  uint32_t mLimit = 16;
  bool mBroken = false; // every call fails after 20 ms
  uint32_t mRunning = 0;
  std::deque<size_t> mQueue; // indexes of calls
  double mBusy = 0;  // integral of running and queued calls over time, in us
  MonoTime mChanged; // last update of mBusy
  std::set<uint64_t> mCached; // prefixes in the cache
};

struct SimCall
{
  size_t mEntry = 0;
  size_t mTarget = 0;
  MonoTime mArrived;
  Duration mService;
  uint64_t mPrefix = 0;
  std::vector<InstanceId> mTried;
  WorkspaceId mWorkspace;
};

struct SimEntry
{
  std::vector<RouteCandidate> mCandidates;
  TargetStates mStates;
  RetryBudget mRetries;
  ZoneId mZone;
  uint64_t mRoundRobin = 0;
};

struct SimPlan
{
  FleetSize mFleet;
  RoutePolicy mPolicy = RoutePolicy::eLeastLoaded;
  double mUtilisation = 0.7;
  bool mAffinity = false;
  size_t mPrefixes = 2000;
  double mBroken = 0; // fraction of targets whose calls all fail
  size_t mCalls = 200000;
  uint64_t mSeed = 1;
};

struct SimResult
{
  std::vector<double> mWaits; // seconds until service started
  std::vector<double> mLoads; // time-averaged load of each target / limit
  uint64_t mSent = 0;
  uint64_t mAccepted = 0;
  uint64_t mServed = 0;
  uint64_t mRepeatedPrefixes = 0; // calls whose prefix occurred before
  uint64_t mPrefixHits = 0;       // of those, sent to a target with it cached
};

struct SimEvent
{
  MonoTime mAt;
  size_t mOrder = 0;
  size_t mCall = 0; // index of the call; of the target for reports
  int mKind = 0;    // 0 arrival, 1 end of call, 2 load report
  bool operator>(const SimEvent& aOther) const
  {
    return std::pair(mAt, mOrder) > std::pair(aOther.mAt, aOther.mOrder);
  }
};

class Simulation
{
public:
  explicit Simulation(const SimPlan& aPlan)
    : mPlan(aPlan)
    , mRandom(aPlan.mSeed)
  {
    const SubsetInput fleet = MakeFleet(aPlan.mFleet);
    for (const SubsetTarget& target : fleet.mTargets) {
      mIndex[target.mNode] = mTargets.size();
      SimTarget sim;
      sim.mNode = target.mNode;
      sim.mZone = target.mZone;
      sim.mBroken = static_cast<double>(mTargets.size()) <
                    aPlan.mBroken * static_cast<double>(fleet.mTargets.size());
      mTargets.push_back(std::move(sim));
    }
    const auto subsets = AllSubsets(fleet);
    for (size_t index = 0; index < subsets.size(); ++index) {
      SimEntry entry;
      entry.mZone = fleet.mEntries[index].mZone;
      for (const InstanceId& node : subsets[index]) {
        entry.mCandidates.push_back({ node, mTargets[mIndex[node]].mZone });
      }
      mEntries.push_back(std::move(entry));
    }
  }

  SimResult Run()
  {
    PushEvent(Micros(0), 0, 0);
    for (size_t target = 0; target < mTargets.size(); ++target) {
      PushEvent(
        Millis(static_cast<int64_t>(DrawBelow(mRandom, 2000))), target, 2);
    }
    while (mResult.mAccepted < mPlan.mCalls || mInFlight > 0) {
      const SimEvent event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      if (event.mKind == 0) {
        Arrive();
      } else if (event.mKind == 1) {
        End(event.mCall);
      } else {
        Report(event.mCall);
      }
    }
    for (SimTarget& target : mTargets) {
      AccumulateLoad(target);
      mResult.mLoads.push_back(target.mBusy / mNow.mMicros / target.mLimit);
    }
    return std::move(mResult);
  }

private:
  static constexpr int64_t kMeanServiceMicros = 400000;

  void PushEvent(Duration aIn, size_t aCall, int aKind)
  {
    mEvents.push({ mNow + aIn, mOrder++, aCall, aKind });
  }

  Duration Exponential(double aMeanMicros)
  {
    return Micros(
      static_cast<int64_t>(-std::log(1 - DrawUnit(mRandom)) * aMeanMicros));
  }

  void AccumulateLoad(SimTarget& aTarget)
  {
    aTarget.mBusy +=
      static_cast<double>((mNow - aTarget.mChanged).mMicros) *
      static_cast<double>(aTarget.mRunning + aTarget.mQueue.size());
    aTarget.mChanged = mNow;
  }

  void Arrive()
  {
    if (mResult.mAccepted >= mPlan.mCalls) {
      return;
    }
    ++mResult.mAccepted;
    ++mInFlight;
    SimCall call;
    call.mEntry = DrawBelow(mRandom, mEntries.size());
    call.mArrived = mNow;
    call.mService = Exponential(kMeanServiceMicros);
    call.mWorkspace = WorkspaceId("w" + std::to_string(DrawBelow(mRandom, 8)));
    if (mPlan.mAffinity) {
      // Squaring a uniform draw makes small prefix ids frequent.
      const double draw = DrawUnit(mRandom);
      call.mPrefix = 1 + static_cast<uint64_t>(
                           draw * draw * static_cast<double>(mPlan.mPrefixes));
    }
    mCalls.push_back(std::move(call));
    EarnRetries(mEntries[mCalls.back().mEntry].mRetries,
                mCalls.back().mWorkspace);
    Dispatch(mCalls.size() - 1);
    const double capacity =
      static_cast<double>(mTargets.size()) * 16 / kMeanServiceMicros;
    PushEvent(Exponential(1 / (capacity * mPlan.mUtilisation)), 0, 0);
  }

  void Dispatch(size_t aCall)
  {
    SimCall& call = mCalls[aCall];
    SimEntry& entry = mEntries[call.mEntry];
    RouteQuery query;
    query.mLocalZone = entry.mZone;
    query.mPrefix = call.mPrefix;
    query.mRoundRobin = entry.mRoundRobin++;
    query.mPolicy = mPlan.mPolicy;
    query.mExclude = call.mTried;
    const RouteChoice choice =
      ChooseTarget(entry.mCandidates, entry.mStates, query, mNow, mRandom);
    if (!choice.mNode) {
      --mInFlight;
      return;
    }
    ++mResult.mSent;
    call.mTarget = mIndex.at(*choice.mNode);
    call.mTried.push_back(*choice.mNode);
    ++entry.mStates[*choice.mNode].mOwn;
    SimTarget& target = mTargets[call.mTarget];
    RecordPrefix(call, target);
    AccumulateLoad(target);
    if (target.mBroken) {
      ++target.mRunning;
      PushEvent(Millis(20), aCall, 1);
    } else if (target.mRunning < target.mLimit) {
      Start(target, aCall);
    } else {
      target.mQueue.push_back(aCall);
    }
  }

  void RecordPrefix(const SimCall& aCall, SimTarget& aTarget)
  {
    if (aCall.mPrefix != 0 && mResult.mAccepted > mPlan.mCalls / 2) {
      mResult.mRepeatedPrefixes += mSeen.contains(aCall.mPrefix) ? 1 : 0;
      mResult.mPrefixHits += aTarget.mCached.contains(aCall.mPrefix) ? 1 : 0;
    }
    mSeen.insert(aCall.mPrefix);
    // The cache holds at most 200 prefixes. Small ids are the frequent ones, so
    // the largest id, the least frequently used, is evicted.
    aTarget.mCached.insert(aCall.mPrefix);
    if (aTarget.mCached.size() > 200) {
      aTarget.mCached.erase(std::prev(aTarget.mCached.end()));
    }
  }

  void Start(SimTarget& aTarget, size_t aCall)
  {
    ++aTarget.mRunning;
    mResult.mWaits.push_back((mNow - mCalls[aCall].mArrived).Seconds());
    PushEvent(mCalls[aCall].mService, aCall, 1);
  }

  LoadFigures CurrentLoad(const SimTarget& aTarget) const
  {
    return { aTarget.mRunning,
             static_cast<uint32_t>(aTarget.mQueue.size()),
             aTarget.mLimit };
  }

  void End(size_t aCall)
  {
    SimCall& call = mCalls[aCall];
    SimTarget& target = mTargets[call.mTarget];
    SimEntry& entry = mEntries[call.mEntry];
    TargetState& state = entry.mStates[target.mNode];
    AccumulateLoad(target);
    --target.mRunning;
    --state.mOwn;
    // The last part of an answer carries a load report.
    RecordReport(state, mNow, CurrentLoad(target));
    if (target.mBroken) {
      RecordFailure(state, mNow);
      if (call.mTried.size() < 3 &&
          TakeRetry(entry.mRetries, call.mWorkspace)) {
        Dispatch(aCall);
      } else {
        --mInFlight;
      }
      return;
    }
    ++mResult.mServed;
    --mInFlight;
    if (!target.mQueue.empty()) {
      const size_t next = target.mQueue.front();
      target.mQueue.pop_front();
      Start(target, next);
    }
  }

  void Report(size_t aTarget)
  {
    const SimTarget& target = mTargets[aTarget];
    for (SimEntry& entry : mEntries) {
      for (const RouteCandidate& candidate : entry.mCandidates) {
        if (candidate.mNode == target.mNode) {
          RecordReport(entry.mStates[target.mNode], mNow, CurrentLoad(target));
        }
      }
    }
    if (mResult.mAccepted < mPlan.mCalls) {
      PushEvent(Seconds(2), aTarget, 2);
    }
  }

  SimPlan mPlan;
  Random mRandom;
  MonoTime mNow;
  size_t mOrder = 0;
  uint64_t mInFlight = 0;
  std::vector<SimTarget> mTargets;
  std::vector<SimEntry> mEntries;
  std::map<InstanceId, size_t> mIndex;
  std::deque<SimCall> mCalls; // a deque keeps references valid when it grows
  std::set<uint64_t> mSeen;
  std::priority_queue<SimEvent, std::vector<SimEvent>, std::greater<>> mEvents;
  SimResult mResult;
};

} // namespace caraway::routing
