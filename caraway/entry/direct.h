#pragma once
// Requests that this entry takes to targets itself: slots, calls, retries and
// resumed streams.
//
// Invariant: a request that may not run twice is sent to another target only
// if every earlier attempt is proven not to have run.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Looks for a slot, or a target without a node.
void
StartDirect(EntryStep& aStep, CallerRequest& aRequest);

// Asks, waits and calls that are due.
void
TickDirect(EntryStep& aStep, CallerRequest& aRequest);

// Gives up slots and calls that are out.
void
EndDirect(EntryStep& aStep, CallerRequest& aRequest);

// True if every call to a target is proven not to have run.
bool
DirectProvenNotRun(const CallerRequest& aRequest);

void
HandleSlotReply(EntryStep& aStep,
                const PeerAddress& aFrom,
                const SlotReply& aReply);

// The connection to a node was lost: its slots are gone, calls go on.
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

// Load reports, watches, and the slots held, told once a second.
void
RecordDirectLoad(EntryStep& aStep, const LoadReport& aReport);
void
TickDirectNodes(EntryStep& aStep);
MonoTime
DirectWakeup(const Entry& aEntry);

} // namespace caraway
