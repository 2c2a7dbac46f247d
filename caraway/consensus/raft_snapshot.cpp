// Snapshots: when to take one, and the transfer to replicas that are too far
// behind for the log in memory. One part per replica is in flight at a time.

#include <algorithm>

#include "caraway/consensus/raft_internal.h"

namespace caraway {

namespace {

// A part is read and sent again after this many heartbeats without a reply.
constexpr int64_t kPartRetryHeartbeats = 5;

// A transfer in progress delays the next snapshot, since a new snapshot makes
// it start over, but by at most this factor of the usual interval.
constexpr uint64_t kMaxSnapshotDelayFactor = 4;

bool
IsTransferring(const Raft& aRaft)
{
  return std::any_of(aRaft.mPeers.begin(),
                     aRaft.mPeers.end(),
                     [](const auto& aPeer) { return aPeer.second.mTransfer; });
}

void
ReadPart(Raft& aRaft,
         MonoTime aNow,
         ReplicaId aTo,
         RaftPeer& aPeer,
         RaftActions& aOut)
{
  if (aPeer.mReading) {
    return;
  }
  aPeer.mReading = true;
  aPeer.mPartSentAt.reset();
  aPeer.mPartDue = aNow + aRaft.mSettings.mHeartbeat * kPartRetryHeartbeats;
  aOut.emplace_back(RaftReadSnapshotPart{ aTo, aPeer.mFile, aPeer.mOffset });
}

void
RestartTransfer(RaftPeer& aPeer)
{
  aPeer.mFile.clear();
  aPeer.mOffset = 0;
}

} // namespace

void
MaybeTakeSnapshot(Raft& aRaft, RaftActions& aOut)
{
  const uint64_t factor = IsTransferring(aRaft) ? kMaxSnapshotDelayFactor : 1;
  const uint64_t entries =
    aRaft.mApplied.mValue - aRaft.mSnapshot.mIndex.mValue;
  const bool due =
    entries >= aRaft.mSettings.mSnapshotEvery * factor ||
    aRaft.mAppliedBytes >= aRaft.mSettings.mSnapshotBytes * factor;
  if (!due || aRaft.mTakingSnapshot || aRaft.mStoringPart) {
    return;
  }
  aRaft.mTakingSnapshot = true;
  aRaft.mAppliedBytes = 0;
  RaftTakeSnapshot take;
  take.mUpTo = aRaft.mApplied;
  take.mMark.mIndex = aRaft.mApplied;
  take.mMark.mTerm = *TermAt(aRaft, aRaft.mApplied);
  take.mMark.mReplicas = ReplicasAt(aRaft, aRaft.mApplied);
  aOut.emplace_back(std::move(take));
}

void
RaftSnapshotTaken(Raft& aRaft,
                  MonoTime,
                  const SnapshotMark& aMark,
                  bool aOk,
                  std::vector<RaftAction>& aOut)
{
  if (aRaft.mFailed) {
    return;
  }
  aRaft.mTakingSnapshot = false;
  if (!aOk) {
    aRaft.mFailed = true;
  } else if (aMark.mIndex > aRaft.mSnapshot.mIndex) {
    aRaft.mSnapshot = aMark;
    CompactLog(aRaft);
  }
  FinishStep(aRaft, aOut);
}

void
StartSnapshotTransfer(Raft& aRaft,
                      MonoTime aNow,
                      ReplicaId aTo,
                      RaftActions& aOut)
{
  RaftPeer& peer = aRaft.mPeers[aTo];
  peer.mTransfer = true;
  peer.mTransferIndex = LogIndex();
  peer.mInFlight.clear();
  peer.mProbing = true;
  RestartTransfer(peer);
  ReadPart(aRaft, aNow, aTo, peer, aOut);
}

void
RetrySnapshotTransfers(Raft& aRaft, MonoTime aNow, RaftActions& aOut)
{
  for (auto& [id, peer] : aRaft.mPeers) {
    if (peer.mTransfer && aNow >= peer.mPartDue) {
      ReadPart(aRaft, aNow, id, peer, aOut);
    }
  }
}

void
RaftSnapshotPartRead(Raft& aRaft,
                     MonoTime aNow,
                     ReplicaId aTo,
                     const SnapshotPart& aPart,
                     bool aOk,
                     std::vector<RaftAction>& aOut)
{
  const auto found = aRaft.mPeers.find(aTo);
  if (aRaft.mFailed || aRaft.mRole != RaftRole::eLeader ||
      found == aRaft.mPeers.end() || !found->second.mTransfer) {
    return;
  }
  RaftPeer& peer = found->second;
  peer.mReading = false;
  if (!aOk) {
    RestartTransfer(peer);
    return; // read again at mPartDue
  }
  peer.mTransferIndex = aPart.mLastIndex;
  peer.mPartSentAt = aNow.mMicros;
  RaftSend send = MakeMessage(aRaft, aTo);
  SnapshotPart part = aPart;
  part.mTerm = aRaft.mTerm;
  part.mSentAt = aNow.mMicros;
  send.mMessage.mBody = std::move(part);
  aOut.emplace_back(std::move(send));
  FinishStep(aRaft, aOut);
}

void
OnSnapshotPart(Raft& aRaft,
               MonoTime aNow,
               const RaftMessage& aMessage,
               const SnapshotPart& aPart,
               RaftActions& aOut)
{
  if (aRaft.mLostDisk || aRaft.mStoringPart || aRaft.mTakingSnapshot ||
      (aRaft.mRole == RaftRole::eLeader && aPart.mTerm == aRaft.mTerm)) {
    return;
  }
  if (aPart.mTerm >= aRaft.mTerm) {
    BecomeFollower(aRaft, aNow, aPart.mTerm, aMessage.mFrom);
    HeardLeader(aRaft, aNow, aMessage.mFrom);
    if (aPart.mLastIndex > aRaft.mCommit) {
      aRaft.mStoringPart = true;
      aRaft.mInstallingSnapshot = aPart.mAllDone;
      aRaft.mStoringSentAt = aPart.mSentAt;
      aOut.emplace_back(RaftStoreSnapshotPart{ aMessage.mFrom, aPart });
      return;
    }
  }
  SnapshotPartReply reply;
  reply.mTerm = aRaft.mTerm;
  reply.mLastIndex = aPart.mLastIndex;
  reply.mInstalled = aPart.mTerm == aRaft.mTerm; // the log already covers it
  reply.mSentAt = aPart.mSentAt;
  RaftSend send = MakeMessage(aRaft, aMessage.mFrom);
  send.mMessage.mBody = std::move(reply);
  SendWhenSynced(aRaft, std::move(send), aOut);
}

namespace {

void
Install(Raft& aRaft, MonoTime aNow, const SnapshotMark& aMark)
{
  ResetLog(aRaft, aMark);
  aRaft.mLog.mPendingBytes = 0;
  for (const LogEntry& entry : aRaft.mLog.mEntries) {
    if (entry.mIndex > aMark.mIndex) {
      aRaft.mLog.mPendingBytes += entry.mPayload.size();
    }
  }
  aRaft.mCommit = std::max(aRaft.mCommit, aMark.mIndex);
  aRaft.mApplied = aRaft.mCommit;
  aRaft.mAppliedBytes = 0;
  OnReplicasChanged(aRaft, aNow);
}

} // namespace

void
RaftSnapshotPartStored(Raft& aRaft,
                       MonoTime aNow,
                       ReplicaId aFrom,
                       const SnapshotPartReply& aReply,
                       const SnapshotMark& aMark,
                       bool aOk,
                       std::vector<RaftAction>& aOut)
{
  if (aRaft.mFailed) {
    return;
  }
  aRaft.mStoringPart = false;
  aRaft.mInstallingSnapshot = false;
  if (!aOk) {
    aRaft.mFailed = true;
    FinishStep(aRaft, aOut);
    return;
  }
  SnapshotPartReply reply = aReply;
  reply.mTerm = aRaft.mTerm;
  reply.mSentAt = aRaft.mStoringSentAt;
  if (!aMark.mIndex.IsNone()) {
    Install(aRaft, aNow, aMark);
    reply.mInstalled = true;
    reply.mLastIndex = aMark.mIndex;
  }
  RaftSend send = MakeMessage(aRaft, aFrom);
  send.mMessage.mBody = std::move(reply);
  SendWhenSynced(aRaft, std::move(send), aOut);
  FinishStep(aRaft, aOut);
}

void
OnSnapshotPartReply(Raft& aRaft,
                    MonoTime aNow,
                    const RaftMessage& aMessage,
                    const SnapshotPartReply& aReply,
                    RaftActions& aOut)
{
  if (!RecordReply(aRaft, aNow, aMessage, aReply.mTerm, aReply.mSentAt)) {
    return;
  }
  RaftPeer& peer = aRaft.mPeers[aMessage.mFrom];
  // Only the reply to the last part counts, so that duplicated messages do not
  // start a second stream of parts.
  if (!peer.mTransfer || peer.mPartSentAt != aReply.mSentAt) {
    return;
  }
  peer.mPartSentAt.reset();
  if (!aReply.mInstalled) {
    peer.mFile = aReply.mFile;
    peer.mOffset = aReply.mNextOffset;
    ReadPart(aRaft, aNow, aMessage.mFrom, peer, aOut);
    return;
  }
  peer.mTransfer = false;
  peer.mMatch = std::max(peer.mMatch, aReply.mLastIndex);
  peer.mNext = LogIndex(peer.mMatch.mValue + 1);
  AdvanceLeaderCommit(aRaft, aNow, aOut);
  if (aRaft.mRole == RaftRole::eLeader) {
    SendAppend(aRaft, aNow, aMessage.mFrom, false, aOut);
  }
}

} // namespace caraway
