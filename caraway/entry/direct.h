#pragma once
// Direct requests: this entry calls the target itself instead of dispatching
// through a node. Covers slot requests, calls, retries and resumed streams.
//
// Invariant: a request that may not run twice is sent to another target only
// if every earlier attempt is proven not to have run.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Requests a slot for the request, or calls a target that has no node at once.
void
StartDirect(EntryStep& aStep, CallerRequest& aRequest);

// Handles the request's due timer: slot requests and their timeouts before a
// call, the connect and stall timeouts during one.
void
TickDirect(EntryStep& aStep, CallerRequest& aRequest);

// Cancels the request's pending slot requests and its live call, and releases
// its slot.
void
EndDirect(EntryStep& aStep, CallerRequest& aRequest);

// True if every call to a target is proven not to have run.
bool
DirectProvenNotRun(const CallerRequest& aRequest);

void
HandleSlotReply(EntryStep& aStep,
                const PeerAddress& aFrom,
                const SlotReply& aReply);

void
HandleStartTimeReply(EntryStep& aStep, const StartTimeReply& aReply);

// The connection to a node was lost: slot requests there count as refused
// and its grants are void; running calls continue.
void
DirectPeerLost(EntryStep& aStep, const PeerAddress& aPeer);

void
HandleTargetSent(EntryStep& aStep, const TargetCallSent& aEvent);
void
HandleTargetBegan(EntryStep& aStep, const TargetCallBegan& aEvent);
void
HandleTargetBytes(EntryStep& aStep, const TargetCallBytes& aEvent);
void
HandleTargetEnded(EntryStep& aStep, const TargetCallEnded& aEvent);
void
HandleTargetFailed(EntryStep& aStep, const TargetCallFailed& aEvent);
// Returns false if the check does not concern the end of an answer.
bool
HandleEndChecked(EntryStep& aStep, const TargetChecked& aEvent);

// Most answers on the request's route take no longer than this; aUnknown if
// none has been recorded.
Duration
UsualAnswerTime(const Entry& aEntry,
                const DirectCall& aDirect,
                Duration aUnknown);

// Forgets how long answers take on routes that are gone.
void
ForgetAnswerTimes(Entry& aEntry);

// Records a load report of a node for placement.
void
RecordDirectLoad(EntryStep& aStep, const LoadReport& aReport);
// Once a second, sends each node the slots that this entry holds there, and
// renews the subscriptions to load reports.
void
TickDirectNodes(EntryStep& aStep);
MonoTime
DirectWakeup(const Entry& aEntry);

} // namespace caraway
