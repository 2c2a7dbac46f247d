#pragma once
// The graceful stop.

#include "caraway/entry/entry_step.h"

namespace caraway {

void
StartDrain(EntryStep& aStep);

// True once the balancer has had time to move on.
bool
RefusesNewWork(const Entry& aEntry, MonoTime aNow);

// Leaves the session when nothing is in progress, then reports Stopped.
void
TickDrain(EntryStep& aStep);

MonoTime
DrainWakeup(const Entry& aEntry);

} // namespace caraway
