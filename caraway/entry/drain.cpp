// Graceful shutdown of the entry.

#include "caraway/entry/drain.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/entry/attempts.h"
#include "caraway/entry/direct.h"
#include "caraway/entry/session.h"

namespace caraway {

namespace {

// How long the platform's load balancer may keep sending requests after /readyz
// starts to fail.
constexpr Duration kBalancerGrace = Seconds(2);
constexpr Duration kLeaveInterval = Millis(500);
constexpr int64_t kBalancerGraceDivisor = 4; // of a short grace
// Stop without confirmation from control after this time.
constexpr Duration kLeaveTimeout = Seconds(5);

MonoTime
BalancerGraceEnd(const Entry& aEntry)
{
  return aEntry.mDrain.mSince +
         std::min(kBalancerGrace,
                  aEntry.mSettings.mStopGrace / kBalancerGraceDivisor);
}

MonoTime
AnswersDueAt(const Entry& aEntry)
{
  return AnswersDue(aEntry.mDrain.mSince, aEntry.mSettings.mStopGrace);
}

MonoTime
ExitDueAt(const Entry& aEntry)
{
  return ExitDue(aEntry.mDrain.mSince, aEntry.mSettings.mStopGrace);
}

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
    log.mExtra = {
      { "requests", absl::StrCat(aStep.mEntry.mRequests.size()) },
      { "grace_ms", absl::StrCat(aStep.mEntry.mSettings.mStopGrace.Millis()) },
      { "answers_due_ms",
        absl::StrCat((AnswersDueAt(aStep.mEntry) - aStep.mNow).Millis()) },
    };
    aStep.mOut.emplace_back(std::move(log));
    for (auto& [serial, request] : aStep.mEntry.mRequests) {
      request.mDeadline = DeadlineBeforeStop(aStep.mEntry, request.mDeadline);
      ScheduleRequest(aStep, request);
    }
    RenewNow(aStep);
  }
}

MonoTime
DeadlineBeforeStop(const Entry& aEntry, MonoTime aDeadline)
{
  return std::min(aDeadline, AnswersDueAt(aEntry));
}

bool
AreAnswersDue(const Entry& aEntry, MonoTime aNow)
{
  return aNow >= AnswersDueAt(aEntry);
}

bool
StopsBeforeAnswer(const EntryStep& aStep,
                  const CallerRequest& aRequest,
                  Duration aWait)
{
  const Entry& entry = aStep.mEntry;
  if (entry.mDrain.mSince == kNever) {
    return false;
  }
  const DirectCall& direct = aRequest.mDirect;
  Duration needed = UsualAnswerTime(entry, direct, direct.mLatencyGoal);
  if (aRequest.mReplyBegun) {
    // Part of a resumed stream has been served already.
    needed = std::max(Duration{}, needed - (aStep.mNow - aRequest.mReceivedAt));
  }
  return AreAnswersDue(entry, aStep.mNow + aWait + needed);
}

CallerError
StoppingError()
{
  CallerError error;
  error.mKind = ErrorKind::eDraining;
  error.mMessage = "this instance stops before it can serve the request";
  error.mRetryAfter = kStoppingRetry;
  error.mFractionalRetryAfter = true;
  return error;
}

bool
RefusesNewWork(const Entry& aEntry, MonoTime aNow)
{
  return aEntry.mDrain.mSince != kNever && aNow >= BalancerGraceEnd(aEntry);
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
  if (aStep.mNow >= ExitDueAt(entry)) {
    Stop(aStep);
    return;
  }
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
  const MonoTime exit = ExitDueAt(aEntry);
  if (!drain.mBalancerGraceOver) {
    return std::min(exit, BalancerGraceEnd(aEntry));
  }
  // While requests are in progress, their own timers wake the entry.
  return drain.mNextLeave != kNever && IsIdle(aEntry)
           ? std::min(exit, drain.mNextLeave)
           : exit;
}

} // namespace caraway
