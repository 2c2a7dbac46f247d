// The tolerance above contracts.

#include "caraway/admission/overrun.h"

namespace caraway {

double
OverrunOf(const RateTolerance& aTolerance, const Contract& aContract)
{
  if (aTolerance.mWindow <= Duration{} || aContract.mRate <= 0) {
    return 0;
  }
  const double contract =
    aContract.mRate * aTolerance.mWindow.Seconds() + aContract.mBurst;
  return aTolerance.mShare * contract + aTolerance.mSlack;
}

} // namespace caraway
