// The node's session with control: registration, lease renewal and redirects.

#include <algorithm>

#include "caraway/base/lease.h"
#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

// Without an answer for this long, the next replica is tried.
constexpr Duration kAnswerTimeout = Millis(500);
constexpr Duration kRenewEvery = Seconds(1);
// Minimum interval between redirects, for replicas that name each other as the
// leader.
constexpr Duration kRedirectPause = Millis(50);

TargetInfo
CurrentTargetInfo(const Node& aNode)
{
  TargetInfo info = aNode.mTarget.mAnnounced.mInfo;
  if (!aNode.mTarget.mPresent) {
    info.mModels.clear();
    info.mServices.clear();
  }
  return info;
}

void
SendRegister(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  Register message;
  Member& member = message.mMember;
  member.mInstance = aNode.mSettings.mInstance;
  member.mIncarnation = aNode.mSession.mIncarnation;
  member.mRole = MemberRole::eNode;
  member.mAddress = aNode.mSettings.mAddress;
  member.mZone = aNode.mSettings.mZone;
  member.mRegion = aNode.mSettings.mRegion;
  member.mTarget = CurrentTargetInfo(aNode);
  member.mDraining = IsDraining(aNode);
  message.mSentAt = aNow.mMicros;
  aNode.mSession.mRegisterAt = aNow + kAnswerTimeout;
  SendToLeader(aNode, std::move(message), aOut);
}

void
TryAnotherReplica(Node& aNode)
{
  aNode.mSession.mLeader = {};
  ++aNode.mSession.mLeaderIndex;
}

// Polls the leader for the configuration if it has a newer revision than the
// replica that is polled now.
void
PollLeaderIfNewer(Node& aNode, MonoTime aNow, Revision aNewest)
{
  NodeSession& session = aNode.mSession;
  const auto& control = aNode.mSettings.mControl;
  auto leader = std::find(control.begin(), control.end(), session.mLeader);
  if (aNewest <= session.mView.mRevision || leader == control.end() ||
      control[session.mConfigIndex % control.size()] == *leader) {
    return;
  }
  session.mConfigIndex = static_cast<size_t>(leader - control.begin());
  session.mFetching = false;
  session.mFetchTimeout = aNow;
}

// Called before each request. Switches to another replica if an earlier request
// has had no answer for kAnswerTimeout.
void
CheckAnswerTimeout(Node& aNode, MonoTime aNow)
{
  NodeSession& session = aNode.mSession;
  if (session.mUnansweredSince.mMicros == 0) {
    session.mUnansweredSince = aNow;
  } else if (aNow - session.mUnansweredSince >= kAnswerTimeout) {
    TryAnotherReplica(aNode);
    session.mUnansweredSince = aNow;
  }
}

} // namespace

void
SendToLeader(Node& aNode, Message aMessage, NodeActions& aOut)
{
  const auto& control = aNode.mSettings.mControl;
  const NodeSession& session = aNode.mSession;
  if (session.mLeader.Empty() && control.empty()) {
    return;
  }
  SendMessage send;
  send.mTo = session.mLeader.Empty()
               ? control[session.mLeaderIndex % control.size()]
               : session.mLeader;
  send.mMessage = std::move(aMessage);
  aOut.emplace_back(std::move(send));
}

void
SendRenew(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  NodeSession& session = aNode.mSession;
  CheckAnswerTimeout(aNode, aNow);
  Renew renew;
  renew.mInstance = aNode.mSettings.mInstance;
  renew.mEpoch = session.mEpoch;
  renew.mRevision = session.mView.mRevision;
  renew.mSentAt = aNow.mMicros;
  renew.mTarget = CurrentTargetInfo(aNode);
  renew.mRunning = RunningCalls(aNode);
  renew.mLimit = CallLimit(aNode.mScheduler);
  renew.mDraining = IsDraining(aNode);
  renew.mLeases = HeldLeases(aNode);
  renew.mLeaseLeft = std::max(Duration{}, session.mLeaseEnd - aNow);
  session.mRenewAt = aNow + kAnswerTimeout;
  SendToLeader(aNode, std::move(renew), aOut);
}

void
MaintainSession(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  NodeSession& session = aNode.mSession;
  if (session.mLive) {
    if (aNow >= session.mRenewAt) {
      SendRenew(aNode, aNow, aOut);
    }
    return;
  }
  const bool wanted =
    aNode.mTarget.mPresent && aNode.mStop == StopState::eServing;
  if (wanted && aNow >= session.mRegisterAt) {
    CheckAnswerTimeout(aNode, aNow);
    SendRegister(aNode, aNow, aOut);
  }
}

void
OnRegisterReply(Node& aNode,
                MonoTime aNow,
                const RegisterReply& aReply,
                NodeActions& aOut)
{
  NodeSession& session = aNode.mSession;
  if (aReply.mInstance != aNode.mSettings.mInstance ||
      aReply.mIncarnation != session.mIncarnation ||
      aReply.mEpoch < session.mEpoch ||
      (session.mLive && aReply.mEpoch == session.mEpoch)) {
    return;
  }
  if (aReply.mEpoch != session.mEpoch) {
    // Dispatch sequences restart with the epoch. Calls of the old epoch finish
    // and are answered under it.
    DropTasks(aNode, aNow, nullptr, nullptr, aOut);
    aNode.mBatch.mLeasing = false;
    aNode.mWindows.clear();
    session.mLeaseEnd = MonoTime{ 0 };
  }
  session.mEpoch = aReply.mEpoch;
  session.mLive = true;
  session.mUnansweredSince = MonoTime{ 0 };
  SendRenew(aNode, aNow, aOut);
}

void
EndSession(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  NodeSession& session = aNode.mSession;
  session.mLive = false;
  session.mLeaseEnd = MonoTime{ 0 };
  session.mRegisterAt = aNow;
  aNode.mBatch.mLeasing = false;
  DropTasks(aNode, aNow, nullptr, nullptr, aOut);
}

void
OnRenewReply(Node& aNode,
             MonoTime aNow,
             const RenewReply& aReply,
             NodeActions& aOut)
{
  NodeSession& session = aNode.mSession;
  const MonoTime sent{ aReply.mSentAt };
  if (aReply.mInstance != aNode.mSettings.mInstance ||
      aReply.mEpoch != session.mEpoch || !session.mLive || sent > aNow) {
    return;
  }
  session.mUnansweredSince = MonoTime{ 0 };
  session.mHeardAt = aNow;
  PollLeaderIfNewer(aNode, aNow, aReply.mRevision);
  switch (aReply.mVerdict) {
    case RenewVerdict::eUnknownSession:
      if (aNode.mStop == StopState::eLeaving) {
        aNode.mStop = StopState::eStopped;
      }
      EndSession(aNode, aNow, aOut);
      return;
    case RenewVerdict::eCopyDiffers: // nodes state no digest
    case RenewVerdict::eRevisionTooOld:
      session.mFetchTimeout = aNow;
      session.mRenewAt = aNow + kAnswerTimeout;
      return;
    case RenewVerdict::eGranted:
      break;
  }
  session.mLeaseEnd =
    std::max(session.mLeaseEnd, HolderLeaseEnd(sent, aReply.mLease));
  OnLeasesChecked(aNode, aNow, aReply, aOut);
  session.mRenewAt = std::max(aNow, sent + kRenewEvery);
  const bool drainWasSent = IsDraining(aNode) && sent >= aNode.mStopSince;
  if (drainWasSent && aNode.mDrainAckedAt.mMicros == 0) {
    aNode.mDrainAckedAt = aNow;
  }
}

void
OnNotLeader(Node& aNode, MonoTime aNow, const NotLeader& aReply, NodeActions&)
{
  NodeSession& session = aNode.mSession;
  if (aReply.mLeader.Empty()) {
    TryAnotherReplica(aNode);
  } else {
    session.mLeader = aReply.mLeader;
  }
  const MonoTime again = std::max(aNow, session.mRedirectedAt + kRedirectPause);
  session.mRedirectedAt = again;
  session.mUnansweredSince = MonoTime{ 0 };
  session.mRegisterAt = std::min(session.mRegisterAt, again);
  session.mRenewAt = std::min(session.mRenewAt, again);
  aNode.mBatch.mLeaseSendAt = std::min(aNode.mBatch.mLeaseSendAt, again);
  for (auto& [sequence, pending] : aNode.mBatch.mUnacked) {
    pending.mSendAt = std::min(pending.mSendAt, again);
  }
}

} // namespace caraway
