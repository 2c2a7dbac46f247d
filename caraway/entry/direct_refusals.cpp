// Refusals of direct requests that no target has taken.

#include <algorithm>
#include <optional>

#include "caraway/entry/direct_internal.h"
#include "caraway/entry/outcome.h"
#include "caraway/refusal/not_run.h"

namespace caraway {

namespace {

// Retry-After is at most a third of the caller's remaining time, the most that
// callers honour.
constexpr int64_t kRetryAfterDivisor = 3;
constexpr Duration kMinRetryAfter = Millis(100);

// The earliest return that an asked node or entry has named.
Duration
ShortestWait(const DirectCall& aDirect)
{
  std::optional<Duration> shortest;
  for (const PendingSlotRequest& slotRequest : aDirect.mSlotRequests) {
    if (slotRequest.mState != SlotRequestState::eSent) {
      shortest = std::min(shortest.value_or(slotRequest.mExpectedWait),
                          slotRequest.mExpectedWait);
    }
  }
  return shortest.value_or(kNoTargetRetry);
}

} // namespace

bool
MayAdviseRetry(const EntryStep& aStep, const CallerRequest& aRequest)
{
  const DirectCall& direct = aRequest.mDirect;
  return !direct.mIsCallerRetry && direct.mAttempts.empty() &&
         (aRequest.mDeadline - aStep.mNow) / kRetryAfterDivisor >
           direct.mLatencyGoal;
}

bool
RefuseAfterWait(EntryStep& aStep, CallerRequest& aRequest)
{
  const DirectCall& direct = aRequest.mDirect;
  if (!DirectProvenNotRun(aRequest)) {
    return false;
  }
  UnstartedRequest unstarted;
  unstarted.mReceivedAt = aRequest.mReceivedAt;
  unstarted.mDeadline = aRequest.mDeadline;
  unstarted.mCallerReturns = !direct.mIsCallerRetry;
  const auto& times = aStep.mEntry.mAnswerTimes;
  if (auto usual = times.find(direct.mRoute); usual != times.end()) {
    unstarted.mUsualAnswer = MeanTime(usual->second);
  }
  if (aStep.mNow < RefuseUnstartedAt(unstarted)) {
    return false;
  }
  RefuseDirect(aStep,
               aRequest,
               ErrorKind::eOverloaded,
               "no target took the request in time",
               ShortestWait(direct));
  return true;
}

void
RefuseNoFreeSlot(EntryStep& aStep, CallerRequest& aRequest)
{
  RefuseDirect(aStep,
               aRequest,
               ErrorKind::eOverloaded,
               "no target has a free slot in time",
               ShortestWait(aRequest.mDirect));
}

void
RefuseDirect(EntryStep& aStep,
             CallerRequest& aRequest,
             ErrorKind aKind,
             const std::string& aMessage,
             Duration aRetryAfter)
{
  CallerError error;
  error.mKind = aKind;
  error.mMessage = aMessage;
  if (!DirectProvenNotRun(aRequest)) {
    // An earlier attempt may have run, so the error must not say not_run.
    error.mKind = ErrorKind::eTargetFailed;
    FailRequest(aStep, aRequest, std::move(error));
    return;
  }
  const Duration left = aRequest.mDeadline - aStep.mNow;
  error.mRetryAfter =
    std::max(kMinRetryAfter, std::min(aRetryAfter, left / kRetryAfterDivisor));
  error.mFractionalRetryAfter = true;
  FailRequest(aStep, aRequest, std::move(error));
}

} // namespace caraway
