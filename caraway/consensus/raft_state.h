#pragma once
// The state of one replica of the agreed log.

#include <deque>
#include <map>
#include <set>

#include "caraway/base/random.h"
#include "caraway/consensus/raft.h"

namespace caraway {

// The leader's view of one other replica.
struct RaftPeer
{
  LogIndex mMatch;      // known synced there and equal to the leader's log
  LogIndex mNext;       // next entry to send
  bool mProbing = true; // mNext is a guess; one append at a time
  std::deque<LogIndex> mInFlight; // last entries of unanswered appends
  MonoTime mLastReplyAt;          // receipt of the newest answer
  MonoTime mLastReplySentAt{ INT64_MIN /
                             4 }; // send time of the newest answered one
  uint64_t mDisk = 0;             // data folder seen in its answers

  // Snapshot transfer, one piece at a time.
  bool mTransfer = false;
  LogIndex mTransferIndex; // snapshot being sent
  std::string mFile;       // position asked for last
  uint64_t mOffset = 0;
  bool mReading = false; // a RaftReadSnapshotPart is being carried out
  std::optional<int64_t> mPartSentAt; // send time of the unanswered piece
  MonoTime mPartDue;                  // when the piece is read and sent again
};

// The log in memory. Entries up to mBase are dropped.
struct RaftLog
{
  LogIndex mBase; // none: the log starts at entry 1
  Term mBaseTerm;
  std::deque<LogEntry> mEntries; // mBase + 1 and on, without gaps
  uint64_t mBytes = 0;           // payload bytes of mEntries
  uint64_t mPendingBytes = 0;    // of those, not committed yet
};

// A replica set and the entry that introduced it.
struct RaftReplicaRecord
{
  LogIndex mIndex; // none: the initial set
  ReplicaSet mReplicas;
};

// A message that may leave once this write is synced.
struct RaftDeferredMessage
{
  uint64_t mWrite = 0;
  RaftSend mSend;
};

// The write that is being carried out. There is at most one; what comes
// meanwhile is collected in the next one, so that one sync covers many entries.
struct RaftPendingWrite
{
  uint64_t mWrite = 0;
  Term mTerm;     // this replica's term
  LogIndex mLast; // last entry after the write
  Term mLastTerm;
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
  bool mAwaitsFirstElection =
    false; // in the initial set and nothing recovered, see CheckFirstElection
  bool mLostDisk = false;

  RaftLog mLog;
  SnapshotMark mSnapshot; // newest one on this disk
  LogIndex mCommit;
  LogIndex mApplied;
  uint64_t mAppliedBytes = 0; // payload bytes applied since the snapshot
  std::deque<RaftReplicaRecord> mReplicas; // the last one is in force

  // Writing. Invariant: mDurable <= mWrittenTo <= last entry.
  uint64_t mNextWrite = 1;
  std::optional<RaftPendingWrite> mPendingWrite;
  bool mHardStateDirty = false;
  LogIndex mTruncateFrom; // none, or to be dropped from the disk
  LogIndex mWrittenTo;    // entries up to here were given to a write
  LogIndex mDurable;      // entries up to here are synced
  Term mDurableTerm;      // synced term
  std::deque<RaftDeferredMessage> mDeferred;

  // Elections.
  MonoTime mElectionDue;
  MonoTime mRefuseVotesUntil;           // no votes before; a leader was heard
  std::map<ReplicaId, uint64_t> mVotes; // granted, with the voter's disk

  // Leader.
  std::map<ReplicaId, RaftPeer> mPeers;
  std::set<ReplicaId> mLostDiskVoters; // voters that answer from another folder
  LogIndex mTermFirstIndex;            // first entry of this term
  MonoTime mHeartbeatDue;

  // Snapshots.
  bool mTakingSnapshot = false;
  bool mStoringPart = false; // a RaftStoreSnapshotPart is being carried out
  bool mInstallingSnapshot = false; // it is the last one; the log stands still
  int64_t mStoringSentAt = 0;

  RaftRoleChanged mReportedRole;
};

} // namespace caraway
