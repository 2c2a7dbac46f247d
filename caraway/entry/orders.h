#pragma once
// Requests of operators, requests of callers on batch jobs, and reports of
// targets. Control answers them; the entry forwards the reply.

#include "caraway/entry/entry_step.h"

namespace caraway {

void
HandleControlOrder(EntryStep& aStep, const ControlOrder& aOrder);

// Stores the input file of a batch job, then creates the job.
void
HandleJobSubmission(EntryStep& aStep, JobSubmission aSubmission);

// Sends a report of targets to control. aCall is answered once control has
// confirmed the report; if it is none, no reply is sent.
void
StartReport(EntryStep& aStep,
            HttpCallId aCall,
            ReportTargets aReport,
            OrderLog aLog = OrderLog::eEnd);

void
HandleOrderReply(EntryStep& aStep,
                 CallerRequest& aRequest,
                 const CallReplyBody& aBody);

// Ends the request after its deadline passed without a reply from control.
void
FailOrder(EntryStep& aStep, CallerRequest& aRequest);

} // namespace caraway
