#pragma once
// Files, uploads and batches: the control calls of one caller operation.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Sends the first control call of the operation.
void
StartControlWork(EntryStep& aStep, CallerRequest& aRequest);

// The call was answered: replies to the caller or goes on with the next call.
void
HandleControlWorkReply(EntryStep& aStep,
                       CallerRequest& aRequest,
                       const CallReplyBody& aBody);

} // namespace caraway
