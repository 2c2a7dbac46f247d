#pragma once
// Requests of callers: from the path to accepted work.

#include "caraway/entry/entry_step.h"

namespace caraway {

void
HandleHttpRequest(EntryStep& aStep, const HttpRequest& aHttp);

// The caller is gone: an idempotent call is cancelled, another goes on.
void
HandleHttpClosed(EntryStep& aStep, HttpCallId aCall);

// Ends the requests whose key or contract was withdrawn.
void
FailRequestsOfWithdrawnKeys(EntryStep& aStep);

} // namespace caraway
