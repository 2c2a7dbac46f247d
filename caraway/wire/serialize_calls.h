#pragma once
// Internal: cereal functions of control calls. Include this file only in codec
// .cpp files.

#include "caraway/wire/messages.h"
#include "caraway/wire/serialize_control.h"
#include "caraway/wire/serialize_items.h"

namespace caraway {

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
  aArchive(aValue.mFile, aValue.mOffset, aValue.mByCompletion, aValue.mKey);
}

template<class Archive>
void
serialize(Archive& aArchive, DescribeFile& aValue)
{
  aArchive(aValue.mFile, aValue.mKey);
}

template<class Archive>
void
serialize(Archive& aArchive, ListFiles& aValue)
{
  aArchive(aValue.mAfter, aValue.mLimit, aValue.mKey);
}

template<class Archive>
void
serialize(Archive& aArchive, DeleteFile& aValue)
{
  aArchive(aValue.mFile);
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
  aArchive(aValue.mJob, aValue.mKey);
}

template<class Archive>
void
serialize(Archive& aArchive, ListJobs& aValue)
{
  aArchive(aValue.mAfter, aValue.mLimit, aValue.mKey);
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
  aArchive(aValue.mJob, aValue.mItem, aValue.mKey);
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
serialize(Archive& aArchive, EndedTarget& aValue)
{
  aArchive(aValue.mTarget, aValue.mStartedAt);
}

template<class Archive>
void
serialize(Archive& aArchive, ReportTargets& aValue)
{
  aArchive(aValue.mSeen, aValue.mDeregistered);
}

template<class Archive>
void
serialize(Archive& aArchive, OrderZone& aValue)
{
  aArchive(aValue.mSet, aValue.mSeen);
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
serialize(Archive& aArchive, BeginRollout& aValue)
{
  aArchive(aValue.mService, aValue.mTo, aValue.mDuration);
}

template<class Archive>
void
serialize(Archive& aArchive, DescribeRollout& aValue)
{
  aArchive(aValue.mService);
}

template<class Archive>
void
serialize(Archive& aArchive, AbortRollout& aValue)
{
  aArchive(aValue.mService);
}

template<class Archive>
void
serialize(Archive& aArchive, SubmitJob& aValue)
{
  aArchive(aValue.mCreate, aValue.mKey, aValue.mHost, aValue.mPath);
}

template<class Archive>
void
serialize(Archive& aArchive, CancelJobByKey& aValue)
{
  aArchive(aValue.mJob, aValue.mKey);
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
serialize(Archive& aArchive, RolloutReply& aValue)
{
  aArchive(aValue.mRollout);
}

template<class Archive>
void
serialize(Archive& aArchive, ControlCallReply& aValue)
{
  aArchive(aValue.mGroup, aValue.mCall, aValue.mEntryEpoch, aValue.mBody);
}

} // namespace caraway
