#pragma once
// Formats errors as responses to callers.

#include <string>

#include "caraway/base/error.h"
#include "caraway/base/http.h"
#include "caraway/base/outcome.h"
#include "caraway/base/time.h"

namespace caraway {

struct CallerError
{
  ErrorKind mKind = ErrorKind::eUnavailable;
  std::string mMessage; // what went wrong; must not contain secrets
  std::string mRemedy;  // what to do; empty: the default of the kind
  Outcome mOutcome = Outcome::eNotRun;
  // 0: the default, which is 1 s with status 429 or 503, else no header.
  Duration mRetryAfter; // negative: another attempt cannot help
  int mStatus = 0;      // HTTP status; 0: the default of the kind
  // Retry-After with milliseconds, for callers that parse fractions.
  bool mFractionalRetryAfter = false;
};

int
HttpStatusOf(ErrorKind aKind);

// JSON body: {"error":{"message","type","code","outcome","remedy"}}
std::string
ErrorBody(const CallerError& aError);

// Content-Type; Retry-After, rounded up to whole seconds unless
// mFractionalRetryAfter is set, if the caller may retry; WWW-Authenticate with
// status 401.
Headers
ErrorHeaders(const CallerError& aError);

// The error as one server-sent event, for responses that stream already.
std::string
ErrorEvent(const CallerError& aError);

} // namespace caraway
