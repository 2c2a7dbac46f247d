#pragma once
// Ends of requests: answers and errors to the caller.

#include "caraway/entry/entry_step.h"
#include "caraway/entry/error_body.h"

namespace caraway {

// An answer without a request state: health checks and requests refused before
// they are accepted.
void
ReplyToHttpCall(EntryStep& aStep,
                HttpCallId aCall,
                int aStatus,
                Headers aHeaders,
                std::string aBody);

void
RefuseHttpCall(EntryStep& aStep, HttpCallId aCall, const CallerError& aError);

// The whole answer in one action; ends the request.
void
ReplyInFull(EntryStep& aStep,
            CallerRequest& aRequest,
            int aStatus,
            Headers aHeaders,
            std::string aBody);

// Answers in pieces.
void
BeginReply(EntryStep& aStep,
           CallerRequest& aRequest,
           int aStatus,
           Headers aHeaders);
void
SendReplyChunk(EntryStep& aStep, CallerRequest& aRequest, std::string aBytes);
void
EndReply(EntryStep& aStep, CallerRequest& aRequest);

// Sends the error in the form that still fits, and ends the request. Says
// nothing to nodes or claims: FailRequest of outcome.h does.
void
ReplyError(EntryStep& aStep,
           CallerRequest& aRequest,
           const CallerError& aError);

// Forgets the request at the end of the step.
void
FinishRequest(EntryStep& aStep, CallerRequest& aRequest);

} // namespace caraway
