#pragma once
// Internal: cereal functions of slot and discovery messages. Include this file
// only in codec .cpp files.

#include "caraway/wire/messages.h"

namespace caraway {

template<class Archive>
void
serialize(Archive& aArchive, HeardRate& aValue)
{
  aArchive(aValue.mTargetStart, aValue.mPerSecond, aValue.mAge);
}

template<class Archive>
void
serialize(Archive& aArchive, RateNotice& aValue)
{
  aArchive(aValue.mTarget, aValue.mRate);
}

template<class Archive>
void
serialize(Archive& aArchive, StartTimeRequest& aValue)
{
  aArchive(aValue.mRequest, aValue.mTarget, aValue.mRate, aValue.mWait);
}

template<class Archive>
void
serialize(Archive& aArchive, StartTimeReply& aValue)
{
  aArchive(aValue.mRequest,
           aValue.mTarget,
           aValue.mGranted,
           aValue.mDelay,
           aValue.mRate);
}

template<class Archive>
void
serialize(Archive& aArchive, StartTimeRelease& aValue)
{
  aArchive(aValue.mRequest, aValue.mTarget);
}

template<class Archive>
void
serialize(Archive& aArchive, SlotRequest& aValue)
{
  aArchive(aValue.mRequest,
           aValue.mWorkspace,
           aValue.mTimeToGoal,
           aValue.mMayReturn,
           aValue.mWait,
           aValue.mPromptTokens,
           aValue.mOutputTokens,
           aValue.mRate,
           aValue.mRank,
           aValue.mWeight,
           aValue.mIsCallerRetry);
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
           aValue.mLimit,
           aValue.mTargetStart,
           aValue.mRate,
           aValue.mRateWait,
           aValue.mPace);
}

template<class Archive>
void
serialize(Archive& aArchive, SlotRelease& aValue)
{
  aArchive(aValue.mRequest, aValue.mEnding, aValue.mPace);
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
serialize(Archive& aArchive, LeaveGroup& aValue)
{
  aArchive(aValue.mReplica);
}

template<class Archive>
void
serialize(Archive& aArchive, MayLeave& aValue)
{
  aArchive(aValue.mReplica, aValue.mKeepsVote);
}

template<class Archive>
void
serialize(Archive& aArchive, TargetsHeard& aValue)
{
  aArchive(aValue.mTargets);
}

} // namespace caraway
