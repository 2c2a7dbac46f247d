#pragma once
// Calls of operators, of callers about batch jobs, and reports of targets:
// control answers them, and the entry hands the answer on.

#include "caraway/entry/entry_step.h"

namespace caraway {

void
HandleControlOrder(EntryStep& aStep, const ControlOrder& aOrder);

void
HandleJobSubmission(EntryStep& aStep, JobSubmission aSubmission);

// Sends a report of targets. aCall is answered when control has it; none: no
// one waits.
void
StartReport(EntryStep& aStep, HttpCallId aCall, ReportTargets aReport);

void
HandleOrderReply(EntryStep& aStep,
                 CallerRequest& aRequest,
                 const CallReplyBody& aBody);

// The deadline passed without an answer of control.
void
FailOrder(EntryStep& aStep, CallerRequest& aRequest);

} // namespace caraway
