#pragma once
// Admission of requests: each spends a token of its workspace's rate.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Admits the request and starts its work, refuses it, or lets it wait a short
// time for more tokens.
void
AdmitRequest(EntryStep& aStep, CallerRequest& aRequest);

// Retries the waiting requests in order, after a reply of the grantor.
void
RetryWaitingForGrant(EntryStep& aStep);

// The wait of a request has ended: admits it by a share of the rate if control
// is unreachable, else refuses it.
void
GrantWaitExpired(EntryStep& aStep, CallerRequest& aRequest);

void
HandleLoanReply(EntryStep& aStep,
                const PeerAddress& aFrom,
                const LoanReply& aReply);

// Sends the token holder's next grant request, if one is due.
void
SendGrantRequests(EntryStep& aStep);

} // namespace caraway
