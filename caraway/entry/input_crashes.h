#pragma once
// The entry's part in finding input that crashes targets: reports calls that
// broke, tells the leader which input was answered, and ends requests whose
// input gets blocked.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Reports a call that broke before its answer had settled.
void
RecordBrokenCall(EntryStep& aStep,
                 const CallerRequest& aRequest,
                 const DirectAttempt& aAttempt);

void
RecordAnsweredInput(EntryStep& aStep, const CallerRequest& aRequest);

void
HandleCheckedTarget(EntryStep& aStep, const TargetChecked& aEvent);

void
HandleSuspectQuery(EntryStep& aStep,
                   const PeerAddress& aFrom,
                   const SuspectQuery& aQuery);

// Sends the reports that are due.
void
TickCrashReports(EntryStep& aStep);

// Fails requests without an answer so far whose input is blocked now.
void
FailBlockedRequests(EntryStep& aStep);

// What a caller is told about a block.
std::string
InputBlockedMessage(const InputBlock& aBlock);

} // namespace caraway
