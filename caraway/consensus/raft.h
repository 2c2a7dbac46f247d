#pragma once
// Raft consensus on a replicated log, as a state machine without I/O.
//
// Source: D. Ongaro, "Consensus: Bridging Theory and Practice" (2014), with
// pre-vote, check-quorum, a leader lease and learners.
//
// The caller passes in time, messages and completed writes, and carries out the
// returned actions in order. No entry is acknowledged and no vote is sent
// before RaftWritten has reported the write that contains it as synced.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "caraway/base/random.h"
#include "caraway/base/time.h"
#include "caraway/wire/raft_messages.h"

namespace caraway {

// Maximum payload of an entry, so that a message with one fits in a frame of
// 1 MiB.
constexpr size_t kMaxEntryBytes = 768 * 1024;

enum class RaftRole : uint8_t
{
  eFollower,
  ePreCandidate,
  eCandidate,
  eLeader,
};

struct RaftSettings
{
  Duration mHeartbeat = Millis(100);
  Duration mElectionMin = Millis(500); // also the length of the leader lease
  Duration mElectionMax = Millis(900);
  uint32_t mMaxAppendBytes = 512 * 1024; // per AppendRequest
  uint32_t mSnapshotEvery = 20000;       // log entries between snapshots
  uint64_t mSnapshotBytes = 64 << 20;    // payload bytes between snapshots
  uint32_t mTailEntries = 5000;   // kept in memory before the snapshot, so
  uint64_t mTailBytes = 16 << 20; // that a slow replica needs no snapshot
  uint64_t mMaxPendingBytes = 32 << 20; // proposed and not yet committed
};

// A member of the replica set. Learners receive the log and do not vote.
struct Replica
{
  ReplicaId mId;
  std::string mAddress; // peer address
  bool mVoter = true;
  // Identity of the data folder that holds this replica's vote; 0: unknown. Set
  // by the leader at the first election and at promotion. Messages under this
  // id from another folder are ignored, since a replica that lost its disk has
  // also lost the record of its vote.
  uint64_t mDisk = 0;
};

struct ReplicaSet
{
  std::vector<Replica> mReplicas;
};

// Must be synced before any message that depends on it is sent.
struct HardState
{
  Term mTerm;
  ReplicaId mVotedFor;
};

struct SnapshotMark
{
  LogIndex mIndex; // last log entry that the snapshot covers
  Term mTerm;
  ReplicaSet mReplicas; // as of that entry
};

// What a replica reads from its disk at startup.
struct RaftRecovered
{
  uint64_t mDisk = 0; // random identity of the data folder; 0: not checked
  HardState mHard;
  SnapshotMark mSnapshot;         // no snapshot yet if mIndex is none
  std::vector<LogEntry> mEntries; // after the snapshot, without gaps
};

// Action: write and sync atomically, then call RaftWritten with mWrite.
struct RaftWrite
{
  uint64_t mWrite = 0; // sequence number, increases by one
  std::optional<HardState> mHard;
  LogIndex mTruncateFrom; // drop this entry and all later ones; none: keep
  std::vector<LogEntry> mAppend;
};

// Action: send a message.
struct RaftSend
{
  std::string mAddress;
  RaftMessage mMessage;
};

// Action: apply committed entries. They come in order, each exactly once per
// process start.
struct RaftApply
{
  std::vector<LogEntry> mEntries;
};

// Action: take a snapshot of the applied state and call RaftSnapshotTaken.
struct RaftTakeSnapshot
{
  LogIndex mUpTo;
  SnapshotMark mMark; // describes mUpTo; stored with the state
};

// Action: read the part of the newest snapshot at this offset, or the first
// part of the next file if the file ends there, then call RaftSnapshotPartRead.
struct RaftReadSnapshotPart
{
  ReplicaId mTo;
  std::string mFile; // empty: the first file
  uint64_t mOffset = 0;
};

// Action: store a part of an incoming snapshot, then call
// RaftSnapshotPartStored. On mAllDone, sync the snapshot and load it into the
// state machine first.
struct RaftStoreSnapshotPart
{
  ReplicaId mFrom; // the sender, passed to RaftSnapshotPartStored
  SnapshotPart mPart;
};

// Action: the role, term or known leader changed.
struct RaftRoleChanged
{
  RaftRole mRole = RaftRole::eFollower;
  Term mTerm;
  ReplicaId mLeader; // none when unknown
};

using RaftAction = std::variant<RaftWrite,
                                RaftSend,
                                RaftApply,
                                RaftTakeSnapshot,
                                RaftReadSnapshotPart,
                                RaftStoreSnapshotPart,
                                RaftRoleChanged>;

struct Raft; // raft_state.h

} // namespace caraway
