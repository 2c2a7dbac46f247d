// Snapshots: when to take one, and the transfer to replicas that are too far
// behind for the log in memory. A few parts per replica are in flight. The
// receiver drops a part that does not continue what it has; its reply then
// names another position than expected, and the leader goes on from there.

#include <algorithm>
#include <utility>

#include "caraway/consensus/raft_internal.h"

namespace caraway {

namespace {

// Parts are read and sent again after this many heartbeats without a reply.
constexpr int64_t kPartRetryHeartbeats = 5;

// And in any case after this time.
constexpr Duration kMostPartTime = Seconds(5);

// Parts in flight per replica. More than a link carries in a round trip, and
// few enough for heartbeats that queue behind them.
constexpr size_t kMaxPartsInFlight = 4;

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
ReadPart(ReplicaId aTo, RaftPeer& aPeer, RaftActions& aOut)
{
  if (aPeer.mReading || aPeer.mReadAll ||
      aPeer.mParts.size() >= kMaxPartsInFlight) {
    return;
  }
  aPeer.mReading = true;
  aOut.emplace_back(
    RaftReadSnapshotPart{ aTo, aPeer.mRead.mFile, aPeer.mRead.mOffset });
}

// Goes on from this position, whatever was read or sent beyond it.
void
ContinueFrom(const Raft& aRaft,
             MonoTime aNow,
             RaftPeer& aPeer,
             TransferPosition aPosition)
{
  aPeer.mParts.clear();
  aPeer.mReadStale = aPeer.mReading;
  aPeer.mReadAll = false;
  aPeer.mConfirmed = aPosition;
  aPeer.mRead = std::move(aPosition);
  aPeer.mPartDue = aNow + aRaft.mSettings.mHeartbeat * kPartRetryHeartbeats;
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
  ContinueFrom(aRaft, aNow, peer, {});
  ReadPart(aTo, peer, aOut);
}

namespace {

// Messages arrive in order, so a part is lost if one that was sent later has
// been answered. A link that is only slow answers the part first.
bool
LooksLost(const RaftPeer& aPeer, MonoTime aNow)
{
  if (aPeer.mParts.empty()) {
    return true;
  }
  const MonoTime sent{ aPeer.mParts.front().mSentAt };
  return aPeer.mLastReplySentAt > sent || aNow - sent > kMostPartTime;
}

} // namespace

void
RetrySnapshotTransfers(Raft& aRaft, MonoTime aNow, RaftActions& aOut)
{
  for (auto& [id, peer] : aRaft.mPeers) {
    if (peer.mTransfer && aNow >= peer.mPartDue && LooksLost(peer, aNow)) {
      ContinueFrom(aRaft, aNow, peer, peer.mConfirmed);
      ReadPart(id, peer, aOut);
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
      found == aRaft.mPeers.end()) {
    return;
  }
  RaftPeer& peer = found->second;
  peer.mReading = false;
  const bool stale = std::exchange(peer.mReadStale, false);
  if (!peer.mTransfer) {
    return;
  }
  if (stale) {
    ReadPart(aTo, peer, aOut);
    return;
  }
  if (!aOk) {
    ContinueFrom(aRaft, aNow, peer, {}); // read again at mPartDue
    return;
  }
  peer.mTransferIndex = aPart.mLastIndex;
  peer.mRead = { aPart.mFile, aPart.mOffset + aPart.mBytes.size() };
  peer.mReadAll = aPart.mAllDone;
  peer.mParts.push_back({ aNow.mMicros, peer.mRead });
  RaftSend send = MakeMessage(aRaft, aTo);
  SnapshotPart part = aPart;
  part.mTerm = aRaft.mTerm;
  part.mSentAt = aNow.mMicros;
  send.mMessage.mBody = std::move(part);
  aOut.emplace_back(std::move(send));
  ReadPart(aTo, peer, aOut);
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
  // Replies to parts that are not in flight any more do not count.
  const auto part = std::find_if(
    peer.mParts.begin(), peer.mParts.end(), [&](const SentPart& aPart) {
      return aPart.mSentAt == aReply.mSentAt;
    });
  if (!peer.mTransfer || part == peer.mParts.end()) {
    return;
  }
  if (!aReply.mInstalled) {
    const TransferPosition position{ aReply.mFile, aReply.mNextOffset };
    const auto answered =
      std::find_if(part, peer.mParts.end(), [&](const SentPart& aPart) {
        return aPart.mEnd == position && aPart.mSentAt == aReply.mSentAt;
      });
    if (answered == peer.mParts.end()) {
      ContinueFrom(aRaft, aNow, peer, position);
    } else {
      peer.mParts.erase(peer.mParts.begin(), answered + 1);
      peer.mConfirmed = position;
      peer.mPartDue = aNow + aRaft.mSettings.mHeartbeat * kPartRetryHeartbeats;
    }
    ReadPart(aMessage.mFrom, peer, aOut);
    return;
  }
  peer.mTransfer = false;
  peer.mParts.clear();
  peer.mMatch = std::max(peer.mMatch, aReply.mLastIndex);
  peer.mNext = LogIndex(peer.mMatch.mValue + 1);
  AdvanceLeaderCommit(aRaft, aNow, aOut);
  if (aRaft.mRole == RaftRole::eLeader) {
    SendAppend(aRaft, aNow, aMessage.mFrom, false, aOut);
  }
}

} // namespace caraway
