// Elections: pre-vote, votes, and the rules that prevent two leaders.

#include <algorithm>

#include "caraway/base/lease.h"
#include "caraway/consensus/raft_internal.h"

namespace caraway {

namespace {

// A vote takes a sync of the candidate and one of the voter, so elections
// between slow disks fail until they are given more time than that. The limit
// keeps a later attempt within some seconds.
constexpr uint64_t kMaxElectionDoublings = 4;

// The factor for the timeouts of an election in this term. All replicas agree
// on it, since they count the terms that passed without a leader.
int64_t
ElectionPatience(const Raft& aRaft)
{
  const uint64_t failed = aRaft.mTerm.mValue > aRaft.mLeaderTerm.mValue
                            ? aRaft.mTerm.mValue - aRaft.mLeaderTerm.mValue - 1
                            : 0;
  return int64_t{ 1 } << std::min(failed, kMaxElectionDoublings);
}

void
DrawElectionTime(Raft& aRaft, MonoTime aNow, int64_t aPatience)
{
  // Not before the leader lease that this replica supports has expired.
  const MonoTime first =
    GrantorLeaseEnd(aNow, aRaft.mSettings.mElectionMin * aPatience) + Micros(1);
  const MonoTime last = aNow + aRaft.mSettings.mElectionMax * aPatience;
  const int64_t spread = std::max<int64_t>((last - first).mMicros, 1);
  aRaft.mElectionDue =
    first + Micros(static_cast<int64_t>(
              DrawBelow(aRaft.mRandom, static_cast<uint64_t>(spread))));
}

// Gives the candidate that this replica has voted for time to win.
void
AwaitElection(Raft& aRaft, MonoTime aNow)
{
  const int64_t patience = ElectionPatience(aRaft);
  DrawElectionTime(aRaft, aNow, patience);
  aRaft.mVoteInProgressUntil = aNow + aRaft.mSettings.mElectionMin * patience;
}

} // namespace

void
ResetElectionTimer(Raft& aRaft, MonoTime aNow)
{
  DrawElectionTime(aRaft, aNow, 1);
}

void
BecomeFollower(Raft& aRaft, MonoTime aNow, Term aTerm, ReplicaId aLeader)
{
  if (aTerm > aRaft.mTerm) {
    SetTerm(aRaft, aTerm, ReplicaId());
  }
  if (aRaft.mRole != RaftRole::eFollower) {
    ResetElectionTimer(aRaft, aNow);
  }
  aRaft.mRole = RaftRole::eFollower;
  aRaft.mLeader = aLeader;
  aRaft.mVotes.clear();
  aRaft.mPeers.clear();
}

void
HeardLeader(Raft& aRaft, MonoTime aNow, ReplicaId aLeader)
{
  BecomeFollower(aRaft, aNow, aRaft.mTerm, aLeader);
  aRaft.mRefuseVotesUntil = GrantorLeaseEnd(aNow, aRaft.mSettings.mElectionMin);
  aRaft.mLeaderTerm = aRaft.mTerm;
  ResetElectionTimer(aRaft, aNow);
}

namespace {

// The first election needs the votes of all replicas, so that a replica whose
// disk is found empty later can be told from one that never voted.
size_t
VotesNeeded(const Raft& aRaft)
{
  const size_t voters = VoterCount(aRaft);
  return LastIndex(aRaft).IsNone() ? voters : voters / 2 + 1;
}

bool
HasEnoughVotes(const Raft& aRaft)
{
  const auto granted = static_cast<size_t>(
    std::count_if(aRaft.mVotes.begin(), aRaft.mVotes.end(), [&](auto& aVote) {
      return IsVoter(aRaft, aVote.first);
    }));
  return granted >= VotesNeeded(aRaft);
}

void
RequestVotes(Raft& aRaft, bool aPreVote, RaftActions& aOut)
{
  VoteRequest request;
  request.mTerm = aPreVote ? Term(aRaft.mTerm.mValue + 1) : aRaft.mTerm;
  request.mPreVote = aPreVote;
  request.mLastIndex = LastIndex(aRaft);
  request.mLastTerm = LastTerm(aRaft);
  for (const Replica& replica : aRaft.mReplicas.back().mReplicas.mReplicas) {
    if (replica.mId == aRaft.mSelf || !replica.mVoter) {
      continue;
    }
    RaftSend send = MakeMessage(aRaft, replica.mId);
    send.mMessage.mBody = request;
    SendWhenSynced(aRaft, std::move(send), aOut);
  }
}

// True if this replica is a voter in any set since the snapshot. A replica
// whose removal is in its log can still be a candidate while that removal may
// be uncommitted, since it may be the only one whose log is long enough to win.
// If the removal was committed, the others follow a leader and do not reply.
bool
CanBeCandidate(const Raft& aRaft)
{
  return std::any_of(
    aRaft.mReplicas.begin(), aRaft.mReplicas.end(), [&](const auto& aRecord) {
      const Replica* self = FindReplica(aRecord.mReplicas, aRaft.mSelf);
      return self != nullptr && self->mVoter;
    });
}

void
StartVote(Raft& aRaft, MonoTime aNow, RaftActions& aOut)
{
  aRaft.mRole = RaftRole::eCandidate;
  SetTerm(aRaft, Term(aRaft.mTerm.mValue + 1), aRaft.mSelf);
  aRaft.mAwaitsFirstElection = false;
  aRaft.mVotes.clear();
  AwaitElection(aRaft, aNow);
  RequestVotes(aRaft, false, aOut);
  // This replica's own vote counts once it is synced; OnWritten then delivers
  // it as a reply.
  RaftSend own;
  own.mMessage.mGroup = aRaft.mGroup;
  own.mMessage.mFrom = own.mMessage.mTo = aRaft.mSelf;
  own.mMessage.mDisk = aRaft.mDisk;
  own.mMessage.mBody = VoteReply{ aRaft.mTerm, false, true };
  aRaft.mDeferred.push_back({ aRaft.mNextWrite, std::move(own) });
}

// A candidate's log must be at least as up to date as this replica's.
bool
IsUpToDate(const Raft& aRaft, const VoteRequest& aRequest)
{
  const Term last = LastTerm(aRaft);
  return aRequest.mLastTerm > last || (aRequest.mLastTerm == last &&
                                       aRequest.mLastIndex >= LastIndex(aRaft));
}

// True if a leader made contact recently, or this replica leads and a majority
// replies. No votes are granted then, not even for a higher term; the leader
// lease depends on this.
bool
HasLiveLeader(const Raft& aRaft, MonoTime aNow)
{
#ifdef CARAWAY_PLANTED_FAULT_skip_prevote_stickiness
  return false;
#endif
  if (aRaft.mRole == RaftRole::eLeader) {
    return HasQuorumRepliedSince(aRaft, aNow - aRaft.mSettings.mElectionMin);
  }
  return aNow <= aRaft.mRefuseVotesUntil;
}

void
Reply(const Raft& aRaft, ReplicaId aTo, VoteReply aReply, RaftActions& aOut)
{
  RaftSend send = MakeMessage(aRaft, aTo);
  send.mMessage.mBody = aReply;
  aOut.emplace_back(std::move(send));
}

} // namespace

void
StartPreVote(Raft& aRaft, MonoTime aNow, RaftActions& aOut)
{
  ResetElectionTimer(aRaft, aNow);
  // Also without a candidacy: a replica outside the set would ask a former
  // leader for ever to be added.
  BecomeFollower(aRaft, aNow, aRaft.mTerm, ReplicaId());
  aRaft.mVoteAnswers.clear();
  if (!CanBeCandidate(aRaft) || aRaft.mInstallingSnapshot || aRaft.mLostDisk) {
    return;
  }
  aRaft.mRole = RaftRole::ePreCandidate;
  aRaft.mVotes[aRaft.mSelf] = aRaft.mDisk; // not counted unless a voter
  aRaft.mVoteAnswers[aRaft.mSelf] = true;
  if (HasEnoughVotes(aRaft)) {
    StartVote(aRaft, aNow, aOut);
  } else {
    RequestVotes(aRaft, true, aOut);
  }
}

void
OnVoteRequest(Raft& aRaft,
              MonoTime aNow,
              const RaftMessage& aMessage,
              const VoteRequest& aRequest,
              RaftActions& aOut)
{
  if (aRaft.mInstallingSnapshot || aRaft.mLostDisk ||
      HasLiveLeader(aRaft, aNow)) {
    return;
  }
  if (aRequest.mPreVote) {
    const bool granted = aRequest.mTerm > aRaft.mTerm &&
                         aNow >= aRaft.mVoteInProgressUntil &&
                         IsUpToDate(aRaft, aRequest);
    const Term term = granted ? aRequest.mTerm : aRaft.mTerm;
    Reply(aRaft, aMessage.mFrom, VoteReply{ term, true, granted }, aOut);
    return;
  }
  if (aRequest.mTerm > aRaft.mTerm) {
    BecomeFollower(aRaft, aNow, aRequest.mTerm, ReplicaId());
  }
  bool mayVote =
    aRequest.mTerm == aRaft.mTerm &&
    (aRaft.mVotedFor.IsNone() || aRaft.mVotedFor == aMessage.mFrom);
#ifdef CARAWAY_PLANTED_FAULT_vote_twice
  mayVote = aRequest.mTerm == aRaft.mTerm;
#endif
  if (!mayVote || !IsUpToDate(aRaft, aRequest)) {
    Reply(aRaft, aMessage.mFrom, VoteReply{ aRaft.mTerm, false, false }, aOut);
    return;
  }
  if (aRaft.mVotedFor.IsNone()) {
    SetTerm(aRaft, aRaft.mTerm, aMessage.mFrom);
  }
  aRaft.mAwaitsFirstElection = false;
  AwaitElection(aRaft, aNow);
  RaftSend send = MakeMessage(aRaft, aMessage.mFrom);
  send.mMessage.mBody = VoteReply{ aRaft.mTerm, false, true };
  SendWhenSynced(aRaft, std::move(send), aOut);
}

void
OnVoteReply(Raft& aRaft,
            MonoTime aNow,
            const RaftMessage& aMessage,
            const VoteReply& aReply,
            RaftActions& aOut)
{
  aRaft.mVoteAnswers[aMessage.mFrom] = aReply.mGranted;
  if (!aReply.mGranted) {
    if (aReply.mTerm > aRaft.mTerm && !aRaft.mAwaitsFirstElection) {
      BecomeFollower(aRaft, aNow, aReply.mTerm, ReplicaId());
    }
    return;
  }
  const RaftRole expected =
    aReply.mPreVote ? RaftRole::ePreCandidate : RaftRole::eCandidate;
  const uint64_t term = aRaft.mTerm.mValue + (aReply.mPreVote ? 1 : 0);
  if (aRaft.mRole != expected || aReply.mTerm.mValue != term) {
    return;
  }
  aRaft.mVotes[aMessage.mFrom] = aMessage.mDisk;
  if (!HasEnoughVotes(aRaft)) {
    return;
  }
  if (aReply.mPreVote) {
    StartVote(aRaft, aNow, aOut);
  } else {
    BecomeLeader(aRaft, aNow, aOut);
  }
}

void
OnResignation(Raft& aRaft,
              MonoTime aNow,
              const RaftMessage& aMessage,
              const Resignation& aBody,
              RaftActions& aOut)
{
  const bool follows =
    aRaft.mLeader.IsNone() || aRaft.mLeader == aMessage.mFrom;
  if (aBody.mTerm != aRaft.mTerm || !follows ||
      aRaft.mRole != RaftRole::eFollower) {
    return;
  }
  aRaft.mLeader = ReplicaId();
  aRaft.mRefuseVotesUntil = aNow - Micros(1);
  if (aBody.mSuccessor == aRaft.mSelf && IsVoter(aRaft, aRaft.mSelf) &&
      !aRaft.mInstallingSnapshot && !aRaft.mLostDisk) {
    StartVote(aRaft, aNow, aOut);
  }
}

bool
CheckFirstElection(Raft& aRaft, const RaftMessage& aMessage)
{
  if (!aRaft.mAwaitsFirstElection || aMessage.mFrom == aRaft.mSelf) {
    return true;
  }
  if (const auto* request = std::get_if<VoteRequest>(&aMessage.mBody)) {
    if (request->mLastIndex.IsNone()) {
      return true;
    }
  } else if (const auto* reply = std::get_if<VoteReply>(&aMessage.mBody)) {
    if (reply->mGranted) {
      return true;
    }
    return false; // a refusal does not show an earlier vote
  }
  aRaft.mLostDisk = true;
  return false;
}

} // namespace caraway
