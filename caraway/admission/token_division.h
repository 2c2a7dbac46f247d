#pragma once
// Divides the available tokens of a workspace among the entries that want them.

#include "caraway/admission/grantor_state.h"
#include "caraway/config/contract.h"

namespace caraway {

struct TokenDivision
{
  double mBrief = 0; // for requests on hold
  double mHeld = 0;  // prefetched
};

// The tokens for one holding. Requests on hold take precedence. Each waiting
// entry gets at least one token while there are any, since its share of a few
// tokens would round down to 0. aAdvance: granted for requests on hold in
// advance of the refill.
TokenDivision
DivideTokens(const GrantBucket& aBucket,
             const GrantHolding& aHolding,
             double aBurst,
             double aAdvance);

// What may be granted in advance of the refill, so that callers within their
// rate need not wait for tokens that lie at other entries: no more than those,
// nor more than kHeldPart of the tolerance. The level repays it.
double
AdvanceFor(const GrantBucket& aBucket,
           const GrantHolding& aHolding,
           const Contract& aContract,
           const RateTolerance& aTolerance);

// Adds tokens above the contract for requests on hold that would get none.
void
AddOverrun(GrantBucket& aBucket,
           const GrantHolding& aHolding,
           const Contract& aContract,
           const RateTolerance& aTolerance,
           TokenDivision& aDivision);

} // namespace caraway
