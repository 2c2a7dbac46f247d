// What the caller of a request that has not run is told, and when.

#include "caraway/refusal/not_run.h"

#include <algorithm>

namespace caraway {

namespace {

// Share of its time for which a request waits whose caller returns. Callers
// honour a Retry-After of up to a third of the rest.
constexpr int64_t kWaitNumerator = 2;
constexpr int64_t kWaitDenominator = 3;

} // namespace

ErrorKind
KindForCaller(ErrorKind aKind, Outcome aOutcome)
{
  if (aOutcome != Outcome::eNotRun) {
    return aKind;
  }
  switch (aKind) {
    case ErrorKind::eTimeout:
      return ErrorKind::eDeadlineTooShort;
    case ErrorKind::eTargetFailed:
    case ErrorKind::eOutcomeUnknown:
      return ErrorKind::eUnavailable;
    default:
      return aKind;
  }
}

MonoTime
RefuseUnstartedAt(const UnstartedRequest& aRequest)
{
  const Duration time = aRequest.mDeadline - aRequest.mReceivedAt;
  const MonoTime useful =
    aRequest.mDeadline - std::min(aRequest.mUsualAnswer, time);
  if (!aRequest.mCallerReturns) {
    return useful;
  }
  return std::min(
    useful, aRequest.mReceivedAt + time * kWaitNumerator / kWaitDenominator);
}

} // namespace caraway
