#pragma once
// Errors as callers see them.

#include <string>

#include "caraway/base/error.h"
#include "caraway/base/http.h"
#include "caraway/base/outcome.h"
#include "caraway/base/time.h"

namespace caraway {

struct CallerError
{
  ErrorKind mKind = ErrorKind::eUnavailable;
  std::string mMessage; // what went wrong, without secrets
  std::string mRemedy;  // empty: the usual one of the kind
  Outcome mOutcome = Outcome::eNotRun;
  Duration mRetryAfter; // 0: no Retry-After, unless the kind always has one
  int mStatus = 0;      // 0: the usual one of the kind
  bool mFractionalRetryAfter = false; // Retry-After with milliseconds, for
                                      // callers that read fractions
};

int
HttpStatusOf(ErrorKind aKind);

// {"error":{"message","type","code","outcome","remedy"}}
std::string
ErrorBody(const CallerError& aError);

// Content type, and Retry-After in whole seconds (at least 1) where it helps.
Headers
ErrorHeaders(const CallerError& aError);

// One SSE event that carries the error.
std::string
ErrorEvent(const CallerError& aError);

} // namespace caraway
