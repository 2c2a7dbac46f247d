#pragma once
// Graceful shutdown of the entry.

#include "caraway/entry/entry_step.h"
#include "caraway/entry/error_body.h"

namespace caraway {

// Retry-After of a stopping entry: the caller finds another one at once.
constexpr Duration kStoppingRetry = Millis(100);

// Starts to drain: /readyz fails from now on, and the deadline of each request
// is at most the time when all answers are due. No effect if already draining.
void
StartDrain(EntryStep& aStep);

// Returns true once the load balancer has had time to stop sending here. Until
// then a draining entry still accepts requests.
bool
RefusesNewWork(const Entry& aEntry, MonoTime aNow);

// The deadline of a request that may take until aDeadline.
MonoTime
DeadlineBeforeStop(const Entry& aEntry, MonoTime aDeadline);

// True if all answers are due because the entry stops.
bool
AreAnswersDue(const Entry& aEntry, MonoTime aNow);

// True if the entry stops before a call that starts after aWait would usually
// have brought the request's answer. Another entry may still serve it.
bool
StopsBeforeAnswer(const EntryStep& aStep,
                  const CallerRequest& aRequest,
                  Duration aWait);

// The error of a request that this entry can no longer serve.
CallerError
StoppingError();

// When no request or control call is in progress, ends the session with
// control, then reports Stopped; at the end of the grace it does so in any
// case.
void
TickDrain(EntryStep& aStep);

MonoTime
DrainWakeup(const Entry& aEntry);

} // namespace caraway
