// One step of the entry: handles the event, then everything that is due.

#include "caraway/entry/entry.h"

#include <algorithm>

#include "caraway/admission/token_holder.h"
#include "caraway/entry/admission_step.h"
#include "caraway/entry/attempts.h"
#include "caraway/entry/caller_http.h"
#include "caraway/entry/claims.h"
#include "caraway/entry/config_fetch.h"
#include "caraway/entry/control_calls.h"
#include "caraway/entry/direct.h"
#include "caraway/entry/drain.h"
#include "caraway/entry/early_requests.h"
#include "caraway/entry/forward.h"
#include "caraway/entry/input_crashes.h"
#include "caraway/entry/loans.h"
#include "caraway/entry/orders.h"
#include "caraway/entry/outcome.h"
#include "caraway/entry/relay.h"
#include "caraway/entry/replica_discovery.h"
#include "caraway/entry/reply.h"
#include "caraway/entry/resumed_streams.h"
#include "caraway/entry/rollouts.h"
#include "caraway/entry/session.h"
#include "caraway/entry/start_times.h"
#include "caraway/entry/target_reports.h"
#include "caraway/entry/targets.h"
#include "caraway/entry/where.h"
#include "caraway/routing/hash.h"

namespace caraway {

namespace {

bool
ChangesTopology(const ConfigDelta& aDelta)
{
  return std::any_of(
    aDelta.mChanges.begin(),
    aDelta.mChanges.end(),
    [](const RevisedChange& aChange) {
      return std::holds_alternative<SetMember>(aChange.mChange) ||
             std::holds_alternative<RemoveMember>(aChange.mChange) ||
             std::holds_alternative<SetZoneService>(aChange.mChange) ||
             std::holds_alternative<SetTargetService>(aChange.mChange) ||
             std::holds_alternative<SetTarget>(aChange.mChange) ||
             std::holds_alternative<RemoveTarget>(aChange.mChange) ||
             std::holds_alternative<ForgetVersion>(aChange.mChange);
    });
}

bool
ChangesPlan(const ConfigDelta& aDelta)
{
  return std::any_of(aDelta.mChanges.begin(),
                     aDelta.mChanges.end(),
                     [](const RevisedChange& aChange) {
                       return std::holds_alternative<SetPlan>(aChange.mChange);
                     });
}

void
ConfigApplied(EntryStep& aStep, bool aTopology, bool aPlan)
{
  const ConfigView& view = aStep.mEntry.mConfig;
  DecisionLog log;
  log.mEvent = "config";
  log.mChoice = "applied";
  log.mReason = aTopology ? "members, targets or zones" : "contracts or routes";
  log.mExtra = CopyFields(aStep.mEntry, aStep.mNow);
  log.mExtra.push_back({ "targets", std::to_string(view.mTargets.size()) });
  aStep.mOut.emplace_back(std::move(log));
  FailRequestsOfWithdrawnKeys(aStep);
  FailBlockedRequests(aStep);
  if (aTopology) {
    TopologyChanged(aStep);
    AttemptsTopologyChanged(aStep);
  }
  if (aPlan) {
    ForgetAnswerTimes(aStep.mEntry);
  }
  VersionsChanged(aStep);
  RolloutsChanged(aStep);
  RenewNow(aStep);
  ProcessEarlyRequests(aStep);
}

void
HandleLoadReport(EntryStep& aStep, const LoadReport& aReport)
{
  RecordDirectLoad(aStep, aReport);
  RecordNodeLoad(aStep,
                 aReport.mNode,
                 aReport.mNodeEpoch,
                 { aReport.mRunning, aReport.mQueued, aReport.mLimit });
}

// Message types not listed here are not meant for entries and are ignored.
void
HandleMessage(EntryStep& aStep, const MessageReceived& aEvent)
{
  const PeerAddress& from = aEvent.mFrom;
  const Message& message = aEvent.mMessage;
  if (const auto* part = std::get_if<AnswerPart>(&message)) {
    HandleAnswerPart(aStep, *part);
  } else if (const auto* refusal = std::get_if<Refusal>(&message)) {
    HandleRefusal(aStep, *refusal);
  } else if (const auto* outcome = std::get_if<OutcomeReply>(&message)) {
    HandleOutcomeReply(aStep, *outcome);
  } else if (const auto* report = std::get_if<LoadReport>(&message)) {
    HandleLoadReport(aStep, *report);
  } else if (const auto* grant = std::get_if<GrantReply>(&message)) {
    HandleGrantReply(aStep.mEntry.mTokens, aStep.mNow, *grant);
    RetryWaitingForGrant(aStep);
  } else if (const auto* ask = std::get_if<LoanRequest>(&message)) {
    HandleLoanRequest(aStep, from, *ask);
  } else if (const auto* loan = std::get_if<LoanReply>(&message)) {
    HandleLoanReply(aStep, from, *loan);
  } else if (const auto* call = std::get_if<ControlCallReply>(&message)) {
    HandleControlReply(aStep, *call);
  } else if (const auto* delta = std::get_if<ConfigDelta>(&message)) {
    if (HandleConfigDelta(aStep, from, *delta)) {
      ConfigApplied(aStep, ChangesTopology(*delta), ChangesPlan(*delta));
    }
  } else if (const auto* snapshot = std::get_if<ConfigSnapshotPart>(&message)) {
    if (HandleSnapshotPart(aStep, from, *snapshot)) {
      ConfigApplied(aStep, true, true);
    }
  } else if (const auto* registered = std::get_if<RegisterReply>(&message)) {
    HandleRegisterReply(aStep, from, *registered);
  } else if (const auto* renewed = std::get_if<RenewReply>(&message)) {
    HandleRenewReply(aStep, from, *renewed);
  } else if (const auto* redirect = std::get_if<NotLeader>(&message)) {
    HandleNotLeader(aStep, from, *redirect);
  } else if (const auto* leading = std::get_if<Leading>(&message)) {
    HandleLeading(aStep, from, *leading);
  } else if (const auto* slot = std::get_if<SlotReply>(&message)) {
    HandleSlotReply(aStep, from, *slot);
  } else if (const auto* hello = std::get_if<ReplicaHello>(&message)) {
    HandleReplicaHello(aStep, from, *hello);
  } else if (std::holds_alternative<ControlQuery>(message)) {
    HandleControlQuery(aStep, from);
  } else if (const auto* map = std::get_if<ControlMap>(&message)) {
    HandleControlMap(aStep, *map);
  } else if (const auto* ack = std::get_if<CrashReportAck>(&message)) {
    HandleReportAck(aStep.mEntry.mCrashReporter, *ack);
  } else if (const auto* query = std::get_if<SuspectQuery>(&message)) {
    HandleSuspectQuery(aStep, from, *query);
  } else if (const auto* origin = std::get_if<OriginReply>(&message)) {
    HandleOriginReply(aStep, *origin);
  } else if (const auto* notice = std::get_if<RateNotice>(&message)) {
    RecordRateNotice(aStep, notice->mTarget, notice->mRate, "an entry");
  } else if (const auto* start = std::get_if<StartTimeRequest>(&message)) {
    HandleStartTimeRequest(aStep, from, *start);
  } else if (const auto* time = std::get_if<StartTimeReply>(&message)) {
    HandleStartTimeReply(aStep, *time);
  } else if (const auto* unused = std::get_if<StartTimeRelease>(&message)) {
    HandleStartTimeRelease(aStep, *unused);
  }
}

void
HandlePeerLost(EntryStep& aStep, const PeerAddress& aPeer)
{
  SessionPeerLost(aStep, aPeer);
  FetchPeerLost(aStep, aPeer);
  // Before AttemptsPeerLost, so that its retries avoid this node.
  TargetPeerLost(aStep, aPeer);
  AttemptsPeerLost(aStep, aPeer);
  DirectPeerLost(aStep, aPeer);
}

void
DeadlinePassed(EntryStep& aStep, CallerRequest& aRequest)
{
  if (aRequest.mPhase == RequestPhase::eCompleting) {
    FinishCompletedClaim(aStep, aRequest);
    return;
  }
  if (aRequest.mPhase == RequestPhase::eOrder) {
    FailOrder(aStep, aRequest);
    return;
  }
  if (AreAnswersDue(aStep.mEntry, aStep.mNow)) {
    FailStoppingRequest(aStep, aRequest);
    return;
  }
  CallerError error;
  error.mKind = ErrorKind::eTimeout;
  error.mMessage = "the deadline passed";
  FailRequest(aStep, aRequest, std::move(error));
}

void
TickRequests(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  while (auto serial = PopDue(entry.mRequestTimers, aStep.mNow)) {
    auto found = entry.mRequests.find(*serial);
    if (found == entry.mRequests.end()) {
      continue;
    }
    CallerRequest& request = found->second;
    if (aStep.mNow >= request.mDeadline) {
      DeadlinePassed(aStep, request);
    } else if (request.mPhase == RequestPhase::eAdmitting) {
      GrantWaitExpired(aStep, request);
    } else if (request.mPhase == RequestPhase::eRunning) {
      TickAttempt(aStep, request);
    } else if (request.mPhase == RequestPhase::eDirect) {
      TickDirect(aStep, request);
    } else {
      ScheduleRequest(aStep, request);
    }
  }
}

void
HandleEvent(EntryStep& aStep, const EntryEvent& aEvent)
{
  if (const auto* message = std::get_if<MessageReceived>(&aEvent)) {
    HandleMessage(aStep, *message);
  } else if (const auto* http = std::get_if<HttpRequest>(&aEvent)) {
    HandleHttpRequest(aStep, *http);
  } else if (const auto* closed = std::get_if<HttpClosed>(&aEvent)) {
    HandleHttpClosed(aStep, closed->mCall);
  } else if (const auto* lost = std::get_if<PeerLost>(&aEvent)) {
    HandlePeerLost(aStep, lost->mPeer);
  } else if (std::holds_alternative<StopRequested>(aEvent)) {
    StartDrain(aStep);
  } else if (const auto* forward = std::get_if<ForwardRequest>(&aEvent)) {
    HandleForwardRequest(aStep, *forward);
  } else if (const auto* order = std::get_if<ControlOrder>(&aEvent)) {
    HandleControlOrder(aStep, *order);
  } else if (const auto* job = std::get_if<JobSubmission>(&aEvent)) {
    HandleJobSubmission(aStep, *job);
  } else if (const auto* beat = std::get_if<TargetHeartbeat>(&aEvent)) {
    HandleTargetHeartbeat(aStep, *beat);
  } else if (const auto* leave = std::get_if<TargetDeregistration>(&aEvent)) {
    HandleTargetDeregistration(aStep, *leave);
  } else if (const auto* ready = std::get_if<ReadyQuery>(&aEvent)) {
    ReplyToHttpCall(aStep,
                    ready->mCall,
                    IsReady(aStep.mEntry, aStep.mNow) ? 200 : 503,
                    {},
                    {});
  } else if (const auto* where = std::get_if<WhereQuery>(&aEvent)) {
    HandleWhereQuery(aStep, *where);
  } else if (const auto* sent = std::get_if<TargetCallSent>(&aEvent)) {
    HandleTargetSent(aStep, *sent);
  } else if (const auto* began = std::get_if<TargetCallBegan>(&aEvent)) {
    HandleTargetBegan(aStep, *began);
  } else if (const auto* bytes = std::get_if<TargetCallBytes>(&aEvent)) {
    HandleTargetBytes(aStep, *bytes);
  } else if (const auto* ended = std::get_if<TargetCallEnded>(&aEvent)) {
    HandleTargetEnded(aStep, *ended);
  } else if (const auto* failed = std::get_if<TargetCallFailed>(&aEvent)) {
    HandleTargetFailed(aStep, *failed);
  } else if (const auto* checked = std::get_if<TargetChecked>(&aEvent)) {
    if (!HandleEndChecked(aStep, *checked)) {
      HandleCheckedTarget(aStep, *checked);
    }
  }
}

} // namespace

Entry
MakeEntry(const EntrySettings& aSettings, uint64_t aIncarnation, MonoTime aNow)
{
  Entry entry;
  entry.mSettings = aSettings;
  entry.mIncarnation = aIncarnation;
  // Entries with the same seed must not generate the same request ids.
  entry.mRandom =
    Random(aSettings.mSeed ^
           RendezvousScore(aIncarnation, aSettings.mInstance.mValue));
  entry.mTokens.mRecent.mSince = aNow;
  entry.mRetries.mShare = aSettings.mRetryBudget;
  entry.mSession.mNextSend = aNow;
  entry.mSession.mLeaderLostAt = aNow;
  entry.mSession.mStartedAt = aNow;
  entry.mFetcher.mNextFetch = aNow;
  if (!aSettings.mControl.empty()) {
    const uint64_t replicas = aSettings.mControl.size();
    entry.mSession.mReplica = DrawBelow(entry.mRandom, replicas);
    entry.mSession.mLeader = aSettings.mControl[entry.mSession.mReplica];
    entry.mFetcher.mReplica = DrawBelow(entry.mRandom, replicas);
  }
  return entry;
}

void
StepEntry(Entry& aEntry,
          MonoTime aNow,
          const EntryEvent& aEvent,
          std::vector<EntryAction>& aOut)
{
  EntryStep step{ aEntry, aNow, aOut };
  HandleEvent(step, aEvent);
  if (!aEntry.mDrain.mStopped) {
    TickEarlyRequests(step);
    TickRequests(step);
    TickCalls(step);
    TickFetch(step);
    TickSession(step);
    TickWatch(step);
    SendGrantRequests(step);
    TickReplicaDiscovery(step);
    TickTargetReports(step);
    TickCrashReports(step);
    TickResumedStreams(step);
    TickRollouts(step);
    TickDirectNodes(step);
    DeliverOwnStartTimes(step);
    TickDrain(step);
  }
  for (uint64_t serial : aEntry.mFinished) {
    aEntry.mRequests.erase(serial);
  }
  aEntry.mFinished.clear();
}

MonoTime
NextWakeup(const Entry& aEntry)
{
  if (aEntry.mDrain.mStopped) {
    return kNever;
  }
  MonoTime next = std::min({ FirstDue(aEntry.mRequestTimers),
                             FirstDue(aEntry.mCallTimers),
                             SessionWakeup(aEntry),
                             FetchWakeup(aEntry),
                             aEntry.mNextWatch,
                             ReplicaDiscoveryWakeup(aEntry),
                             TargetReportsWakeup(aEntry),
                             DirectWakeup(aEntry),
                             EarlyRequestsWakeup(aEntry),
                             NextWakeup(aEntry.mCrashReporter),
                             aEntry.mStreams.mTellAt,
                             aEntry.mRollouts.mReportAt,
                             DrainWakeup(aEntry) });
  if (!aEntry.mSession.mEpoch.IsNone()) {
    next = std::min(next, NextWakeup(aEntry.mTokens));
  }
  return next;
}

} // namespace caraway
