#pragma once
// The Raft state of one replica.

#include <deque>
#include <map>
#include <set>

#include "caraway/base/random.h"
#include "caraway/consensus/raft.h"

namespace caraway {

// A place in a snapshot transfer: bytes up to mOffset of a file, and all files
// before it.
struct TransferPosition
{
  std::string mFile; // empty: the start
  uint64_t mOffset = 0;

  bool operator==(const TransferPosition&) const = default;
};

// A part of a snapshot that was sent and is not answered yet.
struct SentPart
{
  int64_t mSentAt = 0;
  TransferPosition mEnd;
};

// The leader's view of one other replica.
struct RaftPeer
{
  LogIndex mMatch;      // last entry known to be synced there and equal
  LogIndex mNext;       // next entry to send
  bool mProbing = true; // mNext is unconfirmed; one append at a time
  std::deque<LogIndex> mInFlight; // last entry of each unanswered append
  MonoTime mLastReplyAt;          // when its last reply came in
  // Send time of the newest message it replied to.
  MonoTime mLastReplySentAt{ INT64_MIN / 4 };
  uint64_t mDisk = 0; // data folder named in its replies

  // Snapshot transfer. Parts are sent ahead of the replies, in order.
  bool mTransfer = false;
  LogIndex mTransferIndex;     // snapshot being sent
  TransferPosition mConfirmed; // by the last reply
  TransferPosition mRead;      // up to here parts were read
  bool mReadAll = false;       // to the end of the snapshot
  bool mReading = false;       // a RaftReadSnapshotPart is in progress
  bool mReadStale = false;     // its result is not wanted any more
  std::deque<SentPart> mParts; // oldest first
  MonoTime mPartDue;           // then goes back to mConfirmed
};

// The log in memory, without the entries up to mBase.
struct RaftLog
{
  LogIndex mBase; // none: the log starts at entry 1
  Term mBaseTerm;
  std::deque<LogEntry> mEntries; // from mBase + 1 on, without gaps
  uint64_t mBytes = 0;           // payload bytes of mEntries
  uint64_t mPendingBytes = 0;    // of those not committed yet
};

// A replica set and the entry that introduced it.
struct RaftReplicaRecord
{
  LogIndex mIndex; // none: the initial set
  ReplicaSet mReplicas;
};

// A message that may be sent once this write is synced.
struct RaftDeferredMessage
{
  uint64_t mWrite = 0;
  RaftSend mSend;
};

// The write in progress. There is at most one; changes made meanwhile go into
// the next one together, so that one sync covers many entries (group commit).
struct RaftPendingWrite
{
  uint64_t mWrite = 0;
  Term mTerm;     // this replica's term
  LogIndex mLast; // last entry after the write
  Term mLastTerm;
};

// What was committed at a heartbeat.
struct RaftCommitMark
{
  MonoTime mAt;
  LogIndex mCommit;
};

struct Raft
{
  RaftSettings mSettings;
  GroupId mGroup;
  ReplicaId mSelf;
  uint64_t mDisk = 0;
  Random mRandom;

  RaftRole mRole = RaftRole::eFollower;
  Term mTerm;
  ReplicaId mVotedFor;
  ReplicaId mLeader; // none when unknown
  bool mFailed = false;
  // In the initial set with an empty disk, see CheckFirstElection.
  bool mAwaitsFirstElection = false;
  bool mLostDisk = false;

  RaftLog mLog;
  SnapshotMark mSnapshot; // newest one on this replica's disk
  LogIndex mCommit;
  LogIndex mApplied;
  // Since its start, this replica has applied all that a leader in office had
  // committed. Before that its state may be older than what was acknowledged.
  bool mKnowsCommit = false;
  uint64_t mAppliedBytes = 0; // payload bytes applied since the snapshot
  std::deque<RaftReplicaRecord> mReplicas; // the last is in force

  // Writes. Invariant: mDurable <= mWrittenTo <= last entry.
  uint64_t mNextWrite = 1;
  std::optional<RaftPendingWrite> mPendingWrite;
  bool mHardStateDirty = false;
  LogIndex mTruncateFrom; // drop from here on disk; none: keep all
  LogIndex mWrittenTo;    // last entry passed to a write
  LogIndex mDurable;      // last synced entry
  Term mDurableTerm;      // synced term
  std::deque<RaftDeferredMessage> mDeferred;

  // Elections.
  MonoTime mElectionDue;
  MonoTime mRefuseVotesUntil; // set on contact with a leader
  Term mLeaderTerm; // newest term in which a leader is known to have led
  // This replica has voted in mTerm, and no pre-vote for a later term succeeds
  // here until the candidate had time to win.
  MonoTime mVoteInProgressUntil;
  std::map<ReplicaId, uint64_t> mVotes; // granted, with the voter's folder

  // Replies to the last attempt to be elected, true: granted. For logs.
  std::map<ReplicaId, bool> mVoteAnswers;

  // Leader.
  std::map<ReplicaId, RaftPeer> mPeers;
  // Voters that send from another data folder.
  std::set<ReplicaId> mLostDiskVoters;
  LogIndex mTermFirstIndex; // first entry of this term
  MonoTime mHeartbeatDue;
  // One mark per heartbeat, oldest first. The first is the newest that is at
  // least CatchUpTime old, or that of the start of the leadership.
  std::deque<RaftCommitMark> mCommitMarks;

  // Snapshots.
  bool mTakingSnapshot = false;
  bool mStoringPart = false; // a RaftStoreSnapshotPart is in progress
  // It is the last part; the log must not change.
  bool mInstallingSnapshot = false;
  int64_t mStoringSentAt = 0;

  RaftRoleChanged mReportedRole; // last one returned
};

} // namespace caraway
