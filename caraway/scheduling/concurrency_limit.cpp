// How many calls the target gets at once.

#include "caraway/scheduling/concurrency_limit.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr double kQuantile = 0.95;
constexpr size_t kEnoughGaps = 64;   // samples before a judgement on gaps
constexpr size_t kEnoughFirsts = 20; // and on first tokens
constexpr uint32_t kErrorsInRow = 3;
constexpr double kSmoothing = 0.1; // weight of a new sample in the usual values
constexpr double kColdFactor = 4;

void
StartRound(ConcurrencyLimit& aLimit)
{
  aLimit.mGood = 0;
  ClearSamples(aLimit.mTokenGaps);
  ClearSamples(aLimit.mFirstTokens);
}

bool
Over(const SampleWindow& aWindow, Duration aGoal, size_t aEnough)
{
  return aWindow.mMicros.size() >= aEnough &&
         SampleQuantile(aWindow, kQuantile) > aGoal;
}

bool
OverGoals(const ConcurrencyLimit& aLimit)
{
  const LimitSettings& settings = aLimit.mSettings;
  return Over(aLimit.mTokenGaps, settings.mTokenGoal, kEnoughGaps) ||
         Over(aLimit.mFirstTokens, settings.mFirstTokenGoal, kEnoughFirsts);
}

// Doubling ends before it can overshoot: at half of a goal, or at the value
// that was known to be good.
bool
NearGoals(const ConcurrencyLimit& aLimit)
{
  const LimitSettings& settings = aLimit.mSettings;
  return Over(aLimit.mTokenGaps, settings.mTokenGoal / 2, kEnoughGaps) ||
         Over(aLimit.mFirstTokens, settings.mFirstTokenGoal / 2, kEnoughFirsts);
}

LimitChange
ShrinkIfOver(ConcurrencyLimit& aLimit)
{
  if (!OverGoals(aLimit)) {
    return LimitChange::eNone;
  }
  const uint32_t floor = std::max<uint32_t>(1, aLimit.mSettings.mCold);
  aLimit.mValue = std::max(floor, aLimit.mValue - (aLimit.mValue + 3) / 4);
  aLimit.mRamping = false;
  StartRound(aLimit);
  return LimitChange::eShrank;
}

uint32_t
NextRampValue(const ConcurrencyLimit& aLimit)
{
  uint32_t next = aLimit.mValue * 2;
  if (aLimit.mWarmValue > aLimit.mValue) {
    next = std::min(next, aLimit.mWarmValue);
  }
  return std::min(next, aLimit.mSettings.mMax);
}

LimitChange
EndRound(ConcurrencyLimit& aLimit)
{
  if (aLimit.mRamping && NearGoals(aLimit)) {
    aLimit.mRamping = false;
  }
  const uint32_t before = aLimit.mValue;
  if (aLimit.mRamping) {
    aLimit.mValue = NextRampValue(aLimit);
    aLimit.mRamping = aLimit.mValue < aLimit.mSettings.mMax &&
                      aLimit.mValue != aLimit.mWarmValue;
  } else {
    aLimit.mValue = std::min(before + 1, aLimit.mSettings.mMax);
    aLimit.mWarmValue = before;
  }
  StartRound(aLimit);
  return aLimit.mValue == before ? LimitChange::eNone : LimitChange::eGrew;
}

void
Learn(double& aUsual, double aSample)
{
  aUsual = aUsual == 0 ? aSample : aUsual + kSmoothing * (aSample - aUsual);
}

} // namespace

ConcurrencyLimit
MakeLimit(const LimitSettings& aSettings)
{
  ConcurrencyLimit limit;
  limit.mSettings = aSettings;
  limit.mSettings.mCold = std::max<uint32_t>(1, aSettings.mCold);
  limit.mSettings.mMax = std::max(limit.mSettings.mCold, aSettings.mMax);
  limit.mValue = limit.mSettings.mCold;
  return limit;
}

Duration
ColdThreshold(const ConcurrencyLimit& aLimit, uint32_t aPromptTokens)
{
  const Duration goal = aLimit.mSettings.mFirstTokenGoal;
  if (aLimit.mFirstBase == 0) {
    return goal * static_cast<int64_t>(kColdFactor);
  }
  const double longer =
    std::max(1.0, aPromptTokens / std::max(1.0, aLimit.mPromptBase));
  const double seconds = kColdFactor * aLimit.mFirstBase * longer;
  return std::max(goal, Micros(static_cast<int64_t>(seconds * 1e6)));
}

LimitChange
RecordFirstToken(ConcurrencyLimit& aLimit,
                 Duration aWait,
                 uint32_t aPromptTokens,
                 bool aWithin)
{
  // A long wait above the limit is the node's own doing, not the target's.
  if (!aWithin) {
    return LimitChange::eNone;
  }
  if (aWait > ColdThreshold(aLimit, aPromptTokens)) {
    return TurnCold(aLimit);
  }
  Learn(aLimit.mFirstBase, aWait.Seconds());
  Learn(aLimit.mPromptBase, aPromptTokens);
  AddSample(aLimit.mFirstTokens, aWait);
  return ShrinkIfOver(aLimit);
}

LimitChange
RecordTokenGap(ConcurrencyLimit& aLimit, Duration aGap, bool aWithin)
{
  if (!aWithin) {
    return LimitChange::eNone;
  }
  AddSample(aLimit.mTokenGaps, aGap);
  // The quantile is computed once per 64 samples to bound the cost per token.
  if (aLimit.mTokenGaps.mMicros.size() % kEnoughGaps != 0 ||
      aLimit.mTokenGaps.mNext % kEnoughGaps != 0) {
    return LimitChange::eNone;
  }
  return ShrinkIfOver(aLimit);
}

LimitChange
RecordCompletion(ConcurrencyLimit& aLimit, bool aGood, bool aFull)
{
  aLimit.mErrors = 0;
  if (!aGood || !aFull || aLimit.mSaysCold) {
    return LimitChange::eNone;
  }
  ++aLimit.mGood;
  return aLimit.mGood >= aLimit.mValue ? EndRound(aLimit) : LimitChange::eNone;
}

LimitChange
RecordProgress(ConcurrencyLimit& aLimit, bool aFull)
{
  if (aLimit.mRamping || !aFull || aLimit.mSaysCold) {
    return LimitChange::eNone;
  }
  ++aLimit.mGood;
  return aLimit.mGood >= aLimit.mValue ? EndRound(aLimit) : LimitChange::eNone;
}

LimitChange
RecordBroken(ConcurrencyLimit& aLimit)
{
  return TurnCold(aLimit);
}

LimitChange
RecordServerError(ConcurrencyLimit& aLimit)
{
  return ++aLimit.mErrors >= kErrorsInRow ? TurnCold(aLimit)
                                          : LimitChange::eNone;
}

LimitChange
TurnCold(ConcurrencyLimit& aLimit)
{
  const bool was = aLimit.mRamping && aLimit.mValue == aLimit.mSettings.mCold;
  aLimit.mValue = aLimit.mSettings.mCold;
  aLimit.mRamping = true;
  aLimit.mErrors = 0;
  StartRound(aLimit);
  return was ? LimitChange::eNone : LimitChange::eTurnedCold;
}

std::string_view
LimitChangeName(LimitChange aChange)
{
  switch (aChange) {
    case LimitChange::eNone:
      return "none";
    case LimitChange::eGrew:
      return "grew";
    case LimitChange::eShrank:
      return "shrank";
    case LimitChange::eTurnedCold:
      return "turned_cold";
  }
  return "none";
}

} // namespace caraway
