// Entry points of the Raft state machine.

#include <algorithm>
#include <utility>

#include "caraway/base/error.h"
#include "caraway/base/lease.h"
#include "caraway/consensus/raft_internal.h"

namespace caraway {

namespace {

// True if no other replica can have been leader since the snapshot: this
// replica is the only voter in all sets since then. The newest set alone is not
// enough, since a leader that removed itself may still hold its lease.
bool
WasAlwaysOnlyVoter(const Raft& aRaft)
{
  return std::all_of(
    aRaft.mReplicas.begin(), aRaft.mReplicas.end(), [&](const auto& aRecord) {
      const auto& replicas = aRecord.mReplicas.mReplicas;
      return std::all_of(replicas.begin(),
                         replicas.end(),
                         [&](const Replica& aOne) {
                           return !aOne.mVoter || aOne.mId == aRaft.mSelf;
                         }) &&
             FindReplica(aRecord.mReplicas, aRaft.mSelf) != nullptr;
    });
}

} // namespace

Raft
MakeRaft(const RaftSettings& aSettings,
         GroupId aGroup,
         ReplicaId aSelf,
         RaftRecovered aRecovered,
         const ReplicaSet& aInitial,
         uint64_t aSeed,
         MonoTime aNow)
{
  Raft raft;
  raft.mSettings = aSettings;
  raft.mGroup = aGroup;
  raft.mSelf = aSelf;
  raft.mDisk = aRecovered.mDisk;
  raft.mRandom = Random(aSeed);
  raft.mTerm = raft.mDurableTerm = aRecovered.mHard.mTerm;
  raft.mVotedFor = aRecovered.mHard.mVotedFor;
  const SnapshotMark& mark = aRecovered.mSnapshot;
  raft.mSnapshot = mark;
  raft.mLog.mBase = raft.mCommit = raft.mApplied = mark.mIndex;
  raft.mLog.mBaseTerm = mark.mTerm;
  raft.mReplicas.push_back(
    { mark.mIndex, mark.mIndex.IsNone() ? aInitial : mark.mReplicas });
  raft.mAwaitsFirstElection = raft.mTerm.IsNone() && mark.mIndex.IsNone() &&
                              aRecovered.mEntries.empty() &&
                              IsVoter(raft, aSelf);
  for (LogEntry& entry : aRecovered.mEntries) {
    AppendToLog(raft, std::move(entry));
  }
  raft.mWrittenTo = raft.mDurable = LastIndex(raft);
  raft.mLeaderTerm = LastTerm(raft);
  OnReplicasChanged(raft, aNow);
  if (IsVoter(raft, aSelf) && WasAlwaysOnlyVoter(raft)) {
    raft.mElectionDue = raft.mRefuseVotesUntil = aNow;
  } else {
    // This replica may have replied to a leader just before it stopped, and
    // that leader's lease may still run.
    raft.mRefuseVotesUntil = GrantorLeaseEnd(aNow, aSettings.mElectionMin);
    ResetElectionTimer(raft, aNow);
  }
  raft.mReportedRole.mTerm = raft.mTerm;
  return raft;
}

void
RaftWakeup(Raft& aRaft, MonoTime aNow, std::vector<RaftAction>& aOut)
{
  if (aRaft.mFailed) {
    return;
  }
  if (aRaft.mRole != RaftRole::eLeader) {
    if (aNow >= aRaft.mElectionDue) {
      StartPreVote(aRaft, aNow, aOut);
    }
  } else if (!HasQuorumRepliedSince(aRaft,
                                    aNow - aRaft.mSettings.mElectionMax)) {
    BecomeFollower(aRaft, aNow, aRaft.mTerm, ReplicaId());
  } else {
    if (aNow >= aRaft.mHeartbeatDue) {
      aRaft.mHeartbeatDue = aNow + aRaft.mSettings.mHeartbeat;
      MarkCommit(aRaft, aNow);
      SendAppends(aRaft, aNow, true, aOut);
    }
    RetrySnapshotTransfers(aRaft, aNow, aOut);
  }
  FinishStep(aRaft, aOut);
}

namespace {

// Passes a message to the handler of its type.
struct Receiver
{
  Raft& mRaft;
  MonoTime mNow;
  const RaftMessage& mMessage;
  RaftActions& mOut;

  void operator()(const VoteRequest& aBody)
  {
    OnVoteRequest(mRaft, mNow, mMessage, aBody, mOut);
  }
  void operator()(const VoteReply& aBody)
  {
    OnVoteReply(mRaft, mNow, mMessage, aBody, mOut);
  }
  void operator()(const AppendRequest& aBody)
  {
    OnAppendRequest(mRaft, mNow, mMessage, aBody, mOut);
  }
  void operator()(const AppendReply& aBody)
  {
    OnAppendReply(mRaft, mNow, mMessage, aBody, mOut);
  }
  void operator()(const SnapshotPart& aBody)
  {
    OnSnapshotPart(mRaft, mNow, mMessage, aBody, mOut);
  }
  void operator()(const SnapshotPartReply& aBody)
  {
    OnSnapshotPartReply(mRaft, mNow, mMessage, aBody, mOut);
  }
  void operator()(const Resignation& aBody)
  {
    OnResignation(mRaft, mNow, mMessage, aBody, mOut);
  }
};

} // namespace

void
RaftReceive(Raft& aRaft,
            MonoTime aNow,
            const RaftMessage& aMessage,
            std::vector<RaftAction>& aOut)
{
  if (aRaft.mFailed || aMessage.mGroup != aRaft.mGroup ||
      aMessage.mTo != aRaft.mSelf || aMessage.mFrom == aRaft.mSelf) {
    return;
  }
  if (!IsTrustedSender(aRaft, aMessage)) {
    aRaft.mLostDiskVoters.insert(aMessage.mFrom);
    return;
  }
  if (!CheckFirstElection(aRaft, aMessage)) {
    return;
  }
  std::visit(Receiver{ aRaft, aNow, aMessage, aOut }, aMessage.mBody);
  FinishStep(aRaft, aOut);
}

void
RaftWritten(Raft& aRaft,
            MonoTime aNow,
            uint64_t aWrite,
            bool aOk,
            std::vector<RaftAction>& aOut)
{
  if (aRaft.mFailed) {
    return;
  }
  if (!aOk) {
    aRaft.mFailed = true;
  } else {
    OnWritten(aRaft, aNow, aWrite, aOut);
    AdvanceLeaderCommit(aRaft, aNow, aOut);
  }
  FinishStep(aRaft, aOut);
}

absl::StatusOr<LogIndex>
RaftPropose(Raft& aRaft,
            MonoTime aNow,
            LogEntryKind aKind,
            std::string aPayload,
            std::vector<RaftAction>& aOut)
{
  if (!IsLeader(aRaft)) {
    return MakeError(ErrorKind::eNotLeader,
                     "this replica is not the leader",
                     "send the request to the leader");
  }
  if (aPayload.size() > kMaxEntryBytes) {
    return MakeError(ErrorKind::eTooLarge,
                     "the entry is larger than 768 KiB",
                     "split it into several commands");
  }
  if (aRaft.mLog.mPendingBytes + aPayload.size() >
      aRaft.mSettings.mMaxPendingBytes) {
    return MakeError(ErrorKind::eOverloaded,
                     "too many entries are not committed yet",
                     "retry after a short delay");
  }
  LogEntry entry;
  entry.mIndex = LogIndex(LastIndex(aRaft).mValue + 1);
  entry.mTerm = aRaft.mTerm;
  entry.mKind = aKind;
  entry.mPayload = std::move(aPayload);
  const LogIndex index = entry.mIndex;
  AppendToLog(aRaft, std::move(entry));
  if (aKind == LogEntryKind::eMembership) {
    OnReplicasChanged(aRaft, aNow);
  }
  SendAppends(aRaft, aNow, false, aOut);
  FinishStep(aRaft, aOut);
  return index;
}

void
RaftResign(Raft& aRaft,
           MonoTime aNow,
           ReplicaId aSuccessor,
           std::vector<RaftAction>& aOut)
{
  // The others become candidates within one election timeout of the last
  // heartbeat, and may need a second attempt.
  constexpr int64_t kElections = 3;
  if (!IsLeader(aRaft)) {
    return;
  }
  for (const auto& [id, peer] : aRaft.mPeers) {
    RaftSend send = MakeMessage(aRaft, id);
    send.mMessage.mBody = Resignation{ aRaft.mTerm, aSuccessor };
    aOut.emplace_back(std::move(send));
  }
  BecomeFollower(aRaft, aNow, aRaft.mTerm, ReplicaId());
  aRaft.mElectionDue = aNow + aRaft.mSettings.mElectionMax * kElections;
  FinishStep(aRaft, aOut);
}

void
FinishStep(Raft& aRaft, RaftActions& aOut)
{
  if (aRaft.mFailed) {
    aRaft.mRole = RaftRole::eFollower;
    aRaft.mLeader = ReplicaId();
    aRaft.mPeers.clear();
    aRaft.mDeferred.clear();
  }
  FlushWrites(aRaft, aOut);
  RaftRoleChanged& reported = aRaft.mReportedRole;
  if (reported.mRole != aRaft.mRole || reported.mTerm != aRaft.mTerm ||
      reported.mLeader != aRaft.mLeader) {
    reported = RaftRoleChanged{ aRaft.mRole, aRaft.mTerm, aRaft.mLeader };
    aOut.emplace_back(reported);
  }
}

bool
IsLeader(const Raft& aRaft)
{
  return aRaft.mRole == RaftRole::eLeader && !aRaft.mFailed;
}

size_t
VotesGot(const Raft& aRaft)
{
  return static_cast<size_t>(
    std::count_if(aRaft.mVoteAnswers.begin(),
                  aRaft.mVoteAnswers.end(),
                  [&](const auto& aAnswer) {
                    return aAnswer.second && IsVoter(aRaft, aAnswer.first);
                  }));
}

ReplicaId
LeaderOf(const Raft& aRaft)
{
  return aRaft.mLeader;
}

Term
TermOf(const Raft& aRaft)
{
  return aRaft.mTerm;
}

LogIndex
CommitIndex(const Raft& aRaft)
{
  return aRaft.mCommit;
}

bool
KnowsCommit(const Raft& aRaft)
{
  return aRaft.mKnowsCommit;
}

const ReplicaSet&
ReplicasOf(const Raft& aRaft)
{
  return aRaft.mReplicas.back().mReplicas;
}

bool
HasLostDisk(const Raft& aRaft)
{
  return aRaft.mLostDisk;
}

std::vector<ReplicaId>
VotersWithLostDisk(const Raft& aRaft)
{
  std::vector<ReplicaId> lost;
  for (const ReplicaId id : aRaft.mLostDiskVoters) {
    if (IsVoter(aRaft, id)) {
      lost.push_back(id);
    }
  }
  return lost;
}

bool
HasFailed(const Raft& aRaft)
{
  return aRaft.mFailed;
}

MonoTime
NextWakeup(const Raft& aRaft)
{
  if (aRaft.mFailed) {
    return kNever;
  }
  if (aRaft.mRole != RaftRole::eLeader) {
    return aRaft.mElectionDue;
  }
  return aRaft.mHeartbeatDue;
}

} // namespace caraway
