#pragma once
// Handles HTTP requests of callers: health checks, limits, authentication,
// validation, and the start of accepted requests.

#include "caraway/entry/entry_step.h"

namespace caraway {

void
HandleHttpRequest(EntryStep& aStep, const HttpRequest& aHttp);

// The caller closed its connection: cancels an idempotent call; a call that is
// not idempotent continues.
void
HandleHttpClosed(EntryStep& aStep, HttpCallId aCall);

// Fails the requests in progress whose key or contract was withdrawn.
void
FailRequestsOfWithdrawnKeys(EntryStep& aStep);

} // namespace caraway
