// Graceful shutdown of the entry.

#include "caraway/entry/drain.h"

#include "caraway/entry/session.h"

namespace caraway {

namespace {

// How long the platform's load balancer may keep sending requests after /readyz
// starts to fail.
constexpr Duration kBalancerGrace = Seconds(2);
constexpr Duration kLeaveInterval = Millis(500);
// Stop without confirmation from control after this time.
constexpr Duration kLeaveTimeout = Seconds(5);

bool
IsIdle(const Entry& aEntry)
{
  return aEntry.mRequests.size() == aEntry.mFinished.size() &&
         aEntry.mCalls.empty();
}

// Returns true if control has ended the session or removed the member.
bool
HasLeft(const Entry& aEntry)
{
  if (aEntry.mSession.mEpoch.IsNone()) {
    return true;
  }
  auto own = aEntry.mConfig.mMembers.find(aEntry.mSettings.mInstance);
  return own == aEntry.mConfig.mMembers.end() ||
         own->second.mEpoch != aEntry.mSession.mEpoch;
}

void
Stop(EntryStep& aStep)
{
  aStep.mEntry.mDrain.mStopped = true;
  aStep.mOut.emplace_back(Stopped{});
}

} // namespace

void
StartDrain(EntryStep& aStep)
{
  DrainState& drain = aStep.mEntry.mDrain;
  if (drain.mSince == kNever) {
    drain.mSince = aStep.mNow;
    DecisionLog log;
    log.mEvent = "stopping";
    log.mChoice = "drain";
    log.mReason = "stop was requested";
    log.mExtra = { { "requests",
                     std::to_string(aStep.mEntry.mRequests.size()) } };
    aStep.mOut.emplace_back(std::move(log));
    RenewNow(aStep);
  }
}

bool
RefusesNewWork(const Entry& aEntry, MonoTime aNow)
{
  return aEntry.mDrain.mSince != kNever &&
         aNow >= aEntry.mDrain.mSince + kBalancerGrace;
}

void
TickDrain(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  DrainState& drain = entry.mDrain;
  if (!RefusesNewWork(entry, aStep.mNow)) {
    return;
  }
  drain.mBalancerGraceOver = true;
  if (!IsIdle(entry)) {
    return;
  }
  if (drain.mLeaveAt == kNever) {
    drain.mLeaveAt = aStep.mNow;
    drain.mNextLeave = aStep.mNow;
  } else if (HasLeft(entry) || aStep.mNow >= drain.mLeaveAt + kLeaveTimeout) {
    Stop(aStep);
    return;
  }
  if (aStep.mNow >= drain.mNextLeave) {
    Send(aStep,
         entry.mSession.mLeader,
         Leave{ entry.mSettings.mInstance, entry.mSession.mEpoch });
    drain.mNextLeave = aStep.mNow + kLeaveInterval;
  }
}

MonoTime
DrainWakeup(const Entry& aEntry)
{
  const DrainState& drain = aEntry.mDrain;
  if (drain.mSince == kNever) {
    return kNever;
  }
  // While requests are in progress, their own timers wake the entry.
  if (drain.mNextLeave != kNever) {
    return IsIdle(aEntry) ? drain.mNextLeave : kNever;
  }
  return drain.mBalancerGraceOver ? kNever : drain.mSince + kBalancerGrace;
}

} // namespace caraway
