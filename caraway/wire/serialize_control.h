#pragma once
// Internal: cereal functions of Raft, session and grant messages. Include this
// file only in codec .cpp files.

#include "caraway/wire/messages.h"
#include "caraway/wire/serialize_config.h"

namespace caraway {

template<class Archive>
void
serialize(Archive& aArchive, LogEntry& aValue)
{
  aArchive(aValue.mIndex, aValue.mTerm, aValue.mKind, aValue.mPayload);
}

template<class Archive>
void
serialize(Archive& aArchive, VoteRequest& aValue)
{
  aArchive(aValue.mTerm, aValue.mPreVote, aValue.mLastIndex, aValue.mLastTerm);
}

template<class Archive>
void
serialize(Archive& aArchive, VoteReply& aValue)
{
  aArchive(aValue.mTerm, aValue.mPreVote, aValue.mGranted);
}

template<class Archive>
void
serialize(Archive& aArchive, AppendRequest& aValue)
{
  aArchive(aValue.mTerm,
           aValue.mPreviousIndex,
           aValue.mPreviousTerm,
           aValue.mEntries,
           aValue.mCommit,
           aValue.mSentAt);
}

template<class Archive>
void
serialize(Archive& aArchive, AppendReply& aValue)
{
  aArchive(aValue.mTerm,
           aValue.mAccepted,
           aValue.mMatch,
           aValue.mNextHint,
           aValue.mSentAt);
}

template<class Archive>
void
serialize(Archive& aArchive, SnapshotPart& aValue)
{
  aArchive(aValue.mTerm,
           aValue.mLastIndex,
           aValue.mLastTerm,
           aValue.mFile,
           aValue.mAfter,
           aValue.mOffset,
           aValue.mBytes,
           aValue.mFileDone,
           aValue.mAllDone,
           aValue.mSentAt);
}

template<class Archive>
void
serialize(Archive& aArchive, SnapshotPartReply& aValue)
{
  aArchive(aValue.mTerm,
           aValue.mLastIndex,
           aValue.mFile,
           aValue.mNextOffset,
           aValue.mInstalled,
           aValue.mSentAt);
}

template<class Archive>
void
serialize(Archive& aArchive, Resignation& aValue)
{
  aArchive(aValue.mTerm, aValue.mSuccessor);
}

template<class Archive>
void
serialize(Archive& aArchive, RaftMessage& aValue)
{
  aArchive(aValue.mGroup, aValue.mFrom, aValue.mTo, aValue.mDisk, aValue.mBody);
}

template<class Archive>
void
serialize(Archive& aArchive, Register& aValue)
{
  aArchive(aValue.mMember, aValue.mSentAt);
}

template<class Archive>
void
serialize(Archive& aArchive, RegisterReply& aValue)
{
  aArchive(
    aValue.mInstance, aValue.mIncarnation, aValue.mEpoch, aValue.mSentAt);
}

template<class Archive>
void
serialize(Archive& aArchive, Renew& aValue)
{
  aArchive(aValue.mInstance,
           aValue.mEpoch,
           aValue.mRevision,
           aValue.mSentAt,
           aValue.mTarget,
           aValue.mRunning,
           aValue.mLimit,
           aValue.mDraining,
           aValue.mLeases,
           aValue.mLeaseLeft,
           aValue.mDigest);
}

template<class Archive>
void
serialize(Archive& aArchive, RenewReply& aValue)
{
  aArchive(aValue.mInstance,
           aValue.mEpoch,
           aValue.mVerdict,
           aValue.mLease,
           aValue.mRevision,
           aValue.mSentAt,
           aValue.mEndedLeases,
           aValue.mMovedLeases);
}

template<class Archive>
void
serialize(Archive& aArchive, NotLeader& aValue)
{
  aArchive(aValue.mLeader,
           aValue.mTerm,
           aValue.mVoters,
           aValue.mVotes,
           aValue.mDiskAway);
}

template<class Archive>
void
serialize(Archive& aArchive, ConfigFetch& aValue)
{
  aArchive(aValue.mHeld,
           aValue.mScope,
           aValue.mSnapshotOffset,
           aValue.mSnapshotRevision);
}

template<class Archive>
void
serialize(Archive& aArchive, ConfigDelta& aValue)
{
  aArchive(aValue.mFrom, aValue.mTo, aValue.mChanges);
}

template<class Archive>
void
serialize(Archive& aArchive, ConfigSnapshotPart& aValue)
{
  aArchive(aValue.mRevision, aValue.mOffset, aValue.mChanges, aValue.mLast);
}

template<class Archive>
void
serialize(Archive& aArchive, Leave& aValue)
{
  aArchive(aValue.mInstance, aValue.mEpoch);
}

template<class Archive>
void
serialize(Archive& aArchive, Leading& aValue)
{
  aArchive(aValue.mTerm);
}

template<class Archive>
void
serialize(Archive& aArchive, WorkspaceDemand& aValue)
{
  aArchive(aValue.mWorkspace,
           aValue.mSpent,
           aValue.mHeld,
           aValue.mWanted,
           aValue.mWaiting,
           aValue.mRecent);
}

template<class Archive>
void
serialize(Archive& aArchive, LoanRequest& aValue)
{
  aArchive(aValue.mRequest, aValue.mWorkspace, aValue.mWait);
}

template<class Archive>
void
serialize(Archive& aArchive, LoanReply& aValue)
{
  aArchive(aValue.mRequest, aValue.mWorkspace, aValue.mGranted, aValue.mDelay);
}

template<class Archive>
void
serialize(Archive& aArchive, GrantRequest& aValue)
{
  aArchive(aValue.mInstance,
           aValue.mEpoch,
           aValue.mSequence,
           aValue.mSentAt,
           aValue.mGrantor,
           aValue.mRecentPeriod,
           aValue.mDemands);
}

template<class Archive>
void
serialize(Archive& aArchive, WorkspaceGrant& aValue)
{
  aArchive(
    aValue.mWorkspace, aValue.mTokens, aValue.mBrief, aValue.mRetryAfter);
}

template<class Archive>
void
serialize(Archive& aArchive, GrantReply& aValue)
{
  aArchive(aValue.mEpoch,
           aValue.mSequence,
           aValue.mSentAt,
           aValue.mGrantor,
           aValue.mLease,
           aValue.mBriefLease,
           aValue.mSettled,
           aValue.mGrants);
}

} // namespace caraway
