#pragma once
// Attempts at targets: sending, giving up, trying again.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Chooses a target and sends the first attempt.
void
StartAttempts(EntryStep& aStep, CallerRequest& aRequest);

// The live attempt failed (it is ended here). Tries another target if the rules
// allow it; otherwise the request fails with the last failure.
void
AttemptFailed(EntryStep& aStep,
              CallerRequest& aRequest,
              ErrorKind aKind,
              std::string aMessage,
              Duration aRetryAfter = {});

// True if AttemptFailed would send another attempt, the retry budget aside.
bool
MayRetryAttempt(EntryStep& aStep, const CallerRequest& aRequest);

// Notes how the target did, for later choices.
void
NoteTargetFailure(EntryStep& aStep, const Attempt& aAttempt);
void
NoteTargetSuccess(EntryStep& aStep, const Attempt& aAttempt);

// Sets the request's timer to the next thing that is due.
void
ScheduleRequest(EntryStep& aStep, const CallerRequest& aRequest);

} // namespace caraway
