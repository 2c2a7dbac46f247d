// The rate of requests that a target states in its answers.

#include "caraway/scheduling/stated_rate.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace caraway {

namespace {

// A target that states less still gets a request at times, since only an answer
// tells that the rate has risen.
constexpr double kMinRate = 0.1; // requests/s

} // namespace

bool
RecordStatedRate(StatedRate& aRate, MonoTime aAt, double aPerSecond)
{
  if (aAt < aRate.mAt) {
    return false;
  }
  aRate.mAt = aAt;
  if (aPerSecond == aRate.mPerSecond) {
    return false;
  }
  aRate.mPerSecond = aPerSecond;
  return true;
}

std::optional<double>
RateOfAnswer(const TargetCallBegan& aAnswer, const StatedRate& aKnown)
{
  if (aAnswer.mWrongTarget || aAnswer.mForeign) {
    return std::nullopt;
  }
  if (aAnswer.mStatedRate) {
    return std::max(*aAnswer.mStatedRate, kMinRate);
  }
  const bool ends = aKnown.mPerSecond > 0 && aAnswer.mStatus / 100 == 2;
  return ends ? std::optional(0.0) : std::nullopt;
}

DecisionLog
RateLog(const TargetId& aTarget, double aPerSecond, std::string_view aSource)
{
  DecisionLog log;
  log.mEvent = "target_rate";
  log.mChoice = aTarget.mValue;
  log.mReason = aPerSecond > 0 ? "the target states the rate that it takes"
                               : "the target states no rate any more";
  log.mExtra = { { "per_s", absl::StrCat(aPerSecond) },
                 { "told_by", std::string(aSource) } };
  return log;
}

bool
RecordHeardRate(StatedRate& aRate, MonoTime aNow, const HeardRate& aHeard)
{
  // Only an answer of its own refreshes a rate that is known already, so that
  // two processes do not keep an outdated rate alive by telling each other.
  if (IsHeard(aRate) && aHeard.mPerSecond == aRate.mPerSecond) {
    return false;
  }
  const Duration age = std::clamp(aHeard.mAge, Duration{}, kMaxHeardAge);
  return RecordStatedRate(aRate, aNow - age, aHeard.mPerSecond);
}

std::optional<HeardRate>
HeardRateOf(const StatedRate& aRate, MonoTime aNow, int64_t aTargetStart)
{
  if (!IsHeard(aRate)) {
    return std::nullopt;
  }
  return HeardRate{ aTargetStart,
                    aRate.mPerSecond,
                    std::min(aNow - aRate.mAt, kMaxHeardAge) };
}

} // namespace caraway
