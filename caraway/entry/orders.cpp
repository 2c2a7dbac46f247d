// Requests that control answers: operator requests, batch jobs and reports of
// targets.

#include "caraway/entry/orders.h"

#include <algorithm>

#include "caraway/base/visitor.h"
#include "caraway/entry/attempts.h"
#include "caraway/entry/auth.h"
#include "caraway/entry/config_fetch.h"
#include "caraway/entry/control_calls.h"
#include "caraway/entry/drain.h"
#include "caraway/entry/forward.h"
#include "caraway/entry/reply.h"
#include "caraway/entry/session.h"

namespace caraway {

namespace {

// Clients try another entry after 1 s without a reply, later for large bodies.
constexpr Duration kOrderTimeout = Millis(2500);
constexpr Duration kReportTimeout = Millis(900);
constexpr size_t kPartBytes = kMaxPartBytes;

OrderTopic
TopicOf(const CallBody& aBody)
{
  return std::visit(
    Visitor{
      [](const ReplacePlan&) { return OrderTopic::eReplacePlan; },
      [](const ReadPlan&) { return OrderTopic::eReadPlan; },
      [](const SetZone&) { return OrderTopic::eSetZone; },
      [](const OrderZone&) { return OrderTopic::eSetZone; },
      [](const RetireReplica&) { return OrderTopic::eRetire; },
      [](const DescribeRetirement&) { return OrderTopic::eRetirement; },
      [](const ReadFile&) { return OrderTopic::eReadResults; },
      [](const ReadItem&) { return OrderTopic::eReadItem; },
      [](const CancelJob&) { return OrderTopic::eEndJob; },
      [](const BeginRollout&) { return OrderTopic::eBeginRollout; },
      [](const DescribeRollout&) { return OrderTopic::eRollout; },
      [](const auto&) { return OrderTopic::eTargetReport; },
    },
    aBody);
}

void
ReplyTo(EntryStep& aStep,
        HttpCallId aCall,
        OrderTopic aKind,
        CallReplyBody aBody,
        Duration aRetryAfter = {})
{
  if (!aCall.IsNone()) {
    aStep.mOut.emplace_back(
      OrderReply{ aCall, aKind, std::move(aBody), aRetryAfter });
  }
}

// Longer the longer control is away, and not the same for all callers, so that
// they neither ask in vain nor all meet a new leader in one moment.
Duration
RetryAfterControl(EntryStep& aStep, Duration aAway)
{
  constexpr Duration kLeast = Seconds(1);
  constexpr Duration kMost = Seconds(2);
  constexpr int64_t kShare = 4; // of the time that control has been away
  const Duration base = std::clamp(aAway / kShare, kLeast, kMost);
  const auto spread = static_cast<uint64_t>(base.mMicros / kShare);
  return base +
         Micros(static_cast<int64_t>(DrawBelow(aStep.mEntry.mRandom, spread)));
}

// Refuses an order at once, as not done, if no leader could be reached for as
// long as an order is held. True if it did.
bool
RefuseWithoutControl(EntryStep& aStep, HttpCallId aCall, OrderTopic aKind)
{
  Entry& entry = aStep.mEntry;
  const Duration away = ControlAway(entry, aStep.mNow);
  if (away < kOrderTimeout) {
    return false;
  }
  const Duration retryAfter = RetryAfterControl(aStep, away);
  ++entry.mMetrics.mOrdersRefused;
  DecisionLog log;
  log.mLevel = LogLevel::eWarning;
  log.mEvent = "order";
  log.mChoice = "refused";
  log.mReason = "no control leader replies";
  log.mExtra = {
    { "away_ms", std::to_string(away.Millis()) },
    { "running_ms",
      std::to_string((aStep.mNow - entry.mSession.mStartedAt).Millis()) },
    { "replicas", std::to_string(entry.mSettings.mControl.size()) },
    { "said", DescribeAnswers(entry, aStep.mNow) },
    { "retry_after_ms", std::to_string(retryAfter.Millis()) }
  };
  aStep.mOut.emplace_back(std::move(log));
  ReplyTo(aStep,
          aCall,
          aKind,
          CallFailed{ ErrorKind::eUnavailable,
                      "no control leader replies; nothing was done" },
          retryAfter);
  return true;
}

CallerRequest&
NewOrder(EntryStep& aStep,
         HttpCallId aCall,
         OrderTopic aKind,
         Duration aTimeout)
{
  Entry& entry = aStep.mEntry;
  const uint64_t serial = entry.mNextSerial++;
  CallerRequest& request = entry.mRequests[serial];
  request.mSerial = serial;
  request.mId = RequestId("order-" + std::to_string(serial));
  request.mCall = aCall;
  request.mCallerGone = aCall.IsNone();
  request.mPhase = RequestPhase::eOrder;
  request.mReceivedAt = aStep.mNow;
  request.mDeadline = DeadlineBeforeStop(entry, aStep.mNow + aTimeout);
  request.mOrder.mKind = aKind;
  entry.mById[request.mId] = serial;
  if (!aCall.IsNone()) {
    entry.mByCall[aCall] = serial;
  }
  return request;
}

void
SendOrderCall(EntryStep& aStep, CallerRequest& aRequest, CallBody aBody)
{
  CallControl(aStep, aRequest, std::move(aBody));
  ScheduleRequest(aStep, aRequest);
}

// Tells a leader that does not complete orders from one that is not there.
void
AddLeaderFields(const EntryStep& aStep, std::vector<LogField>& aFields)
{
  const EntrySession& session = aStep.mEntry.mSession;
  aFields.push_back({ "leader",
                      session.mConfirmedLeader.Empty()
                        ? "none"
                        : session.mConfirmedLeader.mValue });
  if (session.mHeardAt != kLongAgo) {
    aFields.push_back(
      { "leader_heard_ms",
        std::to_string((aStep.mNow - session.mHeardAt).Millis()) });
  }
  aFields.push_back(
    { "away_ms",
      std::to_string(ControlAway(aStep.mEntry, aStep.mNow).Millis()) });
}

void
LogOrderEnd(EntryStep& aStep,
            const CallerRequest& aRequest,
            const CallReplyBody& aBody)
{
  DecisionLog log;
  log.mEvent = "order";
  log.mRequest = aRequest.mId;
  log.mWorkspace = aRequest.mWorkspace;
  const auto* failed = std::get_if<CallFailed>(&aBody);
  log.mLevel = failed != nullptr ? LogLevel::eWarning : LogLevel::eInfo;
  log.mChoice =
    failed != nullptr ? std::string(ErrorKindName(failed->mKind)) : "done";
  log.mReason = failed != nullptr ? failed->mMessage
                                  : aRequest.mOrder.mSubmit.mCreate.mJob.mValue;
  log.mExtra = {
    { "took_ms", std::to_string((aStep.mNow - aRequest.mReceivedAt).Millis()) }
  };
  if (failed != nullptr) {
    AddLeaderFields(aStep, log.mExtra);
    // Control may have decided by a newer configuration.
    for (LogField& field : CopyFields(aStep.mEntry, aStep.mNow)) {
      log.mExtra.push_back(std::move(field));
    }
  }
  aStep.mOut.emplace_back(std::move(log));
}

void
EndOrder(EntryStep& aStep, CallerRequest& aRequest, CallReplyBody aBody)
{
  if (aRequest.mOrder.mLog == OrderLog::eEnd) {
    LogOrderEnd(aStep, aRequest, aBody);
  }
  if (!aRequest.mCallerGone) {
    ReplyTo(aStep, aRequest.mCall, aRequest.mOrder.mKind, std::move(aBody));
  }
  FinishRequest(aStep, aRequest);
}

// Sends the next part of the input file or, once all of it is stored,
// SubmitJob.
void
SendNextOrderCall(EntryStep& aStep, CallerRequest& aRequest)
{
  OrderWork& work = aRequest.mOrder;
  if (work.mStored < work.mLines.size()) {
    PutFilePart part;
    part.mFile = work.mFile;
    part.mName = work.mFile.mValue;
    part.mPurpose = "batch";
    part.mOffset = work.mStored;
    part.mBytes = work.mLines.substr(work.mStored, kPartBytes);
    part.mLast = work.mStored + part.mBytes.size() == work.mLines.size();
    work.mStored += part.mBytes.size();
    SendOrderCall(aStep, aRequest, std::move(part));
    return;
  }
  work.mSubmitted = true;
  SendOrderCall(aStep, aRequest, work.mSubmit);
}

CallFailed
Failed(ErrorKind aKind, const char* aMessage)
{
  return { aKind, aMessage };
}

// Replies that the configuration does not allow the request, as Denial in
// forward.cpp.
void
Deny(EntryStep& aStep,
     HttpCallId aCall,
     OrderTopic aTopic,
     const std::string& aHost,
     const absl::Status& aReason)
{
  CallFailed failed{ KindOf(aReason), std::string(aReason.message()) };
  if (!HasValidLease(aStep.mEntry, aStep.mNow)) {
    failed = { ErrorKind::eUnavailable,
               "the configuration here may be out of date" };
  }
  DecisionLog log;
  log.mLevel = LogLevel::eWarning;
  log.mEvent = "refuse";
  log.mChoice = std::string(ErrorKindName(failed.mKind));
  log.mReason = std::string(aReason.message());
  log.mExtra = CopyFields(aStep.mEntry, aStep.mNow);
  log.mExtra.push_back({ "host", aHost });
  aStep.mOut.emplace_back(std::move(log));
  ReplyTo(aStep, aCall, aTopic, std::move(failed));
}

} // namespace

void
HandleControlOrder(EntryStep& aStep, const ControlOrder& aOrder)
{
  WorkspaceId workspace;
  if (!aOrder.mHost.empty()) {
    if (!HasConfirmedPlan(aStep.mEntry)) {
      Deny(aStep,
           aOrder.mCall,
           TopicOf(aOrder.mBody),
           aOrder.mHost,
           MakeError(ErrorKind::eUnavailable,
                     "no configuration is confirmed yet",
                     "send the request again"));
      return;
    }
    const absl::StatusOr<WorkspaceId> caller =
      WorkspaceOfKey(aStep.mEntry.mConfig, aOrder.mKey);
    if (!caller.ok()) {
      Deny(aStep,
           aOrder.mCall,
           TopicOf(aOrder.mBody),
           aOrder.mHost,
           caller.status());
      return;
    }
    workspace = *caller;
  }
  if (RefuseWithoutControl(aStep, aOrder.mCall, TopicOf(aOrder.mBody))) {
    return;
  }
  CallerRequest& request =
    NewOrder(aStep, aOrder.mCall, TopicOf(aOrder.mBody), kOrderTimeout);
  request.mWorkspace = workspace;
  CallBody body = aOrder.mBody;
  if (const auto* zone = std::get_if<SetZone>(&aOrder.mBody)) {
    body = OrderZone{ *zone, aStep.mEntry.mConfig.mRevision };
  } else if (const auto* cancel = std::get_if<CancelJob>(&aOrder.mBody)) {
    body = CancelJobByKey{ cancel->mJob, {} };
  }
  if (CallerKey* key = CallerKeyOf(body);
      key != nullptr && !aOrder.mHost.empty()) {
    *key = DigestOfKey(aOrder.mKey);
  }
  SendOrderCall(aStep, request, std::move(body));
}

void
HandleJobSubmission(EntryStep& aStep, JobSubmission aSubmission)
{
  const ConfigView& config = aStep.mEntry.mConfig;
  if (!HasConfirmedPlan(aStep.mEntry)) {
    Deny(aStep,
         aSubmission.mCall,
         OrderTopic::eSubmitJob,
         aSubmission.mHost,
         MakeError(ErrorKind::eUnavailable,
                   "no configuration is confirmed yet",
                   "send the request again"));
    return;
  }
  const absl::StatusOr<WorkspaceId> caller =
    WorkspaceOfKey(config, aSubmission.mKey);
  const PlanRoute* route =
    FindPlanRoute(*config.mPlan, aSubmission.mHost, aSubmission.mPath);
  if (route == nullptr || route->mKind != CallKind::eBatch) {
    Deny(aStep,
         aSubmission.mCall,
         OrderTopic::eSubmitJob,
         aSubmission.mHost,
         MakeError(ErrorKind::eNotFound,
                   "no batch route has this path",
                   "check the host and the path"));
    return;
  }
  if (!caller.ok()) {
    Deny(aStep,
         aSubmission.mCall,
         OrderTopic::eSubmitJob,
         aSubmission.mHost,
         caller.status());
    return;
  }
  if (RefuseWithoutControl(aStep, aSubmission.mCall, OrderTopic::eSubmitJob)) {
    return;
  }
  CallerRequest& request = NewOrder(aStep,
                                    aSubmission.mCall,
                                    OrderTopic::eSubmitJob,
                                    std::min(kOrderTimeout, route->mTimeout));
  request.mWorkspace = *caller;
  OrderWork& work = request.mOrder;
  work.mFile = FileId("file-" + aSubmission.mJob.mValue);
  work.mLines = std::move(aSubmission.mLines);
  // Control decides by its own copy what key and route allow. This one may be
  // older, as after a freeze.
  SubmitJob& submit = work.mSubmit;
  submit.mKey = DigestOfKey(aSubmission.mKey);
  submit.mHost = aSubmission.mHost;
  submit.mPath = std::move(aSubmission.mPath);
  submit.mCreate.mJob = aSubmission.mJob;
  submit.mCreate.mInput = work.mFile;
  submit.mCreate.mEndpoint = std::move(aSubmission.mHost);
  submit.mCreate.mItems = std::move(aSubmission.mItems);
  SendNextOrderCall(aStep, request);
}

void
StartReport(EntryStep& aStep,
            HttpCallId aCall,
            ReportTargets aReport,
            OrderLog aLog)
{
  CallerRequest& request =
    NewOrder(aStep, aCall, OrderTopic::eTargetReport, kReportTimeout);
  request.mOrder.mLog = aLog;
  SendOrderCall(aStep, request, std::move(aReport));
}

void
HandleOrderReply(EntryStep& aStep,
                 CallerRequest& aRequest,
                 const CallReplyBody& aBody)
{
  const bool failed = std::holds_alternative<CallFailed>(aBody);
  OrderWork& work = aRequest.mOrder;
  const bool more = !work.mFile.Empty() && !work.mSubmitted;
  if (more && !failed) {
    SendNextOrderCall(aStep, aRequest);
    return;
  }
  EndOrder(aStep, aRequest, aBody);
}

void
FailOrder(EntryStep& aStep, CallerRequest& aRequest)
{
  EndOrder(
    aStep,
    aRequest,
    aRequest.mOrder.mSubmitted
      ? Failed(ErrorKind::eOutcomeUnknown,
               "control has not confirmed the job; send the request again")
      : Failed(ErrorKind::eUnavailable,
               "control did not reply in time; send the request again"));
}

} // namespace caraway
