#pragma once
// The outcome of a request, and how a request fails.
//
// Invariants: an error says not_run only if every copy of every attempt was
// proven not to have run. One that says so never has status 502 or 504, which
// would leave it open.

#include "caraway/entry/entry_step.h"
#include "caraway/entry/error_body.h"

namespace caraway {

// Returns eNotRun if every attempt is proven not to have run (or none was
// sent), else eUnknown.
Outcome
OutcomeOf(const CallerRequest& aRequest);

// Ends the attempt: no reply is waited for any more, and it no longer counts in
// the load of its node.
void
EndAttempt(EntryStep& aStep, Attempt& aAttempt);

// Ends every attempt in flight. If aCancel, the nodes are told to cancel it;
// a direct call is always cancelled.
void
EndAttempts(EntryStep& aStep, CallerRequest& aRequest, bool aCancel);

// Fails the request: cancels its attempts if it is idempotent or aCancelAll is
// set, returns its token and releases its claim if it is proven not to have
// run, and sends the caller the error with mOutcome filled in.
void
FailRequest(EntryStep& aStep,
            CallerRequest& aRequest,
            CallerError aError,
            bool aCancelAll = false);

// Fails a request that a stopping entry can no longer serve: as not run if that
// is proven, so that another entry may, else with the outcome unknown.
void
FailStoppingRequest(EntryStep& aStep, CallerRequest& aRequest);

} // namespace caraway
