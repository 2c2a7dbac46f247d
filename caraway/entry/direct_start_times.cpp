// Requests for start times at targets that state a rate, and calls at the
// reserved times.

#include <algorithm>

#include "caraway/entry/attempts.h"
#include "caraway/entry/direct_internal.h"
#include "caraway/entry/start_times.h"

namespace caraway {

namespace {

// Share of the time to its deadline that a request waits for a start. The rest
// is left for the call, or for another try by the caller.
constexpr int64_t kWaitNumerator = 2;
constexpr int64_t kWaitDenominator = 3;

using SlotRequests = std::vector<PendingSlotRequest>;

// True if the target has stated a lower rate since the start was reserved:
// those that were reserved with it come too fast now.
bool
IsRateLower(EntryStep& aStep,
            const Target& aTarget,
            const PendingSlotRequest& aReserved)
{
  const double rate = LoadOfTarget(aStep, aTarget).mRate.mPerSecond;
  return rate > 0 && rate < aReserved.mStartRate;
}

// Calls the target if the time of the reserved start has come, else waits.
void
UseReservedStart(EntryStep& aStep,
                 CallerRequest& aRequest,
                 const PendingSlotRequest& aReserved)
{
  DirectCall& direct = aRequest.mDirect;
  const auto& targets = aStep.mEntry.mConfig.mTargets;
  auto target = targets.find(aReserved.mTarget);
  if (target == targets.end() ||
      !AcceptsRequest(aStep, direct, target->second) ||
      IsRateLower(aStep, target->second, aReserved)) {
    CancelSlotRequests(aStep, aRequest);
    StartDirect(aStep, aRequest);
    return;
  }
  if (aStep.mNow < aReserved.mStartAt) {
    direct.mCheckAt = aReserved.mStartAt;
    ScheduleRequest(aStep, aRequest);
    return;
  }
  const Target chosen = target->second;
  PlacementLoad& load = LoadOfTarget(aStep, chosen);
  load.mOwn -= load.mOwn > 0 ? 1 : 0;
  direct.mSlotRequests.clear(); // the only one, and its start is used
  CallTarget(aStep, aRequest, chosen, {});
}

} // namespace

void
RequestStartTime(EntryStep& aStep,
                 CallerRequest& aRequest,
                 const Target& aTarget)
{
  PlacementLoad& load = LoadOfTarget(aStep, aTarget);
  ++load.mOwn;
  load.mUnansweredSince = std::min(load.mUnansweredSince, aStep.mNow);
  PendingSlotRequest slotRequest;
  slotRequest.mTarget = aTarget.mId;
  slotRequest.mSentAt = aStep.mNow;
  slotRequest.mForStartTime = true;
  aRequest.mDirect.mSlotRequests.push_back(slotRequest);
  StartTimeRequest ask;
  ask.mRequest = aRequest.mId;
  ask.mTarget = aTarget.mId;
  ask.mRate = *HeardRateOf(load.mRate, aStep.mNow, aTarget.mStartedAt);
  ask.mWait =
    (aRequest.mDeadline - aStep.mNow) * kWaitNumerator / kWaitDenominator;
  AskStartTime(aStep, aTarget, ask);
}

bool
TickReservedStart(EntryStep& aStep, CallerRequest& aRequest)
{
  SlotRequests& pending = aRequest.mDirect.mSlotRequests;
  auto reserved =
    std::find_if(pending.begin(), pending.end(), [](const auto& aOne) {
      return aOne.mState == SlotRequestState::eReserved;
    });
  if (reserved == pending.end()) {
    return false;
  }
  const PendingSlotRequest chosen = *reserved;
  UseReservedStart(aStep, aRequest, chosen);
  return true;
}

void
HandleStartTimeReply(EntryStep& aStep, const StartTimeReply& aReply)
{
  Entry& entry = aStep.mEntry;
  auto target = entry.mConfig.mTargets.find(aReply.mTarget);
  if (target != entry.mConfig.mTargets.end()) {
    PlacementLoad& load = LoadOfTarget(aStep, target->second);
    load.mUnansweredSince = kNever;
    load.mNextStartAt = aStep.mNow + aReply.mDelay;
    if (aReply.mRate) {
      RecordRateNotice(aStep, aReply.mTarget, *aReply.mRate, "an entry");
    }
  }
  CallerRequest* request = WaitingRequest(entry, aReply.mRequest);
  SlotRequests none;
  SlotRequests& pending =
    request == nullptr ? none : request->mDirect.mSlotRequests;
  auto asked =
    std::find_if(pending.begin(), pending.end(), [&](const auto& aOne) {
      return aOne.mForStartTime && aOne.mTarget == aReply.mTarget &&
             aOne.mState == SlotRequestState::eSent;
    });
  if (asked == pending.end()) {
    if (aReply.mGranted) {
      // Granted after the request was sent elsewhere or ended.
      ReleaseStartTime(aStep, aReply.mTarget, aReply.mRequest);
    }
    return;
  }
  if (aReply.mGranted) {
    PendingSlotRequest reserved = *asked;
    reserved.mState = SlotRequestState::eReserved;
    reserved.mStartAt = aStep.mNow + aReply.mDelay;
    reserved.mStartRate = aReply.mRate ? aReply.mRate->mPerSecond : 0;
    pending.erase(asked);
    CancelSlotRequests(aStep, *request);
    pending.push_back(reserved);
    UseReservedStart(aStep, *request, reserved);
    return;
  }
  asked->mState = SlotRequestState::eRefused;
  asked->mExpectedWait = aReply.mDelay;
  NoSlotAtOnce(aStep, *request);
}

} // namespace caraway
