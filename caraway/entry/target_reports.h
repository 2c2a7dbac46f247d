#pragma once
// Heartbeats and farewells of targets: what is new goes to control as a change
// of the configuration; the rest only keeps the target alive.

#include "caraway/entry/entry_step.h"

namespace caraway {

void
HandleTargetHeartbeat(EntryStep& aStep, const TargetHeartbeat& aHeartbeat);
void
HandleTargetDeregistration(EntryStep& aStep,
                           const TargetDeregistration& aFarewell);
// A target said in an answer that it leaves: control takes it out for everyone.
void
ReportLeaving(EntryStep& aStep, const Target& aTarget);
void
TickTargetReports(EntryStep& aStep);
MonoTime
TargetReportsWakeup(const Entry& aEntry);

} // namespace caraway
