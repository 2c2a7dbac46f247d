#pragma once
// Borrows rate shares from other entries while no grantor answers, and lends
// this entry's own, see admission/lending.h. Used where the deployment states a
// tolerance above the contracts.

#include "caraway/entry/entry_step.h"

namespace caraway {

bool
UsesLoans(const Entry& aEntry);

// True while this entry gets no tokens from a grantor, and so may lend.
bool
IsOutOfTouch(const Entry& aEntry, MonoTime aNow);

enum class BorrowResult : uint8_t
{
  eGranted, // the request may start
  eDelayed, // it may start at mShareStartAt
  eAsked,   // a lender was asked, or has not replied yet
  eNone,    // no lender can help in time
};

// Asks the next lender that may have a loan for the request. This entry's own
// part is used without a message.
BorrowResult
BorrowShare(EntryStep& aStep,
            CallerRequest& aRequest,
            const Contract& aContract);

// Marks the lender that has not replied in time as silent.
void
GiveUpLender(EntryStep& aStep, CallerRequest& aRequest);

// Applies the reply to the request that waits for it. Returns false if the
// request does not wait for this reply.
bool
ApplyLoanReply(EntryStep& aStep,
               const PeerAddress& aFrom,
               const LoanReply& aReply,
               CallerRequest& aRequest);

void
HandleLoanRequest(EntryStep& aStep,
                  const PeerAddress& aFrom,
                  const LoanRequest& aRequest);

} // namespace caraway
