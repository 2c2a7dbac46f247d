#pragma once
// Internal functions of the agreement state machine, grouped by file.

#include "caraway/consensus/raft_api.h"

namespace caraway {

using RaftActions = std::vector<RaftAction>;

// raft_log.cpp: the log in memory and its way to the disk.
LogIndex
LastIndex(const Raft& aRaft);

// The term of an entry; none where the entry is not in memory.
std::optional<Term>
TermAt(const Raft& aRaft, LogIndex aIndex);

Term
LastTerm(const Raft& aRaft);

// aEntry must follow the last one.
void
AppendToLog(Raft& aRaft, LogEntry aEntry);

void
TruncateLog(Raft& aRaft, LogIndex aFrom);

// Drops entries in memory up to the snapshot, but for the tail that is kept for
// slow replicas.
void
CompactLog(Raft& aRaft);

// Replaces the log by an installed snapshot. Entries after it are kept if they
// continue it.
void
ResetLog(Raft& aRaft, const SnapshotMark& aMark);

void
SetTerm(Raft& aRaft, Term aTerm, ReplicaId aVotedFor);

// Queues the message until all that was decided so far is synced.
void
SendWhenSynced(Raft& aRaft, RaftSend aSend, RaftActions& aOut);

// Starts the next write if one is needed and none is being carried out.
void
FlushWrites(Raft& aRaft, RaftActions& aOut);

void
OnWritten(Raft& aRaft, MonoTime aNow, uint64_t aWrite, RaftActions& aOut);

// raft_election.cpp
void
BecomeFollower(Raft& aRaft, MonoTime aNow, Term aTerm, ReplicaId aLeader);

void
ResetElectionTimer(Raft& aRaft, MonoTime aNow);

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

// A replica with an empty disk that is in the initial set only takes part in
// the first election. All replicas vote in that one, so any other traffic shows
// that this replica has lost its disk, and with it its vote.
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

// Notes an answer of this term; false if it has to be ignored.
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

void
CommitTo(Raft& aRaft, LogIndex aIndex, RaftActions& aOut);

// Send time of the newest message that a majority has answered.
MonoTime
QuorumReplySentAt(const Raft& aRaft, MonoTime aNow);

bool
HasQuorumRepliedSince(const Raft& aRaft, MonoTime aSince);

// raft_snapshot.cpp
void
MaybeTakeSnapshot(Raft& aRaft, RaftActions& aOut);

void
StartSnapshotTransfer(Raft& aRaft,
                      MonoTime aNow,
                      ReplicaId aTo,
                      RaftActions& aOut);

// Sends pieces again that were not answered.
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

// The set as of an entry.
const ReplicaSet&
ReplicasAt(const Raft& aRaft, LogIndex aIndex);

// Called after each appended membership entry, truncation or recovery.
void
OnReplicasChanged(Raft& aRaft, MonoTime aNow);

// False if the sender's data folder is not the one that holds its vote.
bool
IsTrustedSender(const Raft& aRaft, const RaftMessage& aMessage);

// Builds a message to a replica; the address is empty if it is unknown.
RaftSend
MakeMessage(const Raft& aRaft, ReplicaId aTo);

// raft.cpp: common end of every public function.
void
FinishStep(Raft& aRaft, RaftActions& aOut);

} // namespace caraway
