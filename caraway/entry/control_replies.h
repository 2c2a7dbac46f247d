#pragma once
// Runs caller operations on files, uploads and batches as a sequence of control
// calls.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Sends the first control call of the operation.
void
StartControlWork(EntryStep& aStep, CallerRequest& aRequest);

// Handles the reply to the pending call: replies to the caller or sends the
// next call of the operation.
void
HandleControlWorkReply(EntryStep& aStep,
                       CallerRequest& aRequest,
                       const CallReplyBody& aBody);

} // namespace caraway
