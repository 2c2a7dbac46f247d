// Acceptance of forwarded requests.

#include "caraway/entry/forward.h"

#include <algorithm>

#include "caraway/entry/admission_step.h"
#include "caraway/entry/auth.h"
#include "caraway/entry/config_fetch.h"
#include "caraway/entry/drain.h"
#include "caraway/entry/early_requests.h"
#include "caraway/entry/input_crashes.h"
#include "caraway/entry/reply.h"
#include "caraway/entry/session.h"

namespace caraway {

namespace {

// A request whose deadline is below the route's timeout by more than this is a
// caller's retry after a refusal; network delays explain only less.
constexpr Duration kRetryDeadlineMargin = Millis(30);
// Retry-After where the configuration may be out of date; other entries differ.
constexpr Duration kOutdatedRetry = Millis(100);

std::optional<CallerError>
Refusal(ErrorKind aKind, const char* aMessage)
{
  CallerError error;
  error.mKind = aKind;
  error.mMessage = aMessage;
  error.mFractionalRetryAfter = true;
  return error;
}

// Refuses what the configuration does not allow. Without a lease the copy here
// may be older than what an operator was told is in force, so that the caller
// is not told that the request is wrong.
std::optional<CallerError>
Denial(const EntryStep& aStep, ErrorKind aKind, const char* aMessage)
{
  if (HasValidLease(aStep.mEntry, aStep.mNow)) {
    return Refusal(aKind, aMessage);
  }
  std::optional<CallerError> error = Refusal(
    ErrorKind::eUnavailable, "the configuration here may be out of date");
  error->mRetryAfter = kOutdatedRetry;
  return error;
}

std::optional<CallerError>
CheckAcceptsRequests(const EntryStep& aStep)
{
  const Entry& entry = aStep.mEntry;
  if (RefusesNewWork(entry, aStep.mNow)) {
    return StoppingError();
  }
  if (entry.mRequests.size() >= entry.mSettings.mMaxActiveRequests) {
    return Refusal(ErrorKind::eOverloaded,
                   "this instance has too many requests in progress");
  }
  if (!HasConfirmedPlan(entry)) {
    return Refusal(ErrorKind::eUnavailable,
                   "no configuration is confirmed yet");
  }
  if (!entry.mSettings.mServeWithoutLease &&
      !HasValidLease(entry, aStep.mNow)) {
    return Refusal(ErrorKind::eLeaseExpired,
                   "this instance has lost contact with control");
  }
  return std::nullopt;
}

DirectCall
DirectCallFor(const PlanRoute& aRoute,
              const ForwardRequest& aRequest,
              MonoTime aReceivedAt,
              Random& aRandom)
{
  DirectCall direct;
  direct.mRoute = aRoute.mId;
  direct.mService = ChooseService(aRoute, DrawBelow(aRandom, 1U << 30));
  direct.mKind = aRoute.mKind;
  direct.mRepeatable = MayRepeat(aRoute);
  direct.mMaxAttempts = std::max<uint32_t>(1, aRoute.mMaxAttempts);
  direct.mHost = aRequest.mHost;
  direct.mResumeAfter = aRequest.mResumeAfter;
  if (!aRequest.mResumes.Empty()) {
    direct.mResumes = StreamIdOf(aRequest.mResumes);
  }
  direct.mLatencyGoal = aRoute.mLatencyGoal;
  direct.mGapGoal = aRoute.mGapGoal;
  direct.mGoalAt = aReceivedAt + aRoute.mLatencyGoal;
  direct.mIsCallerRetry =
    aRequest.mDeadline &&
    *aRequest.mDeadline + kRetryDeadlineMargin < aRoute.mTimeout;
  return direct;
}

std::string
PathWithQuery(const ForwardRequest& aRequest)
{
  return aRequest.mQuery.empty() ? aRequest.mPath
                                 : aRequest.mPath + "?" + aRequest.mQuery;
}

std::optional<CallerError>
TakeRequest(EntryStep& aStep, ForwardRequest& aHttp, MonoTime aReceivedAt)
{
  Entry& entry = aStep.mEntry;
  if (auto error = CheckAcceptsRequests(aStep)) {
    return error;
  }
  const PlanRoute* route =
    FindPlanRoute(*entry.mConfig.mPlan, aHttp.mHost, aHttp.mPath);
  if (route == nullptr) {
    return Denial(
      aStep, ErrorKind::eNotFound, "no route matches this host and path");
  }
  const bool isJob = route->mKind == CallKind::eBatch;
  CallerRequest request;
  if (isJob || (!route->mOpen && !entry.mConfig.mPlan->mWorkspaces.empty())) {
    absl::StatusOr<WorkspaceId> workspace =
      WorkspaceOfKey(entry.mConfig, aHttp.mKey);
    if (!workspace.ok()) {
      return Denial(aStep, ErrorKind::eUnauthenticated, "the key is unknown");
    }
    request.mWorkspace = *std::move(workspace);
  }
  if (isJob) {
    // Its body is decoded only for callers that are known.
    aStep.mOut.emplace_back(ReadJobBody{ std::move(aHttp) });
    return std::nullopt;
  }
  if (entry.mSettings.mPrefixLocality) {
    request.mTarget.mPrefix = HashOfParts(aHttp.mPromptParts);
    request.mTarget.mSharedTokens = aHttp.mSharedTokens;
  }
  request.mInputParts = std::move(aHttp.mPromptParts);
  std::string path = PathWithQuery(aHttp);
  request.mInputParts.push_back(WholeInput(aHttp.mMethod, path, aHttp.mBody));
  if (const InputBlock* block = FindInputBlock(
        entry.mConfig, request.mWorkspace, request.mInputParts)) {
    CallerError error;
    error.mKind = ErrorKind::eInputBlocked;
    error.mMessage = InputBlockedMessage(*block);
    return error;
  }
  const Duration timeout =
    std::min(aHttp.mDeadline.value_or(route->mTimeout), route->mTimeout);
  request.mSerial = entry.mNextSerial++;
  request.mId = aHttp.mId;
  request.mCall = aHttp.mCall;
  request.mReceivedAt = aReceivedAt;
  request.mDeadline = DeadlineBeforeStop(entry, aReceivedAt + timeout);
  request.mDirect = DirectCallFor(*route, aHttp, aReceivedAt, entry.mRandom);
  const auto& ranks = entry.mConfig.mPlanRanks;
  const auto ownRank = ranks.find(request.mWorkspace);
  request.mDirect.mRank =
    ownRank == ranks.end() ? route->mPriority : ownRank->second;
  TargetCall& call = request.mTarget;
  call.mService = request.mDirect.mService;
  call.mIdempotent = request.mDirect.mRepeatable;
  call.mMethod = std::move(aHttp.mMethod);
  call.mPath = std::move(path);
  call.mHeaders = std::move(aHttp.mHeaders);
  call.mBody = std::move(aHttp.mBody);
  call.mPromptTokens = aHttp.mPromptTokens;
  call.mOutputTokens = aHttp.mOutputTokens;
  entry.mByCall[request.mCall] = request.mSerial;
  entry.mById[request.mId] = request.mSerial;
  const uint64_t serial = request.mSerial;
  CallerRequest& accepted =
    entry.mRequests.emplace(serial, std::move(request)).first->second;
  AdmitRequest(aStep, accepted);
  return std::nullopt;
}

} // namespace

absl::StatusOr<WorkspaceId>
WorkspaceOfKey(const ConfigView& aConfig, const std::string& aKey)
{
  auto workspace = aConfig.mPlanKeys.find(DigestOfKey(aKey));
  if (aKey.empty() || workspace == aConfig.mPlanKeys.end()) {
    return MakeError(
      aConfig.mPlan ? ErrorKind::eUnauthenticated : ErrorKind::eUnavailable,
      aConfig.mPlan ? "the key is unknown" : "no configuration is known yet",
      "send a key of the workspace");
  }
  return workspace->second;
}

void
HandleForwardRequest(EntryStep& aStep, ForwardRequest aRequest)
{
  ++aStep.mEntry.mMetrics.mRequests;
  if (!HoldEarlyRequest(aStep, aRequest)) {
    ProcessForwardRequest(aStep, std::move(aRequest), aStep.mNow);
  }
}

void
ProcessForwardRequest(EntryStep& aStep,
                      ForwardRequest aRequest,
                      MonoTime aReceivedAt)
{
  const HttpCallId call = aRequest.mCall;
  const RequestId id = aRequest.mId;
  if (auto error = TakeRequest(aStep, aRequest, aReceivedAt)) {
    DecisionLog log;
    log.mLevel = LogLevel::eWarning;
    log.mEvent = "refuse";
    log.mRequest = id;
    log.mChoice = std::string(ErrorKindName(error->mKind));
    log.mReason = error->mMessage;
    log.mExtra = CopyFields(aStep.mEntry, aStep.mNow);
    log.mExtra.push_back({ "host", aRequest.mHost });
    log.mExtra.push_back({ "path", aRequest.mPath });
    aStep.mOut.emplace_back(std::move(log));
    RefuseHttpCall(aStep, call, *error);
  }
}

bool
NeedsToken(const Entry& aEntry, const CallerRequest& aRequest)
{
  if (!IsDirect(aRequest.mDirect)) {
    return !aRequest.mKey.Empty();
  }
  auto contract = aEntry.mConfig.mContracts.find(aRequest.mWorkspace);
  return contract != aEntry.mConfig.mContracts.end() &&
         contract->second.mRate > 0;
}

bool
IsReady(const Entry& aEntry, MonoTime aNow)
{
  if (aEntry.mDrain.mSince != kNever) {
    return false;
  }
  return HasValidLease(aEntry, aNow) ||
         (aEntry.mSettings.mServeWithoutLease && HasConfirmedPlan(aEntry));
}

} // namespace caraway
