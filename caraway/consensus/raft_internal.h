#pragma once
// Internal functions of the Raft state machine, grouped by source file.

#include "caraway/consensus/raft_api.h"

namespace caraway {

using RaftActions = std::vector<RaftAction>;

// raft_log.cpp: the log in memory and its writes to disk.
LogIndex
LastIndex(const Raft& aRaft);

// The term of an entry; none if the entry is not in memory.
std::optional<Term>
TermAt(const Raft& aRaft, LogIndex aIndex);

Term
LastTerm(const Raft& aRaft);

// aEntry must directly follow the last entry.
void
AppendToLog(Raft& aRaft, LogEntry aEntry);

// Drops aFrom and all later entries.
void
TruncateLog(Raft& aRaft, LogIndex aFrom);

// Drops entries in memory that the snapshot covers, except for the newest ones,
// which are kept for slow replicas (mTailEntries, mTailBytes).
void
CompactLog(Raft& aRaft);

// Replaces the log by an installed snapshot. Later entries are kept if the log
// matches the snapshot at its last entry.
void
ResetLog(Raft& aRaft, const SnapshotMark& aMark);

void
SetTerm(Raft& aRaft, Term aTerm, ReplicaId aVotedFor);

// Sends the message once all state changed so far is synced.
void
SendWhenSynced(Raft& aRaft, RaftSend aSend, RaftActions& aOut);

// Starts the next write if one is needed and none is in progress.
void
FlushWrites(Raft& aRaft, RaftActions& aOut);

void
OnWritten(Raft& aRaft, MonoTime aNow, uint64_t aWrite, RaftActions& aOut);

// raft_membership.cpp: records what is committed, at each heartbeat of the
// leader.
void
MarkCommit(Raft& aRaft, MonoTime aNow);

// raft_election.cpp
void
BecomeFollower(Raft& aRaft, MonoTime aNow, Term aTerm, ReplicaId aLeader);

void
ResetElectionTimer(Raft& aRaft, MonoTime aNow);

// Handles contact from the current leader: follow it and refuse votes for the
// shortest election timeout.
void
HeardLeader(Raft& aRaft, MonoTime aNow, ReplicaId aLeader);

void
StartPreVote(Raft& aRaft, MonoTime aNow, RaftActions& aOut);

void
OnVoteRequest(Raft& aRaft,
              MonoTime aNow,
              const RaftMessage& aMessage,
              const VoteRequest& aRequest,
              RaftActions& aOut);

void
OnVoteReply(Raft& aRaft,
            MonoTime aNow,
            const RaftMessage& aMessage,
            const VoteReply& aReply,
            RaftActions& aOut);

// The leader of this term has resigned, so its lease need not be waited for.
void
OnResignation(Raft& aRaft,
              MonoTime aNow,
              const RaftMessage& aMessage,
              const Resignation& aBody,
              RaftActions& aOut);

// True if the message may be handled. A replica of the initial set with an
// empty disk takes part only in the first election. That election needs the
// votes of all replicas, so any other traffic shows that this replica has lost
// its disk and its vote; mLostDisk is set.
bool
CheckFirstElection(Raft& aRaft, const RaftMessage& aMessage);

// raft_replication.cpp
void
BecomeLeader(Raft& aRaft, MonoTime aNow, RaftActions& aOut);

void
SendAppends(Raft& aRaft, MonoTime aNow, bool aHeartbeat, RaftActions& aOut);

void
SendAppend(Raft& aRaft,
           MonoTime aNow,
           ReplicaId aTo,
           bool aHeartbeat,
           RaftActions& aOut);

void
OnAppendReply(Raft& aRaft,
              MonoTime aNow,
              const RaftMessage& aMessage,
              const AppendReply& aReply,
              RaftActions& aOut);

// Records contact from a replica that replied in this term. False if the reply
// must be ignored.
bool
RecordReply(Raft& aRaft,
            MonoTime aNow,
            const RaftMessage& aMessage,
            Term aTerm,
            int64_t aSentAt);

// raft_follower.cpp
void
OnAppendRequest(Raft& aRaft,
                MonoTime aNow,
                const RaftMessage& aMessage,
                const AppendRequest& aRequest,
                RaftActions& aOut);

// raft_commit.cpp
void
AdvanceLeaderCommit(Raft& aRaft, MonoTime aNow, RaftActions& aOut);

// Advances the commit index to aIndex at most, and applies the entries.
void
CommitTo(Raft& aRaft, LogIndex aIndex, RaftActions& aOut);

// The latest time such that a majority has replied to messages sent then or
// later.
MonoTime
QuorumReplySentAt(const Raft& aRaft, MonoTime aNow);

// True if a majority's replies were received at aSince or later.
bool
HasQuorumRepliedSince(const Raft& aRaft, MonoTime aSince);

// raft_snapshot.cpp
// Takes a snapshot if enough was applied since the last one.
void
MaybeTakeSnapshot(Raft& aRaft, RaftActions& aOut);

void
StartSnapshotTransfer(Raft& aRaft,
                      MonoTime aNow,
                      ReplicaId aTo,
                      RaftActions& aOut);

// Reads and sends again the parts that were not answered in time.
void
RetrySnapshotTransfers(Raft& aRaft, MonoTime aNow, RaftActions& aOut);

void
OnSnapshotPart(Raft& aRaft,
               MonoTime aNow,
               const RaftMessage& aMessage,
               const SnapshotPart& aPart,
               RaftActions& aOut);

void
OnSnapshotPartReply(Raft& aRaft,
                    MonoTime aNow,
                    const RaftMessage& aMessage,
                    const SnapshotPartReply& aReply,
                    RaftActions& aOut);

// raft_membership.cpp
const Replica*
FindReplica(const ReplicaSet& aReplicas, ReplicaId aId);

bool
IsVoter(const Raft& aRaft, ReplicaId aId);

size_t
VoterCount(const Raft& aRaft);

// The replica set as of an entry.
const ReplicaSet&
ReplicasAt(const Raft& aRaft, LogIndex aIndex);

// Updates the peers and mLostDisk to the replica set in force. Called after
// each change of the set, on recovery and on becoming leader.
void
OnReplicasChanged(Raft& aRaft, MonoTime aNow);

// False if the sender's data folder is not the one that holds its vote.
bool
IsTrustedSender(const Raft& aRaft, const RaftMessage& aMessage);

// Builds a message without a body. The address is empty if it is unknown.
RaftSend
MakeMessage(const Raft& aRaft, ReplicaId aTo);

// raft.cpp: starts writes and reports a changed role; called at the end of the
// public functions.
void
FinishStep(Raft& aRaft, RaftActions& aOut);

} // namespace caraway
