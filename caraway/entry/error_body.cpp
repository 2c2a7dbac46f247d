// Formats errors as responses to callers.

#include "caraway/entry/error_body.h"

#include <algorithm>
#include <string_view>

#include <nlohmann/json.hpp>

#include "absl/strings/str_format.h"

namespace caraway {

namespace {

constexpr Duration kDefaultRetryAfter = Seconds(1);

// How an error kind is presented to callers.
struct KindText
{
  ErrorKind mKind;
  int mStatus;
  std::string_view mType;
  std::string_view mRemedy;
};

constexpr std::string_view kRequestType = "invalid_request_error";
constexpr std::string_view kServerType = "server_error";

constexpr KindText kKinds[] = {
  { ErrorKind::eUnauthenticated,
    401,
    "authentication_error",
    "send a valid key as 'Authorization: Bearer ck_...'" },
  { ErrorKind::eNotPermitted,
    403,
    "permission_error",
    "ask the operator to add it to the contract" },
  { ErrorKind::eRateLimited,
    429,
    "rate_limit_error",
    "send the request again after Retry-After" },
  { ErrorKind::eOverloaded,
    503,
    kServerType,
    "send the request again after Retry-After" },
  { ErrorKind::eDeadlineTooShort,
    503,
    kServerType,
    "allow a longer deadline or send the request again after Retry-After" },
  { ErrorKind::eZoneOut,
    503,
    kServerType,
    "send the request again after Retry-After" },
  { ErrorKind::eLeaseExpired,
    503,
    kServerType,
    "send the request again to another instance" },
  { ErrorKind::eNotFound, 404, kRequestType, "check the id" },
  { ErrorKind::eConflict,
    409,
    kRequestType,
    "read the current state, then decide whether to retry" },
  { ErrorKind::eInvalidArgument, 400, kRequestType, "correct the request" },
  { ErrorKind::eTooLarge, 413, kRequestType, "send less in one request" },
  { ErrorKind::eInProgress,
    409,
    kRequestType,
    "wait for the first request with this key to end" },
  { ErrorKind::eOutcomeUnknown,
    502,
    kServerType,
    "check whether the request took effect before sending it again" },
  { ErrorKind::eWithdrawn,
    403,
    "permission_error",
    "ask the operator for a new key" },
  { ErrorKind::eDraining,
    503,
    kServerType,
    "send the request again to another instance" },
  { ErrorKind::eTargetFailed,
    502,
    kServerType,
    "check whether the request took effect before sending it again" },
  { ErrorKind::eInputBlocked,
    400,
    kRequestType,
    "do not send this input again; change it, or ask the operator to lift the "
    "block" },
  { ErrorKind::eTimeout,
    504,
    kServerType,
    "allow a longer deadline in X-Deadline-Ms" },
};

KindText
TextOf(ErrorKind aKind)
{
  for (const KindText& text : kKinds) {
    if (text.mKind == aKind) {
      return text;
    }
  }
  return {
    aKind, 503, kServerType, "send the request again after Retry-After"
  };
}

} // namespace

int
HttpStatusOf(ErrorKind aKind)
{
  return TextOf(aKind).mStatus;
}

std::string
ErrorBody(const CallerError& aError)
{
  const KindText text = TextOf(aError.mKind);
  // A call that ran has an error body only if its response was lost. The caller
  // must treat its outcome as unknown.
  const Outcome outcome =
    aError.mOutcome == Outcome::eNotRun ? Outcome::eNotRun : Outcome::eUnknown;
  nlohmann::json error;
  error["message"] = aError.mMessage;
  error["type"] = std::string(text.mType);
  error["code"] = std::string(ErrorKindName(aError.mKind));
  error["outcome"] = std::string(OutcomeName(outcome));
  error["remedy"] =
    aError.mRemedy.empty() ? std::string(text.mRemedy) : aError.mRemedy;
  nlohmann::json body;
  body["error"] = std::move(error);
  // Messages may quote input of the caller, which may be invalid UTF-8.
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Headers
ErrorHeaders(const CallerError& aError)
{
  Headers headers{ { "Content-Type", "application/json" } };
  const int status =
    aError.mStatus != 0 ? aError.mStatus : HttpStatusOf(aError.mKind);
  const bool mayRetry =
    (status == 429 || status == 503) && aError.mRetryAfter >= Duration{};
  if (mayRetry || aError.mRetryAfter > Duration{}) {
    const Duration wait =
      aError.mRetryAfter > Duration{} ? aError.mRetryAfter : kDefaultRetryAfter;
    const int64_t seconds = (wait.mMicros + 999999) / 1000000;
    headers.emplace_back("Retry-After",
                         aError.mFractionalRetryAfter
                           ? absl::StrFormat("%.3f", wait.Seconds())
                           : std::to_string(seconds));
  }
  if (status == 401) {
    headers.emplace_back("WWW-Authenticate", "Bearer");
  }
  return headers;
}

std::string
ErrorEvent(const CallerError& aError)
{
  return "event: error\ndata: " + ErrorBody(aError) + "\n\n";
}

} // namespace caraway
