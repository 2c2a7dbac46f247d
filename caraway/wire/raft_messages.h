#pragma once
// Messages between control replicas (module consensus).

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
  Term mTerm; // the candidate's term, or the one it would use (pre-vote)
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
  int64_t mSentAt = 0; // leader's monotonic µs, echoed for the leader lease
};

struct AppendReply
{
  Term mTerm;
  bool mAccepted = false;
  LogIndex mMatch;     // last index known synced and equal (accepted)
  LogIndex mNextHint;  // where to go on (refused)
  int64_t mSentAt = 0; // echo
};

// One piece of a snapshot. Pieces are sent one at a time and acknowledged.
struct SnapshotPart
{
  Term mTerm;
  LogIndex mLastIndex; // the snapshot covers the log up to here
  Term mLastTerm;
  std::string mFile;  // "state", or the name of a blob file
  std::string mAfter; // with mOffset 0: the file before, empty: the first one
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
  uint64_t mNextOffset = 0; // bytes held of this file
  bool mInstalled = false;  // the whole snapshot is synced and in use
  int64_t mSentAt = 0;      // echo
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
               SnapshotPartReply>
    mBody;
};

} // namespace caraway
