// The node role: dispatches each event to its handler, then runs the work that
// is due.

#include "caraway/node/node.h"

#include <algorithm>

#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

constexpr Duration kTick = Seconds(1);
// Three missed announcements (one per second), plus 0.5 s for delays.
constexpr Duration kTargetSilence = Millis(3500);
// Items are returned this long after the lease ended, so that control can lease
// them to other nodes.
constexpr Duration kItemGrace = Seconds(2);
// Normally the HTTP client reports a timeout first; this is the fallback.
constexpr Duration kSilenceGrace = Seconds(1);

void
OnMessage(Node& aNode,
          MonoTime aNow,
          const MessageReceived& aEvent,
          NodeActions& aOut)
{
  const Message& message = aEvent.mMessage;
  const PeerAddress& from = aEvent.mFrom;
  if (const auto* dispatch = std::get_if<Dispatch>(&message)) {
    OnDispatch(aNode, aNow, from, *dispatch, aOut);
  } else if (const auto* cancel = std::get_if<CancelRequest>(&message)) {
    OnCancelRequest(aNode, aNow, *cancel, aOut);
  } else if (const auto* query = std::get_if<OutcomeQuery>(&message)) {
    OnOutcomeQuery(aNode, aNow, from, *query, aOut);
  } else if (const auto* watch = std::get_if<Watch>(&message)) {
    OnWatch(aNode, aNow, *watch);
  } else if (const auto* reg = std::get_if<RegisterReply>(&message)) {
    OnRegisterReply(aNode, aNow, *reg, aOut);
  } else if (const auto* renew = std::get_if<RenewReply>(&message)) {
    OnRenewReply(aNode, aNow, *renew, aOut);
  } else if (const auto* other = std::get_if<NotLeader>(&message)) {
    OnNotLeader(aNode, aNow, *other, aOut);
  } else if (const auto* delta = std::get_if<ConfigDelta>(&message)) {
    OnConfigDelta(aNode, aNow, *delta, aOut);
  } else if (const auto* part = std::get_if<ConfigSnapshotPart>(&message)) {
    OnSnapshotPart(aNode, aNow, *part, aOut);
  } else if (const auto* items = std::get_if<ItemBatch>(&message)) {
    OnItemBatch(aNode, aNow, *items, aOut);
  } else if (const auto* ack = std::get_if<ItemResultsAck>(&message)) {
    OnResultsAck(aNode, aNow, *ack, aOut);
  } else if (const auto* revoked = std::get_if<ItemsRevoked>(&message)) {
    OnItemsRevoked(aNode, aNow, *revoked, aOut);
  } else if (const auto* order = std::get_if<LoadOrder>(&message)) {
    OnLoadOrder(aNode, aNow, from, *order, aOut);
  } else if (const auto* slot = std::get_if<SlotRequest>(&message)) {
    OnSlotRequest(aNode, aNow, from, *slot, aOut);
  } else if (const auto* release = std::get_if<SlotRelease>(&message)) {
    OnSlotRelease(aNode, aNow, from, *release);
  } else if (const auto* held = std::get_if<SlotsHeld>(&message)) {
    OnSlotsHeld(aNode, aNow, from, *held);
  } else if (const auto* rate = std::get_if<RateNotice>(&message)) {
    OnHeardRate(aNode, aNow, rate->mRate, aOut);
  } else if (const auto* map = std::get_if<ControlMap>(&message)) {
    OnControlMap(aNode, aNow, *map);
  } else if (const auto* query = std::get_if<SuspectQuery>(&message)) {
    OnSuspectQuery(aNode, aNow, from, *query, aOut);
  } else if (std::holds_alternative<WorkAvailable>(message)) {
    aNode.mBatch.mNextLeaseAt = std::min(aNode.mBatch.mNextLeaseAt, aNow);
    aNode.mBatch.mPollAt = std::min(aNode.mBatch.mPollAt, aNow);
  }
}

void
OnPeerLost(Node& aNode,
           MonoTime aNow,
           const PeerAddress& aPeer,
           NodeActions& aOut)
{
  DropEntryCalls(aNode, aNow, aPeer, {}, {}, aOut);
  DropEntrySlots(aNode, aNow, aPeer);
  const auto& control = aNode.mSettings.mControl;
  if (std::find(control.begin(), control.end(), aPeer) == control.end()) {
    return;
  }
  NodeSession& session = aNode.mSession;
  const PeerAddress leader = session.mLeader.Empty()
                               ? control[session.mLeaderIndex % control.size()]
                               : session.mLeader;
  if (leader == aPeer) {
    session.mLeader = {};
    ++session.mLeaderIndex;
    session.mUnansweredSince = MonoTime{ 0 };
    session.mRegisterAt = std::min(session.mRegisterAt, aNow);
    session.mRenewAt = std::min(session.mRenewAt, aNow);
  }
  if (control[session.mConfigIndex % control.size()] == aPeer) {
    session.mFetchTimeout = aNow;
  }
}

void
FailSilentCalls(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  std::vector<TargetCallId> silent;
  for (const auto& [id, info] : aNode.mTargetCalls) {
    if (aNow - info.mLastByte > info.mTimeout + kSilenceGrace) {
      silent.push_back(id);
    }
  }
  for (const TargetCallId id : silent) {
    aOut.emplace_back(CancelTargetCall{ id });
    OnTargetFailed(aNode,
                   aNow,
                   { id,
                     Outcome::eUnknown,
                     "the target sent nothing within the time limit" },
                   aOut);
  }
}

void
Tick(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  if (aNow < aNode.mNextTick) {
    return;
  }
  aNode.mNextTick = aNow + kTick;
  if (UsesDirectory(aNode) && aNode.mTarget.mPresent) {
    // A refused connection may have been transient. Without announcements to
    // the node there is no other event that resumes scheduling.
    aNode.mScheduler.mHeld = false;
  }
  const MonoTime leaseEnd = aNode.mSession.mLeaseEnd;
  if (leaseEnd.mMicros != 0 && aNow >= leaseEnd + kItemGrace &&
      !aNode.mSettings.mServeWithoutLease) {
    // The session may survive the loss of contact. The ledger would then wait
    // for these items until the session ends, so they are returned.
    ReturnAllItems(aNode, aNow, aOut);
  }
  FailSilentCalls(aNode, aNow, aOut);
  ExpireKeptAnswers(aNode, aNow);
  EvictKeptAnswers(aNode);
  ReturnOverdueItems(aNode, aNow, aOut);
}

void
RefuseOnLeaseExpiry(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  if (!aNode.mScheduler.mUrgent.empty() && !HasLease(aNode, aNow)) {
    RefuseQueuedCalls(aNode,
                      aNow,
                      ErrorKind::eLeaseExpired,
                      "this node lost contact with control",
                      aOut);
  }
}

// Without a lease or out of service nothing is started: batch work waits,
// online work has been refused. A node that serves without a lease still needs
// one for batch work, which control may have ended or moved.
void
ScheduleIfInService(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  Scheduler& scheduler = aNode.mScheduler;
  const bool held = scheduler.mHeld;
  scheduler.mHeld = held || RefusalReason(aNode, aNow) != ErrorKind::eNone;
  scheduler.mBatchHeld = !MayStartItems(aNode, aNow);
  RunSchedule(aNode, aNow, aOut);
  scheduler.mHeld = held;
}

void
RunDueWork(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  NodeTarget& target = aNode.mTarget;
  if (target.mPresent && !UsesDirectory(aNode) &&
      aNow - target.mHeardAt > kTargetSilence) {
    OnTargetLost(aNode, aNow, aOut);
  }
  UpdateTargetFromDirectory(aNode, aNow, aOut);
  Tick(aNode, aNow, aOut);
  QueryControlMap(aNode, aNow, aOut);
  FetchConfig(aNode, aNow, aOut);
  MaintainSession(aNode, aNow, aOut);
  PollLoad(aNode, aNow, aOut);
  RefuseOnLeaseExpiry(aNode, aNow, aOut);
  ReturnMovedItems(aNode, aNow);
  ScheduleIfInService(aNode, aNow, aOut);
  RequestItems(aNode, aNow, aOut);
  SendResults(aNode, aNow, aOut);
  SendReports(aNode, aNow, aOut);
  ContinueStop(aNode, aNow, aOut);
}

} // namespace

Node
MakeNode(const NodeSettings& aSettings, uint64_t aIncarnation, MonoTime aNow)
{
  Node node;
  node.mSettings = aSettings;
  node.mSession.mIncarnation = aIncarnation;
  // The seed spreads the configuration polls of the nodes over the replicas.
  node.mSession.mConfigIndex = static_cast<size_t>(aSettings.mSeed % 1024);
  node.mSession.mFetchTimeout = aNow;
  node.mSession.mRegisterAt = aNow;
  node.mNextTick = aNow;
  SchedulerSettings scheduler;
  scheduler.mPolicy = aSettings.mPolicy;
  scheduler.mLimit = { aSettings.mColdLimit,
                       aSettings.mMaxLimit,
                       aSettings.mTokenGoal,
                       aSettings.mFirstTokenGoal };
  scheduler.mMaxOnlineQueue = aSettings.mMaxOnlineQueue;
  scheduler.mSpareBursts = aSettings.mSpareBursts;
  node.mScheduler = MakeScheduler(scheduler);
  // The previous process of this node may have granted starts until its end, so
  // the first second grants none.
  node.mScheduler.mPace.mQuietUntil = aNow + kPaceWindow;
  return node;
}

void
StepNode(Node& aNode,
         MonoTime aNow,
         const NodeEvent& aEvent,
         std::vector<NodeAction>& aOut)
{
  if (aNode.mStop == StopState::eStopped) {
    return;
  }
  if (const auto* message = std::get_if<MessageReceived>(&aEvent)) {
    OnMessage(aNode, aNow, *message, aOut);
  } else if (const auto* lost = std::get_if<PeerLost>(&aEvent)) {
    OnPeerLost(aNode, aNow, lost->mPeer, aOut);
  } else if (const auto* request = std::get_if<HttpRequest>(&aEvent)) {
    OnHttp(aNode, aNow, *request, aOut);
  } else if (const auto* began = std::get_if<TargetCallBegan>(&aEvent)) {
    OnTargetBegan(aNode, aNow, *began, aOut);
  } else if (const auto* bytes = std::get_if<TargetCallBytes>(&aEvent)) {
    OnTargetBytes(aNode, aNow, *bytes, aOut);
  } else if (const auto* ended = std::get_if<TargetCallEnded>(&aEvent)) {
    OnTargetEnded(aNode, aNow, *ended, aOut);
  } else if (const auto* failed = std::get_if<TargetCallFailed>(&aEvent)) {
    OnTargetFailed(aNode, aNow, *failed, aOut);
  } else if (const auto* checked = std::get_if<TargetChecked>(&aEvent)) {
    const TargetCallId call = CallOfEndCheck(checked->mCheck);
    if (!call.IsNone()) {
      OnEndChecked(aNode, aNow, call, checked->mReach, aOut);
    }
  } else if (std::holds_alternative<StopRequested>(aEvent)) {
    OnStop(aNode, aNow, aOut);
  }
  RunDueWork(aNode, aNow, aOut);
  if (aNode.mStop == StopState::eStopped) {
    aOut.emplace_back(Stopped{});
  }
}

MonoTime
NextWakeup(const Node& aNode)
{
  if (aNode.mStop == StopState::eStopped) {
    return kNever;
  }
  const NodeSession& session = aNode.mSession;
  const NodeTarget& target = aNode.mTarget;
  MonoTime next = aNode.mNextTick;
  if (!aNode.mSettings.mControl.empty()) {
    next = std::min(next, session.mFetchTimeout);
  }
  next = std::min(next, NextDecision(aNode.mScheduler));
  if (session.mLive) {
    next = std::min(next, session.mRenewAt);
  } else if (target.mPresent && aNode.mStop == StopState::eServing) {
    next = std::min(next, session.mRegisterAt);
  }
  if (!aNode.mSettings.mSeeds.empty()) {
    next = std::min(next, aNode.mQueryAt);
  }
  if (target.mPresent && !UsesDirectory(aNode)) {
    next = std::min(next, target.mHeardAt + kTargetSilence + Micros(1));
    if (target.mLoadCall.IsNone()) {
      next = std::min(next, target.mLoadAt);
    }
  }
  if (!aNode.mReports.mWatchers.empty()) {
    next = std::min(next, NextReport(aNode));
  }
  next = std::min(next, StopWakeup(aNode));
  return std::min(next, NextBatchWakeup(aNode));
}

} // namespace caraway
