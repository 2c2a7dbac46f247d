#pragma once
// What the caller of a request that has not run is told, and when.
//
// Answers the load after a loss of machines: requests wait for places at
// targets that no longer answer. Their callers may send them again only after a
// refusal that promises that nothing ran, and only while they have time left.

#include "caraway/base/error.h"
#include "caraway/base/outcome.h"
#include "caraway/base/time.h"

namespace caraway {

// The kind of error that the caller is told. A kind whose status leaves open
// whether the request ran (502, 504) is replaced if it has not run.
ErrorKind
KindForCaller(ErrorKind aKind, Outcome aOutcome);

// A request of which no call may have run.
struct UnstartedRequest
{
  MonoTime mReceivedAt;
  MonoTime mDeadline;
  Duration mUsualAnswer;       // mean time of such answers, 0: not known
  bool mCallerReturns = false; // it sends the request again after a refusal
};

// The time from which on the request is refused instead of waiting for a start.
// A caller that returns needs the last third of its time for that. Another one
// waits for as long as an answer of the usual time would still come in time.
MonoTime
RefuseUnstartedAt(const UnstartedRequest& aRequest);

} // namespace caraway
