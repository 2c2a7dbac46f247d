// The node's session with control: registration, renewal, redirects.

#include <algorithm>

#include "caraway/base/lease.h"
#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

constexpr Duration kAnswerWait = Millis(500); // then another replica is asked
constexpr Duration kRenewEvery = Seconds(1);
// Two replicas that name each other as leader are asked at this pace.
constexpr Duration kRedirectPause = Millis(50);

TargetInfo
TargetNow(const Node& aNode)
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
  member.mTarget = TargetNow(aNode);
  member.mDraining = IsDraining(aNode);
  message.mSentAt = aNow.mMicros;
  aNode.mSession.mRegisterAt = aNow + kAnswerWait;
  SendToLeader(aNode, std::move(message), aOut);
}

void
TryAnotherReplica(Node& aNode)
{
  aNode.mSession.mLeader = {};
  ++aNode.mSession.mLeaderIndex;
}

// The leader is ahead and the replica that is polled does not follow it.
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

// Marks the time since which an answer is awaited.
void
AwaitAnswer(Node& aNode, MonoTime aNow)
{
  NodeSession& session = aNode.mSession;
  if (session.mAskedAt.mMicros == 0) {
    session.mAskedAt = aNow;
  } else if (aNow - session.mAskedAt >= kAnswerWait) {
    TryAnotherReplica(aNode);
    session.mAskedAt = aNow;
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
  AwaitAnswer(aNode, aNow);
  Renew renew;
  renew.mInstance = aNode.mSettings.mInstance;
  renew.mEpoch = session.mEpoch;
  renew.mRevision = session.mView.mRevision;
  renew.mSentAt = aNow.mMicros;
  renew.mTarget = TargetNow(aNode);
  renew.mRunning = RunningCalls(aNode);
  renew.mLimit = CallLimit(aNode.mScheduler);
  renew.mDraining = IsDraining(aNode);
  session.mRenewAt = aNow + kAnswerWait;
  SendToLeader(aNode, std::move(renew), aOut);
}

void
TrySession(Node& aNode, MonoTime aNow, NodeActions& aOut)
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
    AwaitAnswer(aNode, aNow);
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
    // Sequences start anew with the epoch; calls of the old one are finished
    // and answered under it.
    DropTasks(aNode, aNow, nullptr, nullptr, aOut);
    aNode.mBatch.mLeasing = false;
    aNode.mWindows.clear();
    session.mLeaseEnd = MonoTime{ 0 };
  }
  session.mEpoch = aReply.mEpoch;
  session.mLive = true;
  session.mAskedAt = MonoTime{ 0 };
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
  session.mAskedAt = MonoTime{ 0 };
  session.mHeardAt = aNow;
  PollLeaderIfNewer(aNode, aNow, aReply.mRevision);
  switch (aReply.mVerdict) {
    case RenewVerdict::eUnknownSession:
      if (aNode.mStop == StopState::eLeaving) {
        aNode.mStop = StopState::eStopped;
      }
      EndSession(aNode, aNow, aOut);
      return;
    case RenewVerdict::eRevisionTooOld:
      session.mFetchTimeout = aNow;
      session.mRenewAt = aNow + kAnswerWait;
      return;
    case RenewVerdict::eGranted:
      break;
  }
  session.mLeaseEnd =
    std::max(session.mLeaseEnd, HolderLeaseEnd(sent, aReply.mLease));
  session.mRenewAt = std::max(aNow, sent + kRenewEvery);
  const bool told = IsDraining(aNode) && sent >= aNode.mStopSince;
  if (told && aNode.mDrainKnown.mMicros == 0) {
    aNode.mDrainKnown = aNow;
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
  session.mAskedAt = MonoTime{ 0 };
  session.mRegisterAt = std::min(session.mRegisterAt, again);
  session.mRenewAt = std::min(session.mRenewAt, again);
  aNode.mBatch.mLeaseSendAt = std::min(aNode.mBatch.mLeaseSendAt, again);
  for (auto& [sequence, pending] : aNode.mBatch.mUnacked) {
    pending.mSendAt = std::min(pending.mSendAt, again);
  }
}

} // namespace caraway
