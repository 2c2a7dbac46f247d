#pragma once
// Calls to the ledger's leader: each is sent again under its number until it is
// answered or its deadline passes.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Sends a call for a request, which then waits for it.
void
CallControl(EntryStep& aStep, CallerRequest& aRequest, CallBody aBody);

// Sends a call that no request waits for any longer.
void
CallControlInBackground(EntryStep& aStep,
                        const WorkspaceId& aWorkspace,
                        CallBody aBody);

void
TickCalls(EntryStep& aStep);

// A new leader: everything open goes out again at once.
void
ResendCalls(EntryStep& aStep);

// A new session: open calls get its epoch and new numbers.
void
RenumberCalls(EntryStep& aStep);

void
DropCall(EntryStep& aStep, uint64_t aCall);

void
HandleControlReply(EntryStep& aStep, const ControlCallReply& aReply);

} // namespace caraway
