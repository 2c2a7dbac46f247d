// Handles HTTP requests of callers.

#include "caraway/entry/caller_http.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "caraway/entry/admission_step.h"
#include "caraway/entry/api_paths.h"
#include "caraway/entry/auth.h"
#include "caraway/entry/completion_request.h"
#include "caraway/entry/control_calls.h"
#include "caraway/entry/control_request.h"
#include "caraway/entry/drain.h"
#include "caraway/entry/early_requests.h"
#include "caraway/entry/entry.h"
#include "caraway/entry/forward.h"
#include "caraway/entry/header_filter.h"
#include "caraway/entry/object_json.h"
#include "caraway/entry/outcome.h"
#include "caraway/entry/reply.h"
#include "caraway/entry/session.h"
#include "caraway/entry/upload_id.h"
#include "caraway/entry/where.h"
#include "caraway/routing/hash.h"

namespace caraway {

namespace {

// A Dispatch with its headers must fit into one frame of 1 MiB.
constexpr size_t kMaxDispatchBody = 900 * 1024;
constexpr size_t kMaxHeaderBytes = 64 * 1024;
constexpr size_t kMaxPathBytes = 8 * 1024;
constexpr size_t kMaxKeyBytes = 256;
constexpr uint32_t kMaxDeadlineMillis = 3600 * 1000;

// What the path of a request refers to: the caller API, or a route to a plain
// service.
struct PathMatch
{
  ApiMatch mApi;
  const Route* mRoute = nullptr; // nullptr for the caller API
};

// Splits the message of a status, "message; remedy", into its two parts.
CallerError
ErrorOf(const absl::Status& aStatus)
{
  CallerError error;
  error.mKind = KindOf(aStatus);
  const std::string text(aStatus.message());
  const size_t split = text.find("; ");
  error.mMessage = text.substr(0, split);
  if (split != std::string::npos) {
    error.mRemedy = text.substr(split + 2);
  }
  return error;
}

CallerError
MakeCallerError(ErrorKind aKind, std::string aMessage, std::string aRemedy = {})
{
  CallerError error;
  error.mKind = aKind;
  error.mMessage = std::move(aMessage);
  error.mRemedy = std::move(aRemedy);
  return error;
}

// Serves health checks and metrics, which need no key and are available at all
// times. Returns false for other requests.
bool
ServeHealth(EntryStep& aStep, const HttpRequest& aHttp)
{
  const Headers text{ { "Content-Type", "text/plain; charset=utf-8" } };
  if (aHttp.mMethod != "GET") {
    return false;
  }
  if (aHttp.mPath == "/healthz") {
    ReplyToHttpCall(aStep, aHttp.mCall, 200, text, "ok\n");
    return true;
  }
  if (aHttp.mPath == "/readyz") {
    const bool draining = aStep.mEntry.mDrain.mSince != kNever;
    const bool ready = IsReady(aStep.mEntry, aStep.mNow);
    const char* body = ready      ? "ready\n"
                       : draining ? "draining\n"
                                  : "no configuration lease\n";
    ReplyToHttpCall(aStep, aHttp.mCall, ready ? 200 : 503, text, body);
    return true;
  }
  if (aHttp.mPath == "/metrics") {
    ReplyToHttpCall(aStep,
                    aHttp.mCall,
                    200,
                    { { "Content-Type", "text/plain; version=0.0.4" } },
                    MetricsText(aStep.mEntry, aStep.mNow));
    return true;
  }
  return false;
}

std::optional<CallerError>
CheckLimits(const EntryStep& aStep, const HttpRequest& aHttp)
{
  const Entry& entry = aStep.mEntry;
  size_t headerBytes = 0;
  for (const auto& [name, value] : aHttp.mHeaders) {
    headerBytes += name.size() + value.size();
  }
  if (headerBytes > kMaxHeaderBytes ||
      aHttp.mPath.size() + aHttp.mQuery.size() > kMaxPathBytes) {
    CallerError error = MakeCallerError(ErrorKind::eTooLarge,
                                        "the headers or the path are too long",
                                        "shorten them");
    error.mStatus = 431;
    return error;
  }
  if (!IsPlainPath(aHttp.mPath)) {
    return MakeCallerError(ErrorKind::eInvalidArgument,
                           "the path has dot segments or encoded slashes",
                           "send the plain path");
  }
  if (RefusesNewWork(entry, aStep.mNow)) {
    return MakeCallerError(ErrorKind::eDraining, "this instance is leaving");
  }
  if (entry.mRequests.size() >= entry.mSettings.mMaxActiveRequests) {
    return MakeCallerError(ErrorKind::eOverloaded,
                           "this instance has too many requests in progress");
  }
  return std::nullopt;
}

std::optional<CallerError>
ReadDeadline(const HttpRequest& aHttp, Duration& aOut)
{
  const std::string text = HeaderValue(aHttp.mHeaders, "X-Deadline-Ms");
  if (text.empty()) {
    return std::nullopt;
  }
  uint32_t millis = 0;
  if (!absl::SimpleAtoi(text, &millis) || millis == 0 ||
      millis > kMaxDeadlineMillis) {
    return MakeCallerError(
      ErrorKind::eInvalidArgument,
      "X-Deadline-Ms is not a number of milliseconds from 1 to 3600000",
      "correct the header or leave it out");
  }
  aOut = Millis(millis);
  return std::nullopt;
}

template<class Id>
bool
Contains(const std::vector<Id>& aList, const Id& aId)
{
  return std::find(aList.begin(), aList.end(), aId) != aList.end();
}

void
FillTargetCall(const HttpRequest& aHttp, TargetCall& aCall)
{
  aCall.mMethod = aHttp.mMethod;
  aCall.mPath =
    aHttp.mQuery.empty() ? aHttp.mPath : aHttp.mPath + "?" + aHttp.mQuery;
  aCall.mHeaders = HeadersForTarget(aHttp.mHeaders);
  aCall.mBody = aHttp.mBody;
}

std::optional<CallerError>
CheckBodySize(const HttpRequest& aHttp)
{
  if (aHttp.mBody.size() > kMaxDispatchBody) {
    return MakeCallerError(ErrorKind::eTooLarge,
                           "the body is larger than 900 KiB",
                           "send less in one request");
  }
  return std::nullopt;
}

std::optional<CallerError>
FillCompletion(const HttpRequest& aHttp,
               ApiKind aKind,
               const Contract& aContract,
               TargetCall& aCall)
{
  const CompletionKind kind =
    aKind == ApiKind::eChat ? CompletionKind::eChat : CompletionKind::eText;
  if (absl::Status status = ReadCompletion(kind, aHttp.mBody, aCall);
      !status.ok()) {
    return ErrorOf(status);
  }
  if (!Contains(aContract.mModels, aCall.mModel)) {
    return MakeCallerError(ErrorKind::eNotPermitted,
                           "the contract does not allow this model",
                           "use a model that GET /v1/models lists");
  }
  // A completion has no side effects.
  aCall.mIdempotent = true;
  FillTargetCall(aHttp, aCall);
  return std::nullopt;
}

std::optional<CallerError>
FillService(const HttpRequest& aHttp,
            const Route& aRoute,
            const Contract* aContract,
            CallerRequest& aRequest)
{
  if (aContract != nullptr && !Contains(aContract->mRoutes, aRoute.mId)) {
    return MakeCallerError(ErrorKind::eNotPermitted,
                           "the contract does not allow this route");
  }
  const std::string key = HeaderValue(aHttp.mHeaders, "Idempotency-Key");
  if (!aRoute.mIdempotent && !key.empty()) {
    if (key.size() > kMaxKeyBytes) {
      return MakeCallerError(ErrorKind::eInvalidArgument,
                             "Idempotency-Key is longer than 256 bytes",
                             "use a shorter key");
    }
    if (aContract == nullptr) {
      // Callers of open routes are anonymous, so one could read the stored
      // response of another.
      return MakeCallerError(ErrorKind::eInvalidArgument,
                             "Idempotency-Key is not supported on open routes",
                             "leave the header out");
    }
    aRequest.mClaimKey = IdempotencyKey(key);
  }
  aRequest.mTarget.mService = aRoute.mService;
  aRequest.mTarget.mIdempotent = aRoute.mIdempotent;
  FillTargetCall(aHttp, aRequest.mTarget);
  aRequest.mFingerprint =
    Fingerprint(aHttp.mMethod, aRequest.mTarget.mPath, aRequest.mTarget.mBody);
  return std::nullopt;
}

std::optional<CallerError>
FillControl(EntryStep& aStep,
            const ApiMatch& aApi,
            const HttpRequest& aHttp,
            const Contract& aContract,
            ControlWork& aWork)
{
  const absl::Status status =
    ReadControlRequest(aApi, aHttp, aContract, aStep.mEntry.mRandom, aWork);
  return status.ok() ? std::nullopt : std::optional(ErrorOf(status));
}

std::optional<CallerError>
FillRequest(EntryStep& aStep,
            const PathMatch& aPathMatch,
            const HttpRequest& aHttp,
            const Contract* aContract,
            CallerRequest& aRequest)
{
  if (aPathMatch.mApi.mKind == ApiKind::eControl) {
    return FillControl(
      aStep, aPathMatch.mApi, aHttp, *aContract, aRequest.mControl);
  }
  if (auto error = CheckBodySize(aHttp)) {
    return error;
  }
  if (aPathMatch.mRoute != nullptr) {
    return FillService(aHttp, *aPathMatch.mRoute, aContract, aRequest);
  }
  return FillCompletion(
    aHttp, aPathMatch.mApi.mKind, *aContract, aRequest.mTarget);
}

std::optional<CallerError>
MatchRequestPath(const Entry& aEntry, const HttpRequest& aHttp, PathMatch& aOut)
{
  aOut.mApi = MatchApi(aHttp.mMethod, aHttp.mPath);
  if (aOut.mApi.mMethodNotAllowed) {
    CallerError error = MakeCallerError(ErrorKind::eInvalidArgument,
                                        "the path does not support this method",
                                        "check the method");
    error.mStatus = 405;
    return error;
  }
  if (aOut.mApi.mKind != ApiKind::eNone) {
    return std::nullopt;
  }
  aOut.mRoute = MatchRoute(aEntry.mConfig, aHttp.mMethod, aHttp.mPath);
  if (aOut.mRoute == nullptr) {
    return MakeCallerError(
      ErrorKind::eNotFound, "there is no such path", "check the path");
  }
  return std::nullopt;
}

void
ServeModels(EntryStep& aStep,
            const HttpRequest& aHttp,
            const ApiMatch& aApi,
            const Contract& aContract)
{
  const Headers json{ { "Content-Type", "application/json" } };
  if (aApi.mKind == ApiKind::eModelList) {
    ReplyToHttpCall(
      aStep, aHttp.mCall, 200, json, ModelListJson(aContract.mModels));
    return;
  }
  const ModelId model(aApi.mId);
  if (!Contains(aContract.mModels, model)) {
    RefuseHttpCall(
      aStep,
      aHttp.mCall,
      MakeCallerError(ErrorKind::eNotFound, "there is no such model"));
    return;
  }
  ReplyToHttpCall(aStep, aHttp.mCall, 200, json, ModelJson(model));
}

// Registers the request under a new serial number and id, and starts its
// admission.
void
Accept(EntryStep& aStep, CallerRequest aRequest)
{
  Entry& entry = aStep.mEntry;
  const uint64_t serial = entry.mNextSerial++;
  aRequest.mSerial = serial;
  aRequest.mId = NewRequestId(entry.mRandom);
  aRequest.mReceivedAt = aStep.mNow;
  entry.mByCall[aRequest.mCall] = serial;
  entry.mById[aRequest.mId] = serial;
  CallerRequest& accepted =
    entry.mRequests.emplace(serial, std::move(aRequest)).first->second;
  AdmitRequest(aStep, accepted);
}

// Validates a request and accepts it or, for model lists, serves it. Returns
// the error if the request is refused.
std::optional<CallerError>
ProcessRequest(EntryStep& aStep, const HttpRequest& aHttp)
{
  Entry& entry = aStep.mEntry;
  PathMatch pathMatch;
  CallerRequest request;
  Caller caller;
  Duration deadline = entry.mSettings.mDefaultDeadline;
  if (auto error = CheckLimits(aStep, aHttp)) {
    return error;
  }
  if (auto error = MatchRequestPath(entry, aHttp, pathMatch)) {
    return error;
  }
  if (pathMatch.mRoute == nullptr || !pathMatch.mRoute->mOpen) {
    if (!HasValidLease(entry, aStep.mNow)) {
      return MakeCallerError(ErrorKind::eLeaseExpired,
                             "this instance has lost contact with control");
    }
    absl::StatusOr<Caller> found =
      Authenticate(entry.mConfig, HeaderValue(aHttp.mHeaders, "Authorization"));
    if (!found.ok()) {
      return ErrorOf(found.status());
    }
    caller = *found;
    request.mKey = caller.mKey;
    request.mWorkspace = caller.mContract->mWorkspace;
  }
  if (pathMatch.mApi.mKind == ApiKind::eModelList ||
      pathMatch.mApi.mKind == ApiKind::eModel) {
    ServeModels(aStep, aHttp, pathMatch.mApi, *caller.mContract);
    return std::nullopt;
  }
  if (auto error = ReadDeadline(aHttp, deadline)) {
    return error;
  }
  request.mCall = aHttp.mCall;
  request.mDeadline = DeadlineBeforeStop(aStep.mEntry, aStep.mNow + deadline);
  if (auto error =
        FillRequest(aStep, pathMatch, aHttp, caller.mContract, request)) {
    return error;
  }
  Accept(aStep, std::move(request));
  return std::nullopt;
}

} // namespace

void
HandleHttpRequest(EntryStep& aStep, const HttpRequest& aHttp)
{
  ++aStep.mEntry.mMetrics.mRequests;
  if (ServeHealth(aStep, aHttp) || ServeWhere(aStep, aHttp)) {
    return;
  }
  if (auto error = ProcessRequest(aStep, aHttp)) {
    RefuseHttpCall(aStep, aHttp.mCall, *error);
  }
}

void
HandleHttpClosed(EntryStep& aStep, HttpCallId aCall)
{
  Entry& entry = aStep.mEntry;
  auto serial = entry.mByCall.find(aCall);
  if (serial == entry.mByCall.end()) {
    DropEarlyRequest(entry, aCall);
    return;
  }
  CallerRequest& request = entry.mRequests.at(serial->second);
  entry.mByCall.erase(serial);
  request.mCallerGone = true;
  switch (request.mPhase) {
    case RequestPhase::eRunning:
      if (request.mTarget.mIdempotent) {
        EndAttempts(aStep, request, true);
        FinishRequest(aStep, request);
      }
      break;
    case RequestPhase::eCompleting:
    case RequestPhase::eDone:
      break;
    case RequestPhase::eOrder:
      FinishRequest(aStep, request);
      break;
    case RequestPhase::eControl:
      if (request.mControl.mStep == ControlStep::eCreateFile) {
        // The caller never received the id of the incomplete file.
        CallControlInBackground(
          aStep, request.mWorkspace, DeleteFile{ request.mControl.mFile });
      }
      FinishRequest(aStep, request);
      break;
    default: // nothing was sent yet: releases the claim and returns the token
      FailRequest(aStep,
                  request,
                  MakeCallerError(ErrorKind::eTimeout,
                                  "the caller closed the connection"));
      break;
  }
}

void
FailRequestsOfWithdrawnKeys(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  for (auto& [serial, request] : entry.mRequests) {
    if (request.mKey.Empty() || request.mPhase == RequestPhase::eDone ||
        request.mPhase == RequestPhase::eCompleting ||
        IsKeyValid(entry.mConfig, request.mKey)) {
      continue;
    }
    FailRequest(aStep,
                request,
                MakeCallerError(ErrorKind::eWithdrawn,
                                "the key was withdrawn while the request ran"),
                true);
  }
}

} // namespace caraway
