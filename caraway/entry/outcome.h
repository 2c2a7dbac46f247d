#pragma once
// What is known of a request's outcome, and its failure.
//
// Invariant: an error says not_run only if every copy of every attempt was
// proven not to have run.

#include "caraway/entry/entry_step.h"
#include "caraway/entry/error_body.h"

namespace caraway {

// eNotRun if every attempt was proven not to have run (or none was sent).
Outcome
OutcomeOf(const CallerRequest& aRequest);

// Nothing more is expected of the attempt; its place in the load is freed.
void
EndAttempt(EntryStep& aStep, Attempt& aAttempt);

// Ends every attempt that is still out; tells the nodes to stop if aCancel.
void
EndAttempts(EntryStep& aStep, CallerRequest& aRequest, bool aCancel);

// Fails the request: cancels idempotent attempts (and others if aCancelAll),
// returns the token and releases the claim if it is proven not to have run, and
// tells the caller. mOutcome of the error is filled in.
void
FailRequest(EntryStep& aStep,
            CallerRequest& aRequest,
            CallerError aError,
            bool aCancelAll = false);

} // namespace caraway
