#pragma once
// The functions of the agreement state machine. Each appends actions that the
// caller carries out in order (see raft.h).

#include "caraway/consensus/raft_state.h"

namespace caraway {

// aInitial is only used when nothing was recovered. The first election needs
// all of its replicas. A replica that joins an existing group must not be
// listed in its own aInitial; otherwise it takes itself for one that lost its
// disk.
Raft
MakeRaft(const RaftSettings& aSettings,
         GroupId aGroup,
         ReplicaId aSelf,
         RaftRecovered aRecovered,
         const ReplicaSet& aInitial,
         uint64_t aSeed,
         MonoTime aNow);

void
RaftWakeup(Raft& aRaft, MonoTime aNow, std::vector<RaftAction>& aOut);

void
RaftReceive(Raft& aRaft,
            MonoTime aNow,
            const RaftMessage& aMessage,
            std::vector<RaftAction>& aOut);

// A RaftWrite is synced (aOk) or failed. After a failure the replica does
// nothing more.
void
RaftWritten(Raft& aRaft,
            MonoTime aNow,
            uint64_t aWrite,
            bool aOk,
            std::vector<RaftAction>& aOut);

// Leader only: appends an entry. kNotLeader error otherwise. The entry may
// still be lost if leadership is lost; it took effect once it comes back in
// RaftApply with the same index and term.
absl::StatusOr<LogIndex>
RaftPropose(Raft& aRaft,
            MonoTime aNow,
            LogEntryKind aKind,
            std::string aPayload,
            std::vector<RaftAction>& aOut);

// Leader only: replaces the replica set by one that differs in one replica. New
// replicas must be added as learners first and are promoted when caught up.
absl::StatusOr<LogIndex>
RaftChangeReplicas(Raft& aRaft,
                   MonoTime aNow,
                   const ReplicaSet& aNew,
                   std::vector<RaftAction>& aOut);

void
RaftSnapshotTaken(Raft& aRaft,
                  MonoTime aNow,
                  const SnapshotMark& aMark,
                  bool aOk,
                  std::vector<RaftAction>& aOut);

void
RaftSnapshotPartRead(Raft& aRaft,
                     MonoTime aNow,
                     ReplicaId aTo,
                     const SnapshotPart& aPart,
                     bool aOk,
                     std::vector<RaftAction>& aOut);

// aReply.mFile empty: the piece did not fit, the transfer starts anew. aMark is
// set when the last part was stored; the state machine has been
// replaced.
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

// True while no other leader can exist: a majority answered within the shortest
// election timeout, corrected for drift, and an entry of this term is
// committed. Only then may the leader serve reads, leases and grants.
bool
HoldsLeaderLease(const Raft& aRaft, MonoTime aNow);

// None when unknown.
ReplicaId
LeaderOf(const Raft& aRaft);

Term
TermOf(const Raft& aRaft);

LogIndex
CommitIndex(const Raft& aRaft);

const ReplicaSet&
ReplicasOf(const Raft& aRaft);

// True when the other replicas hold a vote of this id on another data folder.
// The replica then takes no part in the group; give it a new id.
bool
HasLostDisk(const Raft& aRaft);

// Voters that answer from a data folder other than the one that holds their
// vote. They count as lost; replace them by replicas with new ids.
std::vector<ReplicaId>
VotersWithLostDisk(const Raft& aRaft);

// True after a failed write; the replica does nothing more.
bool
HasFailed(const Raft& aRaft);

MonoTime
NextWakeup(const Raft& aRaft);

} // namespace caraway
