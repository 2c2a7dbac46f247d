#pragma once
// Graceful shutdown of the entry.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Starts to drain: /readyz fails from now on. No effect if already draining.
void
StartDrain(EntryStep& aStep);

// Returns true once the load balancer has had time to stop sending here. Until
// then a draining entry still accepts requests.
bool
RefusesNewWork(const Entry& aEntry, MonoTime aNow);

// When no request or control call is in progress, ends the session with
// control, then reports Stopped.
void
TickDrain(EntryStep& aStep);

MonoTime
DrainWakeup(const Entry& aEntry);

} // namespace caraway
