// Follows the rate of requests that the target states in its answers, and paces
// the starts by it.

#include <algorithm>
#include <cmath>

#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

void
RateChanged(Node& aNode, MonoTime aNow, const char* aSource, NodeActions& aOut)
{
  const double rate = aNode.mRate.mPerSecond;
  SetStatedRate(aNode.mScheduler.mPace, aNow, rate);
  aOut.emplace_back(RateLog(aNode.mTarget.mAnnounced.mInfo.mId, rate, aSource));
}

} // namespace

void
OnHeardRate(Node& aNode,
            MonoTime aNow,
            const HeardRate& aHeard,
            NodeActions& aOut)
{
  if (aHeard.mTargetStart == aNode.mRecord.mStartedAt &&
      RecordHeardRate(aNode.mRate, aNow, aHeard)) {
    RateChanged(aNode, aNow, "an entry", aOut);
  }
}

void
OnStatedRate(Node& aNode,
             MonoTime aNow,
             const TargetCallBegan& aAnswer,
             NodeActions& aOut)
{
  const std::optional<double> rate = RateOfAnswer(aAnswer, aNode.mRate);
  if (rate && RecordStatedRate(aNode.mRate, aNow, *rate)) {
    RateChanged(aNode, aNow, "an answer", aOut);
  }
}

void
ForgetStatedRate(Node& aNode, MonoTime aNow)
{
  aNode.mRate = {};
  SetStatedRate(aNode.mScheduler.mPace, aNow, 0);
}

std::optional<HeardRate>
HeardRateOfTarget(const Node& aNode, MonoTime aNow)
{
  return HeardRateOf(aNode.mRate, aNow, aNode.mRecord.mStartedAt);
}

uint32_t
UsableSlots(const Node& aNode)
{
  const Scheduler& scheduler = aNode.mScheduler;
  const uint32_t slots = CallLimit(scheduler);
  const double rate = aNode.mRate.mPerSecond;
  if (rate <= 0 || scheduler.mRate.mSeconds <= 0) {
    return slots;
  }
  const double used = std::ceil(rate * scheduler.mRate.mSeconds);
  return static_cast<uint32_t>(std::clamp(used, 1.0, 1.0 * slots));
}

Duration
RateWait(const Node& aNode, MonoTime aNow)
{
  const Scheduler& scheduler = aNode.mScheduler;
  return NextStartUnderRate(scheduler.mPace, aNow, WaitingOnline(scheduler)) -
         aNow;
}

} // namespace caraway
