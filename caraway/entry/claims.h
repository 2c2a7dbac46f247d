#pragma once
// Idempotency claims of non-idempotent service calls.

#include "caraway/entry/entry_step.h"
#include "caraway/entry/error_body.h"

namespace caraway {

// Claims the idempotency key. The request starts once the claim is granted.
void
StartClaim(EntryStep& aStep, CallerRequest& aRequest);

// Starts the request, replays the stored answer or refuses the request.
void
HandleClaimReply(EntryStep& aStep,
                 CallerRequest& aRequest,
                 const CallReplyBody& aBody);

// Stores the complete answer under the key before the caller gets it.
void
CompleteAnswerClaim(EntryStep& aStep, CallerRequest& aRequest);

// Replies to the caller once the answer is stored, or when the deadline passes
// before that.
void
FinishCompletedClaim(EntryStep& aStep, CallerRequest& aRequest);

// Settles the claim of a failed request: releases the key if the request is
// proven not to have run, else stores that its outcome is unknown. The caller
// does not wait for this.
void
SettleFailedClaim(EntryStep& aStep,
                  CallerRequest& aRequest,
                  const CallerError& aError);

} // namespace caraway
