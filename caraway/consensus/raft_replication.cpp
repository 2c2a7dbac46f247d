// Replication on the leader.

#include <algorithm>

#include "caraway/consensus/raft_internal.h"
#include "caraway/consensus/replica_codec.h"

namespace caraway {

namespace {

// Unanswered appends per replica. Further entries wait and are sent together.
constexpr size_t kMaxAppendsInFlight = 8;

// The first leader of a group records the data folder of each voter in the log.
void
RecordVoterDisks(Raft& aRaft, MonoTime aNow)
{
  LogEntry entry;
  entry.mIndex = LogIndex(LastIndex(aRaft).mValue + 1);
  entry.mTerm = aRaft.mTerm;
  entry.mKind = LogEntryKind::eMembership;
  ReplicaSet pinned = aRaft.mReplicas.back().mReplicas;
  for (Replica& replica : pinned.mReplicas) {
    if (auto vote = aRaft.mVotes.find(replica.mId);
        vote != aRaft.mVotes.end()) {
      replica.mDisk = vote->second;
    }
  }
  entry.mPayload = EncodeReplicaSet(pinned);
  AppendToLog(aRaft, std::move(entry));
  OnReplicasChanged(aRaft, aNow);
}

} // namespace

void
BecomeLeader(Raft& aRaft, MonoTime aNow, RaftActions& aOut)
{
  const bool first = LastIndex(aRaft).IsNone();
  aRaft.mRole = RaftRole::eLeader;
  aRaft.mLeader = aRaft.mSelf;
  aRaft.mLeaderTerm = aRaft.mTerm;
  aRaft.mPeers.clear();
  OnReplicasChanged(aRaft, aNow);
  LogEntry noop;
  noop.mIndex = LogIndex(LastIndex(aRaft).mValue + 1);
  noop.mTerm = aRaft.mTerm;
  noop.mKind = LogEntryKind::eNoop;
  aRaft.mTermFirstIndex = noop.mIndex;
  // A learner that holds the noop has replied to this leader.
  aRaft.mCommitMarks.assign(1, { aNow, noop.mIndex });
  AppendToLog(aRaft, std::move(noop));
  if (first) {
    RecordVoterDisks(aRaft, aNow);
  }
  aRaft.mHeartbeatDue = aNow + aRaft.mSettings.mHeartbeat;
  SendAppends(aRaft, aNow, true, aOut);
}

void
SendAppends(Raft& aRaft, MonoTime aNow, bool aHeartbeat, RaftActions& aOut)
{
  for (const auto& [id, peer] : aRaft.mPeers) {
    SendAppend(aRaft, aNow, id, aHeartbeat, aOut);
  }
}

namespace {

void
FillEntries(const Raft& aRaft, LogIndex aFrom, AppendRequest& aRequest)
{
  const RaftLog& log = aRaft.mLog;
  size_t bytes = 0;
  for (uint64_t at = aFrom.mValue - log.mBase.mValue - 1;
       at < log.mEntries.size();
       ++at) {
    const LogEntry& entry = log.mEntries[at];
    if (!aRequest.mEntries.empty() &&
        bytes + entry.mPayload.size() > aRaft.mSettings.mMaxAppendBytes) {
      break;
    }
    bytes += entry.mPayload.size() + sizeof(LogEntry);
    aRequest.mEntries.push_back(entry);
  }
}

} // namespace

void
SendAppend(Raft& aRaft,
           MonoTime aNow,
           ReplicaId aTo,
           bool aHeartbeat,
           RaftActions& aOut)
{
  RaftPeer& peer = aRaft.mPeers[aTo];
  AppendRequest request;
  request.mTerm = aRaft.mTerm;
  request.mSentAt = aNow.mMicros;
  const LogIndex previous(peer.mNext.mValue - 1);
  if (!peer.mTransfer && previous < aRaft.mLog.mBase) {
    StartSnapshotTransfer(aRaft, aNow, aTo, aOut);
  }
  if (peer.mTransfer) {
    if (!aHeartbeat) {
      return;
    }
    // An empty append at position 0 matches every log and keeps the replica
    // from starting an election.
  } else {
    request.mPreviousIndex = previous;
    request.mPreviousTerm = *TermAt(aRaft, previous);
    request.mCommit = aRaft.mCommit;
    const bool room =
      peer.mInFlight.size() < (peer.mProbing ? 1 : kMaxAppendsInFlight);
    if (room) {
      FillEntries(aRaft, peer.mNext, request);
    }
    if (request.mEntries.empty() && !aHeartbeat) {
      return;
    }
    if (!request.mEntries.empty()) {
      const LogIndex last = request.mEntries.back().mIndex;
      if (peer.mProbing) {
        peer.mInFlight.assign(1, last);
      } else {
        peer.mInFlight.push_back(last);
        peer.mNext = LogIndex(last.mValue + 1);
      }
    }
  }
  RaftSend send = MakeMessage(aRaft, aTo);
  send.mMessage.mBody = std::move(request);
  aOut.emplace_back(std::move(send));
}

bool
RecordReply(Raft& aRaft,
            MonoTime aNow,
            const RaftMessage& aMessage,
            Term aTerm,
            int64_t aSentAt)
{
  if (aTerm > aRaft.mTerm) {
    BecomeFollower(aRaft, aNow, aTerm, ReplicaId());
    return false;
  }
  const auto found = aRaft.mPeers.find(aMessage.mFrom);
  if (aRaft.mRole != RaftRole::eLeader || aTerm != aRaft.mTerm ||
      found == aRaft.mPeers.end()) {
    return false;
  }
  RaftPeer& peer = found->second;
  if (peer.mDisk != aMessage.mDisk) {
    // A learner that restarted with an empty disk starts over.
    if (peer.mDisk != 0) {
      peer = RaftPeer{};
      peer.mNext = LogIndex(LastIndex(aRaft).mValue + 1);
    }
    peer.mDisk = aMessage.mDisk;
  }
  peer.mLastReplyAt = aNow;
  if (aSentAt <= aNow.mMicros) {
    peer.mLastReplySentAt =
      std::max(peer.mLastReplySentAt, MonoTime{ aSentAt });
  }
  return true;
}

namespace {

void
OnAccepted(RaftPeer& aPeer, LogIndex aMatch)
{
  aPeer.mMatch = std::max(aPeer.mMatch, aMatch);
  while (!aPeer.mInFlight.empty() && aPeer.mInFlight.front() <= aPeer.mMatch) {
    aPeer.mInFlight.pop_front();
  }
  if (aPeer.mProbing) {
    // The first accepted probe shows where the logs match.
    aPeer.mProbing = false;
    aPeer.mInFlight.clear();
  }
  aPeer.mNext = std::max(aPeer.mNext, LogIndex(aPeer.mMatch.mValue + 1));
}

void
OnRefused(RaftPeer& aPeer, LogIndex aHint)
{
  const uint64_t next = std::min(aPeer.mNext.mValue, aHint.mValue + 1);
  aPeer.mNext = LogIndex(std::max(next, aPeer.mMatch.mValue + 1));
  aPeer.mProbing = true;
  aPeer.mInFlight.clear();
}

} // namespace

void
OnAppendReply(Raft& aRaft,
              MonoTime aNow,
              const RaftMessage& aMessage,
              const AppendReply& aReply,
              RaftActions& aOut)
{
  if (!RecordReply(aRaft, aNow, aMessage, aReply.mTerm, aReply.mSentAt)) {
    return;
  }
  RaftPeer& peer = aRaft.mPeers[aMessage.mFrom];
  if (peer.mTransfer) {
    return;
  }
  if (aReply.mAccepted) {
    OnAccepted(peer, std::min(aReply.mMatch, LastIndex(aRaft)));
    AdvanceLeaderCommit(aRaft, aNow, aOut);
  } else {
    OnRefused(peer, aReply.mNextHint);
  }
  if (aRaft.mRole == RaftRole::eLeader) {
    SendAppend(aRaft, aNow, aMessage.mFrom, false, aOut);
  }
}

} // namespace caraway
