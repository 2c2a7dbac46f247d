// Limits the calls at a target that has just started or recovered.

#include "caraway/scheduling/slow_start.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr double kLeastCalls = 2;
constexpr double kShrink = 0.5;
constexpr double kSlowPace = 2;
// A single failure is the request's own more often than the target's.
constexpr uint32_t kTroubleFailures = 3;

} // namespace

void
BeginSlowStart(SlowStart& aStart)
{
  aStart.mActive = true;
  aStart.mLimit = kLeastCalls;
  aStart.mFailures = 0;
  ++aStart.mBegun;
}

StartAnswer
JudgeStartAnswer(bool aServed, double aPace)
{
  if (!aServed) {
    return StartAnswer::eFailed;
  }
  return aPace >= kSlowPace ? StartAnswer::eSlow : StartAnswer::eUsual;
}

void
RecordStartAnswer(SlowStart& aStart, StartAnswer aAnswer, uint32_t aSlots)
{
  if (aAnswer == StartAnswer::eFailed) {
    ++aStart.mFailures;
    if (!aStart.mActive && aStart.mFailures >= kTroubleFailures) {
      aStart.mActive = true;
      aStart.mLimit = aSlots;
      ++aStart.mBegun;
    }
    if (aStart.mActive) {
      aStart.mLimit = std::max(kLeastCalls, aStart.mLimit * kShrink);
    }
    return;
  }
  aStart.mFailures = 0;
  if (!aStart.mActive || aAnswer == StartAnswer::eSlow) {
    return;
  }
  aStart.mLimit += 1;
  aStart.mActive = aStart.mLimit < aSlots;
}

uint32_t
SlowStartLimit(const SlowStart& aStart, uint32_t aSlots)
{
  return aStart.mActive ? std::min(aSlots, static_cast<uint32_t>(aStart.mLimit))
                        : aSlots;
}

} // namespace caraway
