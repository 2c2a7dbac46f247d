#pragma once
// Internal: cereal functions of messages. Include it only in codec .cpp files.

#include "caraway/wire/messages.h"
#include "caraway/wire/serialize_control.h"

namespace caraway {

template<class Archive>
void
serialize(Archive& aArchive, Dispatch& aValue)
{
  aArchive(aValue.mRequest,
           aValue.mAttempt,
           aValue.mEntry,
           aValue.mEntryEpoch,
           aValue.mNodeEpoch,
           aValue.mSequence,
           aValue.mWorkspace,
           aValue.mKey,
           aValue.mWeight,
           aValue.mLatency,
           aValue.mModel,
           aValue.mService,
           aValue.mIdempotent,
           aValue.mStream,
           aValue.mDeadline,
           aValue.mPromptTokens,
           aValue.mOutputTokens,
           aValue.mMethod,
           aValue.mPath,
           aValue.mHeaders,
           aValue.mBody);
}

template<class Archive>
void
serialize(Archive& aArchive, AnswerPart& aValue)
{
  aArchive(aValue.mRequest,
           aValue.mAttempt,
           aValue.mNodeEpoch,
           aValue.mPart,
           aValue.mStatus,
           aValue.mHeaders,
           aValue.mBytes,
           aValue.mLast,
           aValue.mRunning,
           aValue.mQueued,
           aValue.mLimit);
}

template<class Archive>
void
serialize(Archive& aArchive, Refusal& aValue)
{
  aArchive(aValue.mRequest,
           aValue.mAttempt,
           aValue.mNodeEpoch,
           aValue.mSequence,
           aValue.mKind,
           aValue.mOutcome,
           aValue.mMessage,
           aValue.mRetryAfter,
           aValue.mRunning,
           aValue.mQueued,
           aValue.mLimit);
}

template<class Archive>
void
serialize(Archive& aArchive, CancelRequest& aValue)
{
  aArchive(aValue.mRequest, aValue.mAttempt, aValue.mNodeEpoch);
}

template<class Archive>
void
serialize(Archive& aArchive, OutcomeQuery& aValue)
{
  aArchive(aValue.mRequest,
           aValue.mAttempt,
           aValue.mNodeEpoch,
           aValue.mEntry,
           aValue.mEntryEpoch,
           aValue.mSequence,
           aValue.mNextPart);
}

template<class Archive>
void
serialize(Archive& aArchive, OutcomeReply& aValue)
{
  aArchive(aValue.mRequest, aValue.mAttempt, aValue.mNodeEpoch, aValue.mState);
}

template<class Archive>
void
serialize(Archive& aArchive, Watch& aValue)
{
  aArchive(aValue.mReportTo);
}

template<class Archive>
void
serialize(Archive& aArchive, LoadReport& aValue)
{
  aArchive(aValue.mNode,
           aValue.mNodeEpoch,
           aValue.mRunning,
           aValue.mQueued,
           aValue.mLimit,
           aValue.mCold,
           aValue.mBatch);
}

template<class Archive>
void
serialize(Archive& aArchive, LeaseItems& aValue)
{
  aArchive(aValue.mGroup,
           aValue.mNode,
           aValue.mNodeEpoch,
           aValue.mSequence,
           aValue.mModels,
           aValue.mWanted,
           aValue.mPerToken);
}

template<class Archive>
void
serialize(Archive& aArchive, ItemProgress& aValue)
{
  aArchive(aValue.mLastEvent, aValue.mText);
}

template<class Archive>
void
serialize(Archive&, WorkAvailable&)
{
}

template<class Archive>
void
serialize(Archive& aArchive, BatchItem& aValue)
{
  aArchive(aValue.mIndex, aValue.mBody, aValue.mTokens, aValue.mProgress);
}

template<class Archive>
void
serialize(Archive& aArchive, ItemBatch& aValue)
{
  aArchive(aValue.mGroup,
           aValue.mNodeEpoch,
           aValue.mSequence,
           aValue.mJob,
           aValue.mToken,
           aValue.mWorkspace,
           aValue.mWeight,
           aValue.mModel,
           aValue.mEndpoint,
           aValue.mDeadline,
           aValue.mWindow,
           aValue.mGoal,
           aValue.mItems,
           aValue.mRetryAfter);
}

template<class Archive>
void
serialize(Archive& aArchive, ItemResult& aValue)
{
  aArchive(aValue.mIndex,
           aValue.mVerdict,
           aValue.mStatus,
           aValue.mBody,
           aValue.mProgress);
}

template<class Archive>
void
serialize(Archive& aArchive, ItemResults& aValue)
{
  aArchive(aValue.mGroup,
           aValue.mNode,
           aValue.mNodeEpoch,
           aValue.mSequence,
           aValue.mJob,
           aValue.mToken,
           aValue.mResults);
}

template<class Archive>
void
serialize(Archive& aArchive, ItemResultsAck& aValue)
{
  aArchive(aValue.mGroup, aValue.mNodeEpoch, aValue.mSequence, aValue.mStale);
}

template<class Archive>
void
serialize(Archive& aArchive, ItemsRevoked& aValue)
{
  aArchive(aValue.mGroup, aValue.mJob);
}

template<class Archive>
void
serialize(Archive& aArchive, FileInfo& aValue)
{
  aArchive(aValue.mId,
           aValue.mWorkspace,
           aValue.mName,
           aValue.mPurpose,
           aValue.mBytes,
           aValue.mLines,
           aValue.mComplete,
           aValue.mCreatedAt);
}

template<class Archive>
void
serialize(Archive& aArchive, JobInfo& aValue)
{
  aArchive(aValue.mId,
           aValue.mWorkspace,
           aValue.mEndpoint,
           aValue.mInput,
           aValue.mOutput,
           aValue.mStatus,
           aValue.mTotal,
           aValue.mCompleted,
           aValue.mFailed,
           aValue.mAtRisk,
           aValue.mTimeLeft,
           aValue.mWindow,
           aValue.mCreatedAt,
           aValue.mEndedAt,
           aValue.mMetadata);
}

template<class Archive>
void
serialize(Archive& aArchive, PutFilePart& aValue)
{
  aArchive(aValue.mFile,
           aValue.mName,
           aValue.mPurpose,
           aValue.mOffset,
           aValue.mBytes,
           aValue.mLast);
}

template<class Archive>
void
serialize(Archive& aArchive, ReadFile& aValue)
{
  aArchive(aValue.mFile, aValue.mOffset, aValue.mByCompletion);
}

template<class Archive>
void
serialize(Archive& aArchive, DescribeFile& aValue)
{
  aArchive(aValue.mFile);
}

template<class Archive>
void
serialize(Archive& aArchive, ListFiles& aValue)
{
  aArchive(aValue.mAfter, aValue.mLimit);
}

template<class Archive>
void
serialize(Archive& aArchive, DeleteFile& aValue)
{
  aArchive(aValue.mFile);
}

template<class Archive>
void
serialize(Archive& aArchive, JobItem& aValue)
{
  aArchive(aValue.mId, aValue.mTokens);
}

template<class Archive>
void
serialize(Archive& aArchive, CreateJob& aValue)
{
  aArchive(aValue.mJob,
           aValue.mKey,
           aValue.mInput,
           aValue.mEndpoint,
           aValue.mWindow,
           aValue.mModel,
           aValue.mMaxItems,
           aValue.mWeight,
           aValue.mMetadata,
           aValue.mRoute,
           aValue.mItems,
           aValue.mGoal,
           aValue.mMaxWaitingTokens,
           aValue.mMaxAttempts);
}

template<class Archive>
void
serialize(Archive& aArchive, DescribeJob& aValue)
{
  aArchive(aValue.mJob);
}

template<class Archive>
void
serialize(Archive& aArchive, ListJobs& aValue)
{
  aArchive(aValue.mAfter, aValue.mLimit);
}

template<class Archive>
void
serialize(Archive& aArchive, CancelJob& aValue)
{
  aArchive(aValue.mJob);
}

template<class Archive>
void
serialize(Archive& aArchive, Claim& aValue)
{
  aArchive(aValue.mKey, aValue.mFingerprint, aValue.mRequest);
}

template<class Archive>
void
serialize(Archive& aArchive, CompleteClaim& aValue)
{
  aArchive(aValue.mKey,
           aValue.mRequest,
           aValue.mStatus,
           aValue.mContentType,
           aValue.mBody);
}

template<class Archive>
void
serialize(Archive& aArchive, ReleaseClaim& aValue)
{
  aArchive(aValue.mKey, aValue.mRequest);
}

template<class Archive>
void
serialize(Archive& aArchive, ReadItem& aValue)
{
  aArchive(aValue.mJob, aValue.mItem);
}

template<class Archive>
void
serialize(Archive& aArchive, ReplacePlan& aValue)
{
  aArchive(aValue.mPlan);
}

template<class Archive>
void
serialize(Archive&, ReadPlan&)
{
}

template<class Archive>
void
serialize(Archive& aArchive, SetZone& aValue)
{
  aArchive(aValue.mZone, aValue.mInService);
}

template<class Archive>
void
serialize(Archive& aArchive, TargetGone& aValue)
{
  aArchive(aValue.mTarget, aValue.mStartedAt);
}

template<class Archive>
void
serialize(Archive& aArchive, ReportTargets& aValue)
{
  aArchive(aValue.mSeen, aValue.mGone);
}

template<class Archive>
void
serialize(Archive& aArchive, RetireReplica& aValue)
{
  aArchive(aValue.mInstance);
}

template<class Archive>
void
serialize(Archive& aArchive, DescribeRetirement& aValue)
{
  aArchive(aValue.mInstance);
}

template<class Archive>
void
serialize(Archive& aArchive, ControlCall& aValue)
{
  aArchive(aValue.mGroup,
           aValue.mCall,
           aValue.mEntry,
           aValue.mEntryEpoch,
           aValue.mWorkspace,
           aValue.mBody);
}

template<class Archive>
void
serialize(Archive& aArchive, CallFailed& aValue)
{
  aArchive(aValue.mKind, aValue.mMessage);
}

template<class Archive>
void
serialize(Archive&, CallDone&)
{
}

template<class Archive>
void
serialize(Archive& aArchive, FileReply& aValue)
{
  aArchive(aValue.mFile);
}

template<class Archive>
void
serialize(Archive& aArchive, FileListReply& aValue)
{
  aArchive(aValue.mFiles, aValue.mMore);
}

template<class Archive>
void
serialize(Archive& aArchive, FileBytesReply& aValue)
{
  aArchive(aValue.mBytes, aValue.mNextOffset, aValue.mEnd, aValue.mTotal);
}

template<class Archive>
void
serialize(Archive& aArchive, JobReply& aValue)
{
  aArchive(aValue.mJob);
}

template<class Archive>
void
serialize(Archive& aArchive, JobListReply& aValue)
{
  aArchive(aValue.mJobs, aValue.mMore);
}

template<class Archive>
void
serialize(Archive& aArchive, ClaimReply& aValue)
{
  aArchive(aValue.mVerdict, aValue.mStatus, aValue.mContentType, aValue.mBody);
}

template<class Archive>
void
serialize(Archive& aArchive, PlanReply& aValue)
{
  aArchive(aValue.mVersion, aValue.mSource);
}

template<class Archive>
void
serialize(Archive& aArchive, RetirementReply& aValue)
{
  aArchive(aValue.mDone);
}

template<class Archive>
void
serialize(Archive& aArchive, ControlCallReply& aValue)
{
  aArchive(aValue.mGroup, aValue.mCall, aValue.mEntryEpoch, aValue.mBody);
}

template<class Archive>
void
serialize(Archive& aArchive, LoadOrder& aValue)
{
  aArchive(aValue.mNode,
           aValue.mNodeEpoch,
           aValue.mToken,
           aValue.mSequence,
           aValue.mKind,
           aValue.mModel);
}

template<class Archive>
void
serialize(Archive& aArchive, LoadOrderReply& aValue)
{
  aArchive(aValue.mNode,
           aValue.mNodeEpoch,
           aValue.mToken,
           aValue.mSequence,
           aValue.mAccepted,
           aValue.mMessage);
}

template<class Archive>
void
serialize(Archive& aArchive, SlotRequest& aValue)
{
  aArchive(aValue.mRequest,
           aValue.mWorkspace,
           aValue.mGoalIn,
           aValue.mWait,
           aValue.mPromptTokens,
           aValue.mOutputTokens);
}

template<class Archive>
void
serialize(Archive& aArchive, SlotReply& aValue)
{
  aArchive(aValue.mRequest,
           aValue.mState,
           aValue.mExpectedWait,
           aValue.mRunning,
           aValue.mBatch,
           aValue.mQueued,
           aValue.mLimit);
}

template<class Archive>
void
serialize(Archive& aArchive, SlotRelease& aValue)
{
  aArchive(aValue.mRequest, aValue.mEnding);
}

template<class Archive>
void
serialize(Archive& aArchive, SlotsHeld& aValue)
{
  aArchive(aValue.mRequests);
}

template<class Archive>
void
serialize(Archive& aArchive, ReplicaHello& aValue)
{
  aArchive(aValue.mReplica,
           aValue.mInstance,
           aValue.mZone,
           aValue.mInGroup,
           aValue.mFirstStart);
}

template<class Archive>
void
serialize(Archive&, ControlQuery&)
{
}

template<class Archive>
void
serialize(Archive& aArchive, ControlMap& aValue)
{
  aArchive(aValue.mReplicas, aValue.mEntries);
}

template<class Archive>
void
serialize(Archive&, FoundGroup&)
{
}

template<class Archive>
void
serialize(Archive& aArchive, JoinGroup& aValue)
{
  aArchive(aValue.mReplica, aValue.mInstance, aValue.mZone);
}

template<class Archive>
void
serialize(Archive& aArchive, TargetsHeard& aValue)
{
  aArchive(aValue.mTargets);
}

} // namespace caraway
