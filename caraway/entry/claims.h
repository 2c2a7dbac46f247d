#pragma once
// Idempotency claims of non-idempotent service calls.

#include "caraway/entry/entry_step.h"
#include "caraway/entry/error_body.h"

namespace caraway {

// Claims the key; the request goes on once the claim is granted.
void
StartClaim(EntryStep& aStep, CallerRequest& aRequest);

void
HandleClaimReply(EntryStep& aStep,
                 CallerRequest& aRequest,
                 const CallReplyBody& aBody);

// The answer is whole: stores it, then replies to the caller.
void
CompleteAnswerClaim(EntryStep& aStep, CallerRequest& aRequest);

// The completion was answered, or the deadline came first.
void
FinishCompletedClaim(EntryStep& aStep, CallerRequest& aRequest);

// The request failed: frees the key if it is proven not to have run, else
// stores that its outcome is unknown. Works in the background.
void
SettleFailedClaim(EntryStep& aStep,
                  CallerRequest& aRequest,
                  const CallerError& aError);

} // namespace caraway
