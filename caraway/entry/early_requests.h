#pragma once
// Requests that arrive before the entry has a confirmed configuration. The
// entry has just started, and the load balancer may have no other one. They are
// held for the fraction of a second that the configuration takes, because a
// refusal would use up the caller's only retry.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Holds the request if no configuration is confirmed yet. Returns false if the
// request has to be processed now; aRequest is then unchanged.
bool
HoldEarlyRequest(EntryStep& aStep, ForwardRequest& aRequest);

// Processes all held requests once a configuration is confirmed.
void
ProcessEarlyRequests(EntryStep& aStep);

// Drops the held request of a caller that disconnected. Returns false if none
// is held.
bool
DropEarlyRequest(Entry& aEntry, HttpCallId aCall);

// Refuses requests that were held for too long, and all of them during a drain.
void
TickEarlyRequests(EntryStep& aStep);

MonoTime
EarlyRequestsWakeup(const Entry& aEntry);

} // namespace caraway
