#pragma once
// Requests that reach an entry before it knows a configuration: it has just
// started, and the balancer may have no other one. They are held for the part
// of a second that the configuration takes, since a refusal would use up the
// caller's only retry.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Holds the request. False if it has to be refused now.
bool
HoldEarlyRequest(EntryStep& aStep, ForwardRequest& aRequest);

// A configuration is known: takes in all that is held.
void
ProcessEarlyRequests(EntryStep& aStep);

// The caller has left. False if no request of it is held.
bool
DropEarlyRequest(Entry& aEntry, HttpCallId aCall);

// Refuses what has been held for too long, and everything during a stop.
void
TickEarlyRequests(EntryStep& aStep);

MonoTime
EarlyRequestsWakeup(const Entry& aEntry);

} // namespace caraway
