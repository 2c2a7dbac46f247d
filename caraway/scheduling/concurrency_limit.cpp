// Adaptive limit on the concurrent calls at a target.

#include "caraway/scheduling/concurrency_limit.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr double kQuantile = 0.95;
constexpr size_t kMinGapSamples = 64;        // before the limit may change
constexpr size_t kMinFirstTokenSamples = 20; // and on first tokens
constexpr uint32_t kErrorsInRow = 3;
constexpr double kSmoothing = 0.1; // weight of a new sample in the usual values
constexpr double kColdFactor = 4;

void
StartRound(ConcurrencyLimit& aLimit)
{
  aLimit.mRoundSuccesses = 0;
  ClearSamples(aLimit.mTokenGaps);
  ClearSamples(aLimit.mFirstTokens);
}

bool
QuantileExceeds(const SampleWindow& aWindow, Duration aGoal, size_t aEnough)
{
  return aWindow.mMicros.size() >= aEnough &&
         SampleQuantile(aWindow, kQuantile) > aGoal;
}

bool
ExceedsGoals(const ConcurrencyLimit& aLimit)
{
  const LimitSettings& settings = aLimit.mSettings;
  return QuantileExceeds(
           aLimit.mTokenGaps, settings.mTokenGoal, kMinGapSamples) ||
         QuantileExceeds(aLimit.mFirstTokens,
                         settings.mFirstTokenGoal,
                         kMinFirstTokenSamples);
}

// Doubling ends before it can overshoot: when the latency reaches half of a
// goal, or at the last value that met the goals (see NextRampValue).
bool
IsNearGoals(const ConcurrencyLimit& aLimit)
{
  const LimitSettings& settings = aLimit.mSettings;
  return QuantileExceeds(
           aLimit.mTokenGaps, settings.mTokenGoal / 2, kMinGapSamples) ||
         QuantileExceeds(aLimit.mFirstTokens,
                         settings.mFirstTokenGoal / 2,
                         kMinFirstTokenSamples);
}

LimitChange
ShrinkIfOver(ConcurrencyLimit& aLimit)
{
  if (!ExceedsGoals(aLimit)) {
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
  if (aLimit.mRamping && IsNearGoals(aLimit)) {
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
UpdateAverage(double& aUsual, double aSample)
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
  if (aLimit.mMeanFirstToken == 0) {
    return goal * static_cast<int64_t>(kColdFactor);
  }
  const double longer =
    std::max(1.0, aPromptTokens / std::max(1.0, aLimit.mMeanPromptTokens));
  const double seconds = kColdFactor * aLimit.mMeanFirstToken * longer;
  return std::max(goal, Micros(static_cast<int64_t>(seconds * 1e6)));
}

LimitChange
RecordFirstToken(ConcurrencyLimit& aLimit,
                 Duration aWait,
                 uint32_t aPromptTokens,
                 bool aWithinLimit)
{
  // Above the limit, the node itself causes long waits, not the target.
  if (!aWithinLimit) {
    return LimitChange::eNone;
  }
  if (aWait > ColdThreshold(aLimit, aPromptTokens)) {
    return TurnCold(aLimit);
  }
  UpdateAverage(aLimit.mMeanFirstToken, aWait.Seconds());
  UpdateAverage(aLimit.mMeanPromptTokens, aPromptTokens);
  AddSample(aLimit.mFirstTokens, aWait);
  return ShrinkIfOver(aLimit);
}

LimitChange
RecordTokenGap(ConcurrencyLimit& aLimit, Duration aGap, bool aWithinLimit)
{
  if (!aWithinLimit) {
    return LimitChange::eNone;
  }
  AddSample(aLimit.mTokenGaps, aGap);
  // Computes the quantile only once per 64 samples to bound the cost per token.
  if (aLimit.mTokenGaps.mMicros.size() % kMinGapSamples != 0 ||
      aLimit.mTokenGaps.mNext % kMinGapSamples != 0) {
    return LimitChange::eNone;
  }
  return ShrinkIfOver(aLimit);
}

LimitChange
RecordCompletion(ConcurrencyLimit& aLimit, bool aGood, bool aLimitUsed)
{
  aLimit.mErrors = 0;
  if (!aGood || !aLimitUsed || aLimit.mTargetReportsCold) {
    return LimitChange::eNone;
  }
  ++aLimit.mRoundSuccesses;
  return aLimit.mRoundSuccesses >= aLimit.mValue ? EndRound(aLimit)
                                                 : LimitChange::eNone;
}

LimitChange
RecordProgress(ConcurrencyLimit& aLimit, bool aLimitUsed)
{
  if (aLimit.mRamping || !aLimitUsed || aLimit.mTargetReportsCold) {
    return LimitChange::eNone;
  }
  ++aLimit.mRoundSuccesses;
  return aLimit.mRoundSuccesses >= aLimit.mValue ? EndRound(aLimit)
                                                 : LimitChange::eNone;
}

LimitChange
RecordConnectionFailure(ConcurrencyLimit& aLimit)
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
