#pragma once
// Internal: cereal functions of slot and discovery messages. Include this file
// only in codec .cpp files.

#include "caraway/wire/messages.h"

namespace caraway {

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
