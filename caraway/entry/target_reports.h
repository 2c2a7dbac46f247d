#pragma once
// Heartbeats and farewells of targets: what is new goes to control as a change
// of the configuration; the rest only keeps the target alive.

#include "caraway/entry/entry_step.h"

namespace caraway {

void
HandleTargetHeartbeat(EntryStep& aStep, const TargetHeartbeat& aHeartbeat);
void
HandleTargetFarewell(EntryStep& aStep, const TargetFarewell& aFarewell);
void
TickTargetReports(EntryStep& aStep);
MonoTime
TargetReportsWakeup(const Entry& aEntry);

} // namespace caraway
