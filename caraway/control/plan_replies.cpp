// Acknowledges serving plans. An operator may take an acknowledged plan as in
// force, so the reply waits until each entry that holds a configuration lease
// has the plan. An entry without a lease does not deny requests on the grounds
// of its plan. A holder that is too slow loses its lease after kFetchAllowance
// and is not waited for any longer.

#include <algorithm>

#include "caraway/control/step.h"

namespace caraway {

bool
HoldPlanReply(ControlStep& aStep,
              const PendingCallReply& aTo,
              const CallBody& aBody)
{
  const auto* replace = std::get_if<ReplacePlan>(&aBody);
  const auto& plan = aStep.mControl.mState.mConfig.mView.mPlan;
  if (replace == nullptr || !plan || replace->mPlan.mVersion > plan->mVersion) {
    return false;
  }
  Leadership& leadership = aStep.mControl.mLeadership;
  auto& waiting = leadership.mPlanReplies;
  const bool resent = std::any_of(
    waiting.begin(), waiting.end(), [&](const WaitingPlanReply& aReply) {
      return aReply.mTo.mFrom == aTo.mFrom && aReply.mTo.mCall == aTo.mCall;
    });
  if (!resent) {
    waiting.push_back({ aTo,
                        leadership.mPlanRevision,
                        leadership.mPlanAppliedAt + kFetchAllowance });
  }
  return true;
}

void
PlanApplied(ControlStep& aStep)
{
  Leadership& leadership = aStep.mControl.mLeadership;
  leadership.mPlanRevision = aStep.mControl.mState.mConfig.mView.mRevision;
  leadership.mPlanAppliedAt = aStep.mNow;
}

void
SendPlanReplies(ControlStep& aStep)
{
  Leadership& leadership = aStep.mControl.mLeadership;
  const ConfigView& view = aStep.mControl.mState.mConfig.mView;
  std::erase_if(leadership.mPlanReplies, [&](const WaitingPlanReply& aReply) {
    if (aStep.mNow < aReply.mReplyBy &&
        !IsHeldByEntries(
          leadership.mSessions, aStep.mNow, view, aReply.mRevision)) {
      return false;
    }
    Send(aStep,
         aReply.mTo.mFrom,
         ControlCallReply{ aReply.mTo.mGroup,
                           aReply.mTo.mCall,
                           aReply.mTo.mEntryEpoch,
                           CallDone{} });
    return true;
  });
}

} // namespace caraway
