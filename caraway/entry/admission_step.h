#pragma once
// Admission of requests by the token holder.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Admits the request and starts its work, parks it for a last-chance ask, or
// refuses it.
void
AdmitRequest(EntryStep& aStep, CallerRequest& aRequest);

// An answer of the grantor came: parked requests are tried again, in order.
void
RetryWaitingForGrant(EntryStep& aStep);

// The ask of a parked request was not answered in time.
void
GrantWaitExpired(EntryStep& aStep, CallerRequest& aRequest);

// Sends the token holder's next message, if any.
void
SendGrantRequests(EntryStep& aStep);

} // namespace caraway
