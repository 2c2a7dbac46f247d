#pragma once
// Leader-based agreement on one log (Raft), as a state machine without I/O.
//
// Source: D. Ongaro, "Consensus: Bridging Theory and Practice" (2014), with
// pre-vote, check-quorum, a leader lease and learners.
//
// Use: feed time, messages and finished writes in; carry the actions out in
// order. Nothing is acknowledged, and no vote leaves, before RaftWritten
// reports the write that contains it as synced.

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

// Payload of one entry; a message with one entry fits into a frame of 1 MiB.
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
  uint32_t mTailEntries = 5000;   // kept in memory behind the snapshot, so
  uint64_t mTailBytes = 16 << 20; // that a slow replica needs no transfer
  uint64_t mMaxPendingBytes = 32 << 20; // proposed and not yet committed
};

// A member of the replica set. Learners receive the log and do not vote.
struct Replica
{
  ReplicaId mId;
  std::string mAddress; // peer address
  bool mVoter = true;
  // Identity of the data folder this replica votes with, 0 while unknown. Set
  // by the leader at the first election and at promotion. Messages sent from
  // another folder under this id are ignored, since a replica that lost its
  // disk has also lost its vote.
  uint64_t mDisk = 0;
};

struct ReplicaSet
{
  std::vector<Replica> mReplicas;
};

// Must be synced before any message that depends on it leaves.
struct HardState
{
  Term mTerm;
  ReplicaId mVotedFor;
};

struct SnapshotMark
{
  LogIndex mIndex; // last log entry the snapshot covers
  Term mTerm;
  ReplicaSet mReplicas; // as of that entry
};

// What a replica finds on its disk at start.
struct RaftRecovered
{
  uint64_t mDisk = 0; // identity of the data folder, random, 0: not checked
  HardState mHard;
  SnapshotMark mSnapshot;         // mIndex none: no snapshot yet
  std::vector<LogEntry> mEntries; // after the snapshot, without gaps
};

// Action: write and sync as one unit, then call RaftWritten with the number.
struct RaftWrite
{
  uint64_t mWrite = 0; // increases by one
  std::optional<HardState> mHard;
  LogIndex mTruncateFrom; // none, or drop this entry and all after it
  std::vector<LogEntry> mAppend;
};

struct RaftSend
{
  std::string mAddress;
  RaftMessage mMessage;
};

// Action: committed entries, in order, each exactly once per process start.
struct RaftApply
{
  std::vector<LogEntry> mEntries;
};

// Action: take a snapshot of the applied state and call RaftSnapshotTaken.
struct RaftTakeSnapshot
{
  LogIndex mUpTo;
  SnapshotMark mMark; // of mUpTo, to be stored with the state
};

// Action: read the piece of the newest snapshot at this offset, or the first
// piece of the next file where the file ends there; then call
// RaftSnapshotPartRead.
struct RaftReadSnapshotPart
{
  ReplicaId mTo;
  std::string mFile; // empty: the first file
  uint64_t mOffset = 0;
};

// Action: store a piece of an incoming snapshot, synced when mAllDone, then
// call RaftSnapshotPartStored. On mAllDone the state machine loads it first.
struct RaftStoreSnapshotPart
{
  ReplicaId mFrom; // the leader that sent it, to be named in the result
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
