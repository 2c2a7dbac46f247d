#pragma once
// Raft messages between control replicas; see caraway/consensus.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "caraway/base/ids.h"

namespace caraway {

enum class LogEntryKind : uint8_t
{
  eNoop,       // first entry of a term
  eCommand,    // an encoded ControlCommand
  eMembership, // an encoded ReplicaSet
};

struct LogEntry
{
  LogIndex mIndex;
  Term mTerm;
  LogEntryKind mKind = LogEntryKind::eCommand;
  std::string mPayload; // at most 768 KiB
};

struct VoteRequest
{
  Term mTerm; // the candidate's term; for a pre-vote, its next term
  bool mPreVote = false;
  LogIndex mLastIndex;
  Term mLastTerm;
};

struct VoteReply
{
  Term mTerm;
  bool mPreVote = false;
  bool mGranted = false;
};

struct AppendRequest
{
  Term mTerm;
  LogIndex mPreviousIndex;
  Term mPreviousTerm;
  std::vector<LogEntry> mEntries; // may be empty (heartbeat)
  LogIndex mCommit;
  int64_t mSentAt = 0; // leader's monotonic µs, echoed for its lease
};

struct AppendReply
{
  Term mTerm;
  bool mAccepted = false;
  LogIndex mMatch;     // if accepted: last index that matches and is synced
  LogIndex mNextHint;  // if refused: where the leader should continue
  int64_t mSentAt = 0; // echo
};

// One part of a snapshot. The next part is sent once this one is acknowledged.
struct SnapshotPart
{
  Term mTerm;
  LogIndex mLastIndex; // last log entry that the snapshot covers
  Term mLastTerm;
  std::string mFile;  // "state", or the name of a blob file
  std::string mAfter; // if mOffset is 0: the preceding file, empty: none
  uint64_t mOffset = 0;
  std::string mBytes; // at most 256 KiB
  bool mFileDone = false;
  bool mAllDone = false;
  int64_t mSentAt = 0;
};

struct SnapshotPartReply
{
  Term mTerm;
  LogIndex mLastIndex;
  std::string mFile;
  uint64_t mNextOffset = 0; // bytes received of this file
  bool mInstalled = false;  // the whole snapshot is synced and in use
  int64_t mSentAt = 0;      // echo
};

// Leader -> others: it leads no longer and holds no lease in this term. The
// successor becomes a candidate at once.
struct Resignation
{
  Term mTerm;
  ReplicaId mSuccessor; // none: the others elect as after a loss
};

struct RaftMessage
{
  GroupId mGroup;
  ReplicaId mFrom;
  ReplicaId mTo;
  uint64_t mDisk = 0; // identity of the sender's data folder, 0: unknown
  std::variant<VoteRequest,
               VoteReply,
               AppendRequest,
               AppendReply,
               SnapshotPart,
               SnapshotPartReply,
               Resignation>
    mBody;
};

} // namespace caraway
