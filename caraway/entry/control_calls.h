#pragma once
// Calls to the control leader, which keeps the ledger. Each call is resent with
// the same number until it is answered or its deadline passes.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Sends a call on behalf of a request, which then waits for the reply.
void
CallControl(EntryStep& aStep, CallerRequest& aRequest, CallBody aBody);

// Sends a call that no request waits for.
void
CallControlInBackground(EntryStep& aStep,
                        const WorkspaceId& aWorkspace,
                        CallBody aBody);

// Resends calls that are due and drops those whose deadline has passed.
void
TickCalls(EntryStep& aStep);

// Resends all open calls at once, after a change of leader.
void
ResendCalls(EntryStep& aStep);

// Gives all open calls the epoch of the new session and new call numbers, and
// resends them.
void
RenumberCalls(EntryStep& aStep);

// Forgets an open call; a late reply is ignored.
void
DropCall(EntryStep& aStep, uint64_t aCall);

void
HandleControlReply(EntryStep& aStep, const ControlCallReply& aReply);

} // namespace caraway
