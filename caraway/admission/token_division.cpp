// Divides the available tokens of a workspace among the entries that want them.

#include "caraway/admission/token_division.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

// Prefetched tokens are at most this part of the burst. So requests within the
// rate and three quarters of the burst find a token at whichever entry they
// arrive, even if all prefetched tokens are held by other entries.
constexpr double kPrefetchShare = 0.25;

// The part of aTokens for one want, in proportion to the sum of all wants.
double
ShareOf(double aTokens, double aMine, double aAll)
{
  return aAll <= aTokens ? aMine : std::floor(aTokens * aMine / aAll);
}

} // namespace

TokenDivision
DivideTokens(const GrantBucket& aBucket,
             const GrantHolding& aHolding,
             double aBurst,
             double aAdvance)
{
  const double tokens = std::floor(aBucket.mLevel + aAdvance);
  if (tokens <= 0) {
    return {};
  }
  TokenDivision division;
  division.mBrief =
    std::max(ShareOf(tokens, aHolding.mWaiting, aBucket.mWaiting),
             std::min(1.0, aHolding.mWaiting));
  const double rest =
    std::min(std::floor(aBucket.mLevel) - aBucket.mWaiting,
             std::floor(aBurst * kPrefetchShare) - aBucket.mHeld);
  if (rest > 0) {
    division.mHeld = ShareOf(rest, aHolding.mPrefetch, aBucket.mPrefetch);
  }
  return division;
}

double
AdvanceFor(const GrantBucket& aBucket,
           const GrantHolding& aHolding,
           const Contract& aContract,
           const RateTolerance& aTolerance)
{
  return std::clamp(aBucket.mOutstanding - aHolding.mAmount,
                    0.0,
                    kHeldPart * OverrunOf(aTolerance, aContract));
}

void
AddOverrun(GrantBucket& aBucket,
           const GrantHolding& aHolding,
           const Contract& aContract,
           const RateTolerance& aTolerance,
           TokenDivision& aDivision)
{
  const double left =
    std::floor(kLeaderPart * OverrunOf(aTolerance, aContract)) -
    aBucket.mOverrun;
  const double extra = std::min(left, aHolding.mWaiting - aDivision.mBrief);
  if (extra > 0) {
    aBucket.mOverrun += extra;
    aBucket.mLevel += extra; // the grant takes it off
    aDivision.mBrief += extra;
  }
}

} // namespace caraway
