#pragma once
// Internal: what the files of the direct path share.

#include <string>

#include "caraway/base/error.h"
#include "caraway/entry/direct.h"

namespace caraway {

// The request of a call to a target, if the call is its live attempt.
CallerRequest*
RequestOfTargetCall(Entry& aEntry, TargetCallId aCall);

// True while a call to a target runs.
inline bool
IsCalling(const DirectCall& aDirect)
{
  return !aDirect.mAttempts.empty() && !aDirect.mAttempts.back().mEnded;
}

// Calls the target now. aSlotNode: the node that granted the slot.
void
CallTarget(EntryStep& aStep,
           CallerRequest& aRequest,
           const Target& aTarget,
           const PeerAddress& aSlotNode);

// The live attempt has failed: another target, or the end of the request.
void
DirectAttemptFailed(EntryStep& aStep,
                    CallerRequest& aRequest,
                    ErrorKind aKind,
                    const std::string& aMessage,
                    bool aNotRun);

// Ends the live attempt: cancels its call, frees its slot.
void
CloseAttempt(EntryStep& aStep,
             CallerRequest& aRequest,
             SlotEnding aEnding,
             bool aCancel);

// Slots that are asked for: another look, and the end (direct_slots.cpp).
void
TickSlotRequests(EntryStep& aStep, CallerRequest& aRequest);
void
CancelSlotRequests(EntryStep& aStep, CallerRequest& aRequest);

// Refuses a request that no target has run.
void
RefuseDirect(EntryStep& aStep,
             CallerRequest& aRequest,
             ErrorKind aKind,
             const std::string& aMessage,
             Duration aRetryAfter);

// The node beside a target, or nullptr.
const Member*
NodeOfTarget(const Entry& aEntry, const Target& aTarget);

PlacementLoad&
LoadOfTarget(EntryStep& aStep, const Target& aTarget);

// Whether this entry may call a target without a grant now. For a target that
// bears a stated rate while cold, all entries together keep within their part
// of it, see start_pace.h.
bool
MayCallWithoutGrant(EntryStep& aStep, const Target& aTarget);

// True while new work may go to the target.
bool
AcceptsNewWork(const Entry& aEntry, const Target& aTarget);

} // namespace caraway
