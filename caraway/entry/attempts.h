#pragma once
// Attempts: dispatching a request to a node, ending it, retrying elsewhere.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Chooses a node and sends the first attempt.
void
StartAttempts(EntryStep& aStep, CallerRequest& aRequest);

// Ends the live attempt as failed. Retries at another node if the rules and the
// retry budget allow it; otherwise fails the request with this failure.
void
AttemptFailed(EntryStep& aStep,
              CallerRequest& aRequest,
              ErrorKind aKind,
              std::string aMessage,
              Duration aRetryAfter = {});

// True if the request may be retried, without regard to the retry budget.
bool
MayRetryAttempt(EntryStep& aStep, const CallerRequest& aRequest);

// Record the result of an attempt for later choices of a node.
void
NoteTargetFailure(EntryStep& aStep, const Attempt& aAttempt);
void
NoteTargetSuccess(EntryStep& aStep, const Attempt& aAttempt);

// Sets the request's timer to the earliest of its deadline and next check.
void
ScheduleRequest(EntryStep& aStep, const CallerRequest& aRequest);

} // namespace caraway
