#pragma once
// Functions shared by the direct_*.cpp files; not for other files.

#include <optional>
#include <string>

#include "caraway/base/error.h"
#include "caraway/entry/direct.h"

namespace caraway {

// A node replies at once, so after several round trips between zones a slot is
// requested from another node as well.
constexpr Duration kHedgeDelay = Millis(40);

// Returns the request whose live attempt is aCall, or nullptr.
CallerRequest*
RequestOfTargetCall(Entry& aEntry, TargetCallId aCall);

// True while a call to a target is in flight.
inline bool
IsCalling(const DirectCall& aDirect)
{
  return !aDirect.mAttempts.empty() && !aDirect.mAttempts.back().mEnded;
}

inline DirectAttempt&
LiveAttempt(CallerRequest& aRequest)
{
  return aRequest.mDirect.mAttempts.back();
}

inline bool
IsStream(const DirectCall& aDirect)
{
  return aDirect.mKind == CallKind::eStream;
}

// Passes the end of the live attempt's answer on to the caller.
void
FinishAnswer(EntryStep& aStep, CallerRequest& aRequest);
// Handles an answer that ended before it was complete.
void
HandleBrokenAnswer(EntryStep& aStep,
                   CallerRequest& aRequest,
                   const std::string& aReason,
                   Outcome aOutcome);

// Starts a call to the target. aSlotNode is the node that granted the slot,
// empty for a call without a grant.
void
CallTarget(EntryStep& aStep,
           CallerRequest& aRequest,
           const Target& aTarget,
           const PeerAddress& aSlotNode);

// Ends the live attempt as failed, then retries at another target or fails the
// request. aNotRun: the attempt is proven not to have run.
void
DirectAttemptFailed(EntryStep& aStep,
                    CallerRequest& aRequest,
                    ErrorKind aKind,
                    const std::string& aMessage,
                    bool aNotRun);

// Ends the live attempt, if any: releases its slot, and cancels its call if
// aCancel.
void
CloseAttempt(EntryStep& aStep,
             CallerRequest& aRequest,
             SlotEnding aEnding,
             bool aCancel);

// True if the request may be tried at another target. aNotRun: the last attempt
// is proven not to have run.
bool
MayRetryDirect(const EntryStep& aStep,
               const CallerRequest& aRequest,
               bool aNotRun);
// Logs a step of the request's live attempt.
void
LogAttempt(EntryStep& aStep,
           const CallerRequest& aRequest,
           LogLevel aLevel,
           const char* aEvent,
           const std::string& aReason);
// Records the result of the attempt for later choices of a target.
void
NoteResult(EntryStep& aStep, const DirectAttempt& aAttempt, bool aGood);

// True if every pending slot request has been refused (direct_slots.cpp).
bool
AllRefused(const DirectCall& aDirect);
// Returns the request's slot request at this node, or nullptr
// (direct_slots.cpp).
PendingSlotRequest*
FindSlotRequest(CallerRequest& aRequest, const PeerAddress& aNode);
// Records what a node says of the rate that its target states
// (direct_nodes.cpp).
void
RecordNodeRate(EntryStep& aStep,
               const Target& aTarget,
               const std::optional<HeardRate>& aRate,
               Duration aWait);

// Checks the timeouts of the pending slot requests (direct_slots.cpp).
void
TickSlotRequests(EntryStep& aStep, CallerRequest& aRequest);
// Cancels all pending slot requests (direct_slots.cpp).
void
CancelSlotRequests(EntryStep& aStep, CallerRequest& aRequest);
// Requests a slot for one more target, or calls it if it needs none. Returns
// false if no target is left (direct_slots.cpp).
bool
RequestNextSlot(EntryStep& aStep, CallerRequest& aRequest);
// After a reply that grants nothing at once: requests a slot at one more target
// as well, or refuses the request if all have refused (direct_slots.cpp).
void
NoSlotAtOnce(EntryStep& aStep, CallerRequest& aRequest);
// Returns the request if it waits for a slot, else nullptr (direct_slots.cpp).
CallerRequest*
WaitingRequest(Entry& aEntry, const RequestId& aId);

// True if the target may be given this request (direct_targets.cpp).
bool
AcceptsRequest(const EntryStep& aStep,
               const DirectCall& aDirect,
               const Target& aTarget);

// Requests a start time at the target (direct_start_times.cpp).
void
RequestStartTime(EntryStep& aStep,
                 CallerRequest& aRequest,
                 const Target& aTarget);
// Starts the call of a reserved start time that has come, or waits for it.
// Returns false if none is reserved (direct_start_times.cpp).
bool
TickReservedStart(EntryStep& aStep, CallerRequest& aRequest);

// Retry-After when no target can be used; the next heartbeats may change that.
constexpr Duration kNoTargetRetry = Seconds(1);

// True if the caller may be refused with Retry-After: at most once, only before
// the first call, and only if a third of its remaining time exceeds the latency
// goal.
bool
MayAdviseRetry(const EntryStep& aStep, const CallerRequest& aRequest);

// Refuses the request if it has waited for so long that it could not be served
// any more, or that its caller would have no time left to return. Returns true
// if it did (direct_refusals.cpp).
bool
RefuseAfterWait(EntryStep& aStep, CallerRequest& aRequest);

// Refuses the request since all its slot requests were refused
// (direct_refusals.cpp).
void
RefuseNoFreeSlot(EntryStep& aStep, CallerRequest& aRequest);

// Refuses the request with Retry-After if it is proven not to have run;
// otherwise fails it with an unknown outcome (direct_refusals.cpp).
void
RefuseDirect(EntryStep& aStep,
             CallerRequest& aRequest,
             ErrorKind aKind,
             const std::string& aMessage,
             Duration aRetryAfter);

// Returns the node beside the target, or nullptr.
const Member*
NodeOfTarget(const Entry& aEntry, const Target& aTarget);

// Returns the load record of the target, reset if the target has restarted.
PlacementLoad&
LoadOfTarget(EntryStep& aStep, const Target& aTarget);

// True if this entry may call the target without a grant now. For a target with
// a cold rate or a stated rate, all entries together stay within the part of it
// that is set aside for such calls, see start_pace.h.
bool
MayCallWithoutGrant(EntryStep& aStep, const Target& aTarget);

// True if the target may be given new requests.
bool
AcceptsNewWork(const Entry& aEntry, const Target& aTarget);

} // namespace caraway
