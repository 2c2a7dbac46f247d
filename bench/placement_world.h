#pragma once
// Simulation of prompts that share parts on a virtual clock, for the routing
// benchmark: entries place them on targets whose memory keeps the parts that
// were used last.

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "caraway/routing/placement.h"

namespace caraway::routing {

enum class PlacementPolicy : uint8_t
{
  eRoundRobin,
  ePowerOfTwo,
  eLeastLoaded, // ChoosePlacement without the prefix
  ePrefix,      // ChoosePlacement
};

struct PromptPlan
{
  PlacementPolicy mPolicy = PlacementPolicy::ePrefix;
  size_t mEntries = 21;
  size_t mTargets = 42;
  size_t mZones = 3;
  uint32_t mSlots = 8;
  double mPerSecond = 200;
  double mSeconds = 60;
  uint64_t mSubjects = 2000; // second parts, each below one of mBases
  uint64_t mBases = 16;      // first parts
  double mPartTokens = 100;
  double mOwnTokens = 250; // not shared
  double mMemoryTokens = 72000;
  double mReadPerSecond = 51600; // tokens
  double mWriteSeconds = 0.25;   // of an answer
  double mReportSeconds = 0.02;
};

struct PromptResult
{
  double mTokens = 0;            // shared, over all prompts
  double mReadAgain = 0;         // shared, although some target held them
  std::vector<double> mFirst;    // seconds to the first token
  std::vector<double> mRequests; // by target
};

// Parts that a target holds; the one that was used longest ago yields first.
struct PartMemory
{
  std::list<std::pair<uint64_t, double>> mParts; // newest first
  double mTokens = 0;

  bool Use(uint64_t aPart, double aTokens, double aMost)
  {
    const auto found =
      std::find_if(mParts.begin(), mParts.end(), [&](const auto& aOne) {
        return aOne.first == aPart;
      });
    if (found != mParts.end()) {
      mParts.splice(mParts.begin(), mParts, found);
      return true;
    }
    mParts.emplace_front(aPart, aTokens);
    mTokens += aTokens;
    for (; mTokens > aMost; mParts.pop_back()) {
      mTokens -= mParts.back().second;
    }
    return false;
  }
};

class PromptWorld
{
public:
  explicit PromptWorld(const PromptPlan& aPlan)
    : mPlan(aPlan)
    , mMemory(aPlan.mTargets)
    , mFreeAt(aPlan.mTargets, std::vector<double>(aPlan.mSlots, 0))
    , mOnline(aPlan.mTargets, 0)
    , mViews(aPlan.mEntries)
  {
    mResult.mRequests.resize(aPlan.mTargets, 0);
    for (size_t at = 0; at < aPlan.mTargets; ++at) {
      mCandidates.push_back({ TargetId("t" + std::to_string(at)),
                              ZoneId(std::to_string(at % aPlan.mZones)),
                              aPlan.mSlots });
    }
  }

  PromptResult Run()
  {
    double now = 0;
    double nextReport = 0;
    std::exponential_distribution<double> gap(mPlan.mPerSecond);
    while ((now += gap(mRandom.mEngine)) < mPlan.mSeconds) {
      for (; nextReport <= now; nextReport += mPlan.mReportSeconds) {
        End(nextReport);
        Report(nextReport);
      }
      End(now);
      Request(now);
    }
    return std::move(mResult);
  }

private:
  struct Running
  {
    double mEnd;
    size_t mEntry;
    size_t mTarget;
    bool operator<(const Running& aOther) const { return mEnd > aOther.mEnd; }
  };

  static MonoTime Time(double aSeconds)
  {
    return { static_cast<int64_t>((aSeconds + 10) * 1e6) };
  }

  PlacementLoad& View(size_t aEntry, size_t aTarget)
  {
    return mViews[aEntry][mCandidates[aTarget].mTarget];
  }

  void End(double aNow)
  {
    for (; !mRunning.empty() && mRunning.top().mEnd <= aNow; mRunning.pop()) {
      --mOnline[mRunning.top().mTarget];
      --View(mRunning.top().mEntry, mRunning.top().mTarget).mOwn;
    }
  }

  void Report(double aNow)
  {
    for (size_t entry = 0; entry < mPlan.mEntries; ++entry) {
      for (size_t target = 0; target < mPlan.mTargets; ++target) {
        RecordLoadReport(
          View(entry, target), Time(aNow), mOnline[target], 0, mPlan.mSlots, 0);
      }
    }
  }

  size_t Place(size_t aEntry, uint64_t aSubject, double aNow)
  {
    PlacementQuery query;
    query.mLocalZone = ZoneId(std::to_string(aEntry % mPlan.mZones));
    switch (mPlan.mPolicy) {
      case PlacementPolicy::eRoundRobin:
        return mNext++ % mPlan.mTargets;
      case PlacementPolicy::ePowerOfTwo: {
        const size_t one = DrawBelow(mRandom, mPlan.mTargets);
        const size_t other = DrawBelow(mRandom, mPlan.mTargets);
        return OnlineAt(View(aEntry, other), Time(aNow)) <
                   OnlineAt(View(aEntry, one), Time(aNow))
                 ? other
                 : one;
      }
      case PlacementPolicy::ePrefix:
        query.mPrefix = aSubject + 1;
        query.mPrefixShare =
          2 * mPlan.mPartTokens / (2 * mPlan.mPartTokens + mPlan.mOwnTokens);
        break;
      case PlacementPolicy::eLeastLoaded:
        break;
    }
    return ChoosePlacement(
             mCandidates, mViews[aEntry], query, Time(aNow), mRandom)
      .mIndex.value();
  }

  // Tokens that the target reads.
  double Read(size_t aTarget, uint64_t aSubject)
  {
    constexpr uint64_t kBaseBit = uint64_t{ 1 } << 62;
    constexpr uint64_t kOwnBit = uint64_t{ 1 } << 61;
    double read = mPlan.mOwnTokens;
    PartMemory& memory = mMemory[aTarget];
    bool held = true;
    for (const uint64_t part :
         { aSubject % mPlan.mBases | kBaseBit, aSubject }) {
      held = memory.Use(part, mPlan.mPartTokens, mPlan.mMemoryTokens) && held;
      mResult.mTokens += mPlan.mPartTokens;
      if (!held) {
        read += mPlan.mPartTokens;
        mResult.mReadAgain += mKnown.contains(part) ? mPlan.mPartTokens : 0;
      }
      mKnown[part] = true;
    }
    memory.Use(mRequests++ | kOwnBit, mPlan.mOwnTokens, mPlan.mMemoryTokens);
    return read;
  }

  void Request(double aNow)
  {
    const size_t entry = DrawBelow(mRandom, mPlan.mEntries);
    const uint64_t subject = DrawBelow(mRandom, mPlan.mSubjects);
    const size_t target = Place(entry, subject, aNow);
    ++mResult.mRequests[target];
    ++mOnline[target];
    ++View(entry, target).mOwn;
    auto slot =
      std::min_element(mFreeAt[target].begin(), mFreeAt[target].end());
    const double first =
      std::max(*slot, aNow) + Read(target, subject) / mPlan.mReadPerSecond;
    *slot = first + mPlan.mWriteSeconds;
    mResult.mFirst.push_back(first - aNow);
    mRunning.push({ *slot, entry, target });
  }

  PromptPlan mPlan;
  Random mRandom{ 11 };
  std::vector<PlacementCandidate> mCandidates;
  std::vector<PartMemory> mMemory;
  std::vector<std::vector<double>> mFreeAt; // by target and slot
  std::vector<uint32_t> mOnline;
  std::vector<PlacementLoads> mViews;
  std::priority_queue<Running> mRunning;
  std::map<uint64_t, bool> mKnown; // parts that some target has read
  uint64_t mRequests = 0;
  size_t mNext = 0;
  PromptResult mResult;
};

} // namespace caraway::routing
