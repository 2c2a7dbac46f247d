#pragma once
// Heartbeats and deregistrations of targets. A change is sent to control, which
// updates the configuration; an unchanged heartbeat only keeps the target
// alive.

#include "caraway/entry/entry_step.h"

namespace caraway {

void
HandleTargetHeartbeat(EntryStep& aStep, const TargetHeartbeat& aHeartbeat);
void
HandleTargetDeregistration(EntryStep& aStep,
                           const TargetDeregistration& aDeregistration);
// Reports a target that announced in an answer that it leaves, so that control
// takes it out of service for all entries.
void
ReportLeaving(EntryStep& aStep, const Target& aTarget);
// Sends control the targets heard from since the last message.
void
TickTargetReports(EntryStep& aStep);
MonoTime
TargetReportsWakeup(const Entry& aEntry);

} // namespace caraway
