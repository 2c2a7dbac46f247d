// Lending of rate shares between entries.

#include "caraway/admission/lending.h"

#include <algorithm>
#include <cmath>

#include "caraway/routing/hash.h"

namespace caraway {

namespace {

constexpr double kMaxDelay = 60; // s

// The whole requests of aBound for one rank; all ranks add up to aBound at
// most.
uint32_t
WholePart(double aBound, uint32_t aRank, uint32_t aRanks)
{
  const auto whole = static_cast<uint32_t>(std::max(0.0, aBound));
  return whole / aRanks + (aRank < whole % aRanks ? 1 : 0);
}

} // namespace

uint32_t
LenderCount(const RateTolerance& aTolerance, const Contract& aContract)
{
  const double part = kEntryPart * OverrunOf(aTolerance, aContract);
  return static_cast<uint32_t>(
    std::clamp<double>(std::floor(part), 1, kMostLenders));
}

std::vector<InstanceId>
LendersOf(const WorkspaceId& aWorkspace,
          const std::vector<InstanceId>& aEntries,
          uint32_t aCount)
{
  std::vector<std::pair<uint64_t, const InstanceId*>> scores;
  scores.reserve(aEntries.size());
  for (const InstanceId& entry : aEntries) {
    scores.emplace_back(RendezvousScore(entry.mValue, aWorkspace.mValue),
                        &entry);
  }
  const size_t count = std::min<size_t>(aCount, scores.size());
  std::partial_sort(scores.begin(),
                    scores.begin() + static_cast<ptrdiff_t>(count),
                    scores.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first != aRight.first
                               ? aLeft.first > aRight.first
                               : *aLeft.second < *aRight.second;
                    });
  std::vector<InstanceId> lenders;
  for (size_t rank = 0; rank < count; ++rank) {
    lenders.push_back(*scores[rank].second);
  }
  return lenders;
}

Loan
LendShare(LenderBuckets& aBuckets,
          MonoTime aNow,
          const Contract& aContract,
          const RateTolerance& aTolerance,
          const LenderPart& aPart,
          Duration aMaxWait)
{
  if (aContract.mWithdrawn || aContract.mRate <= 0) {
    return { false, kLongestLoanWait };
  }
  // A former process of this entry may have lent up to then.
  const Duration young = std::max(Duration{}, kLongestLoanWait - aPart.mAge);
  const double part = kEntryPart * OverrunOf(aTolerance, aContract);
  const double capacity =
    std::max<uint32_t>(1, WholePart(part, aPart.mRank, aPart.mLenders));
  const double rate = aContract.mRate / aPart.mLenders;
  LenderBucket& bucket = aBuckets.mBuckets[aContract.mWorkspace];
  if (aPart.mAge >= aPart.mWindow && aNow - bucket.mLastLoan >= aPart.mWindow) {
    bucket.mTokens = capacity;
  } else if (bucket.mFilling) {
    bucket.mTokens = std::min(
      capacity,
      bucket.mTokens + rate * (aNow + young - bucket.mFilledAt).Seconds());
  }
  bucket.mFilledAt = aNow + young;
  bucket.mFilling = aBuckets.mFilling = true;
  const double seconds = std::max(0.0, 1 - bucket.mTokens) / rate;
  const Duration wait =
    young +
    Micros(static_cast<int64_t>(std::ceil(std::min(seconds, kMaxDelay) * 1e6)));
  if (wait > std::min(aMaxWait, kLongestLoanWait)) {
    return { false, wait };
  }
  --bucket.mTokens;
  bucket.mLastLoan = aNow + wait;
  return { true, wait };
}

void
StopLending(LenderBuckets& aBuckets)
{
  if (!aBuckets.mFilling) {
    return;
  }
  aBuckets.mFilling = false;
  for (auto& [id, bucket] : aBuckets.mBuckets) {
    bucket.mTokens = std::min(0.0, bucket.mTokens);
    bucket.mFilling = false;
  }
}

const InstanceId*
NextLender(const LenderStates& aStates,
           MonoTime aNow,
           const WorkspaceId& aWorkspace,
           const std::vector<InstanceId>& aLenders,
           size_t aFirst,
           const std::vector<InstanceId>& aAsked,
           MonoTime aWaitUntil)
{
  const auto empty = aStates.mEmptyUntil.find(aWorkspace);
  for (size_t at = 0; at < aLenders.size(); ++at) {
    const InstanceId& lender = aLenders[(aFirst + at) % aLenders.size()];
    const auto silent = aStates.mSilentUntil.find(lender);
    if (std::find(aAsked.begin(), aAsked.end(), lender) != aAsked.end() ||
        (silent != aStates.mSilentUntil.end() && aNow < silent->second)) {
      continue;
    }
    if (empty != aStates.mEmptyUntil.end()) {
      const auto until = empty->second.find(lender);
      if (until != empty->second.end() && until->second > aWaitUntil) {
        continue;
      }
    }
    return &lender;
  }
  return nullptr;
}

double
GrantedPart(const RateDivision& aDivision,
            const Contract& aContract,
            const std::vector<InstanceId>& aLenders)
{
  if (aLenders.empty() || aContract.mRate <= 0) {
    return 1;
  }
  const auto away = static_cast<double>(std::count_if(
    aLenders.begin(), aLenders.end(), [&](const InstanceId& aLender) {
      return aDivision.mAway.contains(aLender);
    }));
  const double tolerated =
    kAwayPart * OverrunOf(aDivision.mTolerance, aContract);
  const double contract =
    aContract.mRate * aDivision.mTolerance.mWindow.Seconds();
  return std::min(1.0,
                  1 - away / static_cast<double>(aLenders.size()) +
                    tolerated / contract);
}

Duration
NextReturn(ReturnTimes& aReturns,
           MonoTime aNow,
           const WorkspaceId& aWorkspace,
           double aRate,
           Duration aFirst,
           Duration aSpread)
{
  MonoTime& next = aReturns.mNext[aWorkspace];
  const MonoTime first = aNow + aFirst;
  const MonoTime back = std::max(first, next);
  const Duration step =
    aRate > 0 ? Micros(static_cast<int64_t>(1e6 / aRate)) : aSpread;
  next = std::min(back + step, first + aSpread);
  return back - aNow;
}

} // namespace caraway
