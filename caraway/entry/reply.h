#pragma once
// Responses and errors to callers, and the end of requests.

#include "caraway/entry/entry_step.h"
#include "caraway/entry/error_body.h"

namespace caraway {

// Sends a complete response to a call that has no CallerRequest: health checks,
// and requests refused before they are accepted.
void
ReplyToHttpCall(EntryStep& aStep,
                HttpCallId aCall,
                int aStatus,
                Headers aHeaders,
                std::string aBody);

void
RefuseHttpCall(EntryStep& aStep, HttpCallId aCall, const CallerError& aError);

// Sends the complete response in one action and finishes the request.
// aEndsByClose: nobody knows whether the body is whole, see HttpBegin.
void
ReplyInFull(EntryStep& aStep,
            CallerRequest& aRequest,
            int aStatus,
            Headers aHeaders,
            std::string aBody,
            bool aEndsByClose = false);

// Streams a response: headers, then chunks, then the end, which finishes the
// request. aEndsByClose: see HttpBegin.
void
BeginReply(EntryStep& aStep,
           CallerRequest& aRequest,
           int aStatus,
           Headers aHeaders,
           bool aEndsByClose = false);
void
SendReplyChunk(EntryStep& aStep, CallerRequest& aRequest, std::string aBytes);
void
EndReply(EntryStep& aStep, CallerRequest& aRequest);

// Sends the error and finishes the request. If the response has begun, the
// error is sent as an event (streams only) and the connection is aborted.
// Doesn't cancel attempts or release claims; FailRequest in outcome.h does.
void
ReplyError(EntryStep& aStep,
           CallerRequest& aRequest,
           const CallerError& aError);

// Marks the request as done and drops its pending call and timer; it is removed
// at the end of the step.
void
FinishRequest(EntryStep& aStep, CallerRequest& aRequest);

} // namespace caraway
