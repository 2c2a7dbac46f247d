#pragma once
// Public functions of the Raft state machine. Each appends the actions that the
// caller must carry out in order (see raft.h).

#include "caraway/consensus/raft_state.h"

namespace caraway {

// aInitial is used only if nothing was recovered. The first election needs the
// votes of all its replicas. A replica that joins an existing group must not be
// listed in its own aInitial, or it concludes that it has lost its disk.
Raft
MakeRaft(const RaftSettings& aSettings,
         GroupId aGroup,
         ReplicaId aSelf,
         RaftRecovered aRecovered,
         const ReplicaSet& aInitial,
         uint64_t aSeed,
         MonoTime aNow);

// Runs what is due: elections, heartbeats and retransmissions. Call it at
// NextWakeup.
void
RaftWakeup(Raft& aRaft, MonoTime aNow, std::vector<RaftAction>& aOut);

void
RaftReceive(Raft& aRaft,
            MonoTime aNow,
            const RaftMessage& aMessage,
            std::vector<RaftAction>& aOut);

// Reports a RaftWrite as synced (aOk) or failed. After a failure the replica
// stops taking part in the group.
void
RaftWritten(Raft& aRaft,
            MonoTime aNow,
            uint64_t aWrite,
            bool aOk,
            std::vector<RaftAction>& aOut);

// Appends an entry on the leader; fails with eNotLeader elsewhere. The entry
// can still be lost if leadership is lost. It is committed once RaftApply
// returns it with the same index and term.
absl::StatusOr<LogIndex>
RaftPropose(Raft& aRaft,
            MonoTime aNow,
            LogEntryKind aKind,
            std::string aPayload,
            std::vector<RaftAction>& aOut);

// True once the applied state includes all that was committed before this
// replica started.
bool
KnowsCommit(const Raft& aRaft);

// Ends the leadership of this replica, and gives the others time to elect one
// of them. aSuccessor is asked to become a candidate at once; none: nobody is.
void
RaftResign(Raft& aRaft,
           MonoTime aNow,
           ReplicaId aSuccessor,
           std::vector<RaftAction>& aOut);

// The voter whose log is the most complete of aAmong, as far as the leader
// knows; none if there is none.
ReplicaId
BestSuccessor(const Raft& aRaft, const std::vector<ReplicaId>& aAmong);

// Replaces the replica set by one that differs in one replica; fails with
// eNotLeader except on the leader. New replicas must be added as learners first
// and can be promoted once they have caught up.
absl::StatusOr<LogIndex>
RaftChangeReplicas(Raft& aRaft,
                   MonoTime aNow,
                   const ReplicaSet& aNew,
                   std::vector<RaftAction>& aOut);

// Reports the result of RaftTakeSnapshot.
void
RaftSnapshotTaken(Raft& aRaft,
                  MonoTime aNow,
                  const SnapshotMark& aMark,
                  bool aOk,
                  std::vector<RaftAction>& aOut);

// Reports the result of RaftReadSnapshotPart.
void
RaftSnapshotPartRead(Raft& aRaft,
                     MonoTime aNow,
                     ReplicaId aTo,
                     const SnapshotPart& aPart,
                     bool aOk,
                     std::vector<RaftAction>& aOut);

// Reports the result of RaftStoreSnapshotPart. An empty aReply.mFile means that
// the part did not continue what is stored, and the transfer starts over. aMark
// is set when the last part was stored and the state machine has been replaced.
void
RaftSnapshotPartStored(Raft& aRaft,
                       MonoTime aNow,
                       ReplicaId aFrom,
                       const SnapshotPartReply& aReply,
                       const SnapshotMark& aMark,
                       bool aOk,
                       std::vector<RaftAction>& aOut);

bool
IsLeader(const Raft& aRaft);

// True while no other leader can exist: a majority has answered messages sent
// within the shortest election timeout, corrected for clock drift, and an entry
// of this term is committed. The leader may serve reads, leases and grants only
// while this holds.
bool
HoldsLeaderLease(const Raft& aRaft, MonoTime aNow);

// Votes or pre-votes that the last attempt of this replica to be elected got,
// its own included.
size_t
VotesGot(const Raft& aRaft);

// None if unknown.
ReplicaId
LeaderOf(const Raft& aRaft);

Term
TermOf(const Raft& aRaft);

LogIndex
CommitIndex(const Raft& aRaft);

// The replica set in force, which may be uncommitted.
const ReplicaSet&
ReplicasOf(const Raft& aRaft);

// True if the group has recorded another data folder for this replica's id. The
// replica then takes no part in the group; start it with a new id.
bool
HasLostDisk(const Raft& aRaft);

// Voters that send from a data folder other than the one that holds their vote.
// They count as lost; replace them by replicas with new ids.
std::vector<ReplicaId>
VotersWithLostDisk(const Raft& aRaft);

// True after a failed write; the replica then takes no part in the group.
bool
HasFailed(const Raft& aRaft);

// When to call RaftWakeup next; kNever after a failure.
MonoTime
NextWakeup(const Raft& aRaft);

} // namespace caraway
