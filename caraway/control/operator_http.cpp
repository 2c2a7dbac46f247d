// Entry point of the operators' HTTP API: paths without authentication, and the
// checks of the token and the leader.

#include "caraway/control/operator_http.h"

#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "caraway/base/absl_view.h"
#include "caraway/control/control.h"
#include "caraway/control/key_secret.h"

namespace caraway {

namespace {

constexpr std::string_view kBearer = "Bearer ";

int
HttpStatusOf(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::eInvalidArgument:
      return 400;
    case ErrorKind::eUnauthenticated:
      return 401;
    case ErrorKind::eNotPermitted:
      return 403;
    case ErrorKind::eNotFound:
      return 404;
    case ErrorKind::eRevisionConflict:
    case ErrorKind::eConflict:
      return 409;
    case ErrorKind::eTooLarge:
      return 413;
    case ErrorKind::eNotLeader:
      return 421;
    default:
      return 503;
  }
}

bool
IsOperator(const ControlStep& aStep, const HttpRequest& aRequest)
{
  const std::string value = HeaderValue(aRequest.mHeaders, "Authorization");
  if (value.compare(0, kBearer.size(), kBearer) != 0) {
    return false;
  }
  return TokenMatches(std::string_view(value).substr(kBearer.size()),
                      aStep.mControl.mSettings.mOperatorTokenDigest);
}

// Serves paths that need no token. False if the request is for another path.
bool
HandleOpenPath(ControlStep& aStep, const HttpRequest& aRequest)
{
  Control& control = aStep.mControl;
  if (aRequest.mMethod != "GET") {
    return false;
  }
  if (aRequest.mPath == "/healthz") {
    ReplyJson(aStep,
              aRequest.mCall,
              control.mHalted ? 503 : 200,
              control.mHalted ? R"({"status":"halted"})"
                              : R"({"status":"ok"})");
    return true;
  }
  if (aRequest.mPath == "/readyz") {
    const bool ready = !control.mStopping && !control.mHalted &&
                       !LeaderOf(control.mRaft).IsNone();
    ReplyJson(aStep,
              aRequest.mCall,
              ready ? 200 : 503,
              ready ? R"({"ready":true})" : R"({"ready":false})");
    return true;
  }
  if (aRequest.mPath == "/metrics") {
    aStep.mOut.emplace_back(
      HttpResponse{ aRequest.mCall,
                    200,
                    { { "Content-Type", "text/plain; version=0.0.4" } },
                    MetricsText(control, aStep.mNow) });
    return true;
  }
  return false;
}

// Returns why this replica cannot serve operators, if it cannot.
std::optional<HttpFailure>
CheckServing(const ControlStep& aStep)
{
  if (MayServe(aStep)) {
    return std::nullopt;
  }
  const Control& control = aStep.mControl;
  HttpFailure failure;
  if (!IsLeader(control.mRaft)) {
    failure.mKind = ErrorKind::eNotLeader;
    failure.mWhat = "this replica is not the leader";
    failure.mRemedy = "send the request to the leader";
    failure.mLeader = LeaderAddress(control);
    return failure;
  }
  failure.mKind = ErrorKind::eUnavailable;
  failure.mWhat = control.mStopping
                    ? "this replica is stopping"
                    : "this replica cannot reach a majority of the voters";
  failure.mRemedy = "try again in a second, or at another replica";
  return failure;
}

// Serves the request or returns why it is refused.
std::optional<HttpFailure>
ServeOperator(ControlStep& aStep, const HttpRequest& aRequest)
{
  HttpFailure failure;
  if (!absl::StartsWith(aRequest.mPath, "/admin/")) {
    failure.mKind = ErrorKind::eNotFound;
    failure.mWhat = "there is no such path";
    failure.mRemedy = "see the operator API in the documentation";
    return failure;
  }
  if (!IsOperator(aStep, aRequest)) {
    failure.mKind = ErrorKind::eUnauthenticated;
    failure.mWhat = "the operator token is missing or wrong";
    failure.mRemedy = "send Authorization: Bearer with the operator token";
    return failure;
  }
  if (auto unavailable = CheckServing(aStep)) {
    return unavailable;
  }
  OperatorCall call{ aRequest,
                     absl::StrSplit(AbslView(aRequest.mPath).substr(7), '/') };
  const bool handled = aRequest.mMethod == "GET"
                         ? HandleOperatorRead(aStep, call)
                         : HandleOperatorWrite(aStep, call);
  if (handled) {
    return std::nullopt;
  }
  failure.mKind = ErrorKind::eNotFound;
  failure.mWhat = "there is no such path and method";
  failure.mRemedy = "see the operator API in the documentation";
  return failure;
}

} // namespace

void
HandleHttp(ControlStep& aStep, const HttpRequest& aRequest)
{
  if (HandleOpenPath(aStep, aRequest)) {
    return;
  }
  if (auto failure = ServeOperator(aStep, aRequest)) {
    ReplyFailure(aStep, aRequest.mCall, *failure);
  }
}

void
ReplyJson(ControlStep& aStep, HttpCallId aCall, int aStatus, std::string aBody)
{
  aStep.mOut.emplace_back(
    HttpResponse{ aCall,
                  aStatus,
                  { { "Content-Type", "application/json" } },
                  std::move(aBody) });
}

void
ReplyFailure(ControlStep& aStep, HttpCallId aCall, const HttpFailure& aFailure)
{
  const int status = HttpStatusOf(aFailure.mKind);
  nlohmann::json error;
  error["message"] = aFailure.mWhat;
  error["type"] = status < 500 ? "invalid_request" : "unavailable";
  error["code"] = std::string(ErrorKindName(aFailure.mKind));
  error["outcome"] = std::string(OutcomeName(aFailure.mOutcome));
  error["remedy"] = aFailure.mRemedy;
  nlohmann::json body;
  body["error"] = std::move(error);
  if (aFailure.mRevision) {
    body["revision"] = aFailure.mRevision->mValue;
  }
  if (aFailure.mLeader) {
    body["leader"] = aFailure.mLeader->mValue;
  }
  // The message may quote the request, which need not be valid UTF-8.
  ReplyJson(
    aStep,
    aCall,
    status,
    body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

HttpFailure
FailureFrom(const absl::Status& aStatus)
{
  HttpFailure failure;
  failure.mKind = KindOf(aStatus);
  const std::string message(StdView(aStatus.message()));
  const size_t cut = message.rfind("; ");
  failure.mWhat = message.substr(0, cut);
  failure.mRemedy = cut == std::string::npos ? "" : message.substr(cut + 2);
  return failure;
}

std::string
QueryValue(const std::string& aQuery, const std::string& aName)
{
  for (absl::string_view part : absl::StrSplit(aQuery, '&')) {
    const std::pair<std::string, std::string> pair =
      absl::StrSplit(part, absl::MaxSplits('=', 1));
    if (pair.first == aName) {
      return pair.second;
    }
  }
  return {};
}

} // namespace caraway
