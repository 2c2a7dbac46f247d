#pragma once
// Internal: cereal functions of all messages: includes the other files and adds
// dispatch, batch and order messages. Include this file only in codec .cpp
// files.

#include "caraway/wire/messages.h"
#include "caraway/wire/serialize_calls.h"
#include "caraway/wire/serialize_control.h"
#include "caraway/wire/serialize_poison.h"
#include "caraway/wire/serialize_rollout.h"
#include "caraway/wire/serialize_slots.h"
#include "caraway/wire/serialize_streams.h"

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
           aValue.mEndsByClose,
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
           aValue.mBatch,
           aValue.mRate,
           aValue.mRateWait,
           aValue.mPace);
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
           aValue.mTimePerToken);
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
  aArchive(aValue.mIndex,
           aValue.mBody,
           aValue.mTokens,
           aValue.mProgress,
           aValue.mProgress.mVersion);
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

} // namespace caraway
