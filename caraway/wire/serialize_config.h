#pragma once
// Internal: cereal functions of configuration objects. Include this file only
// in codec .cpp files.

#include "caraway/config/change.h"
#include "caraway/wire/serialize_base.h"

namespace caraway {

template<class Archive>
void
serialize(Archive& aArchive, Contract& aValue)
{
  aArchive(aValue.mWorkspace,
           aValue.mRate,
           aValue.mBurst,
           aValue.mWeight,
           aValue.mLatency,
           aValue.mBatchWindow,
           aValue.mMaxBatchItems,
           aValue.mModels,
           aValue.mRoutes,
           aValue.mWithdrawn);
}

template<class Archive>
void
serialize(Archive& aArchive, ApiKey& aValue)
{
  aArchive(aValue.mId, aValue.mDigest, aValue.mWorkspace, aValue.mWithdrawn);
}

template<class Archive>
void
serialize(Archive& aArchive, Route& aValue)
{
  aArchive(aValue.mId,
           aValue.mMethod,
           aValue.mPathPrefix,
           aValue.mService,
           aValue.mIdempotent,
           aValue.mOpen);
}

template<class Archive>
void
serialize(Archive& aArchive, TargetInfo& aValue)
{
  aArchive(aValue.mId,
           aValue.mKind,
           aValue.mModels,
           aValue.mServices,
           aValue.mCanResume,
           aValue.mChecksFencing);
}

template<class Archive>
void
serialize(Archive& aArchive, Member& aValue)
{
  aArchive(aValue.mInstance,
           aValue.mEpoch,
           aValue.mIncarnation,
           aValue.mRole,
           aValue.mAddress,
           aValue.mZone,
           aValue.mRegion,
           aValue.mTarget,
           aValue.mDraining);
}

template<class Archive>
void
serialize(Archive& aArchive, SetContract& aValue)
{
  aArchive(aValue.mContract);
}

template<class Archive>
void
serialize(Archive& aArchive, WithdrawContract& aValue)
{
  aArchive(aValue.mWorkspace);
}

template<class Archive>
void
serialize(Archive& aArchive, CreateKey& aValue)
{
  aArchive(aValue.mKey);
}

template<class Archive>
void
serialize(Archive& aArchive, WithdrawKey& aValue)
{
  aArchive(aValue.mKey);
}

template<class Archive>
void
serialize(Archive& aArchive, SetRoute& aValue)
{
  aArchive(aValue.mRoute);
}

template<class Archive>
void
serialize(Archive& aArchive, RemoveRoute& aValue)
{
  aArchive(aValue.mRoute);
}

template<class Archive>
void
serialize(Archive& aArchive, SetZoneService& aValue)
{
  aArchive(aValue.mZone, aValue.mInService);
}

template<class Archive>
void
serialize(Archive& aArchive, SetTargetService& aValue)
{
  aArchive(aValue.mTarget, aValue.mInService);
}

template<class Archive>
void
serialize(Archive& aArchive, SetMember& aValue)
{
  aArchive(aValue.mMember);
}

template<class Archive>
void
serialize(Archive& aArchive, RemoveMember& aValue)
{
  aArchive(aValue.mInstance, aValue.mEpoch);
}

template<class Archive>
void
serialize(Archive& aArchive, RouteShare& aValue)
{
  aArchive(aValue.mService, aValue.mWeight);
}

template<class Archive>
void
serialize(Archive& aArchive, PlanRoute& aValue)
{
  aArchive(aValue.mId,
           aValue.mHost,
           aValue.mPathPrefix,
           aValue.mKind,
           aValue.mShares,
           aValue.mTimeout,
           aValue.mLatencyGoal,
           aValue.mGapGoal,
           aValue.mPriority,
           aValue.mMaxAttempts,
           aValue.mOpen,
           aValue.mResumable,
           aValue.mCompletionGoal,
           aValue.mItemLifetime,
           aValue.mMaxWaitingTokens);
}

template<class Archive>
void
serialize(Archive& aArchive, PlanService& aValue)
{
  aArchive(aValue.mId,
           aValue.mHealthPath,
           aValue.mMaxConnections,
           aValue.mColdRate,
           aValue.mColdTime,
           aValue.mEngine);
}

template<class Archive>
void
serialize(Archive& aArchive, PlanWorkspace& aValue)
{
  aArchive(aValue.mId,
           aValue.mKeys,
           aValue.mRate,
           aValue.mBurst,
           aValue.mPriority,
           aValue.mHasPriority);
}

template<class Archive>
void
serialize(Archive& aArchive, ServingPlan& aValue)
{
  aArchive(aValue.mVersion,
           aValue.mRoutes,
           aValue.mServices,
           aValue.mWorkspaces,
           aValue.mSource);
}

template<class Archive>
void
serialize(Archive& aArchive, Target& aValue)
{
  aArchive(aValue.mId,
           aValue.mService,
           aValue.mAddress,
           aValue.mZone,
           aValue.mVersion,
           aValue.mSlots,
           aValue.mDraining,
           aValue.mStartedAt,
           aValue.mColdFor,
           aValue.mColdRate);
}

template<class Archive>
void
serialize(Archive& aArchive, SetPlan& aValue)
{
  aArchive(aValue.mPlan);
}

template<class Archive>
void
serialize(Archive& aArchive, SetTarget& aValue)
{
  aArchive(aValue.mTarget);
}

template<class Archive>
void
serialize(Archive& aArchive, RemoveTarget& aValue)
{
  aArchive(aValue.mTarget, aValue.mStartedAt);
}

template<class Archive>
void
serialize(Archive& aArchive, InputBlock& aValue)
{
  aArchive(aValue.mId,
           aValue.mParts,
           aValue.mWorkspace,
           aValue.mCrashes,
           aValue.mSince,
           aValue.mLength,
           aValue.mProbation);
}

template<class Archive>
void
serialize(Archive& aArchive, SetInputBlock& aValue)
{
  aArchive(aValue.mBlock);
}

template<class Archive>
void
serialize(Archive& aArchive, RemoveInputBlock& aValue)
{
  aArchive(aValue.mBlock);
}

template<class Archive>
void
serialize(Archive& aArchive, RememberVersion& aValue)
{
  aArchive(aValue.mService, aValue.mVersion);
}

template<class Archive>
void
serialize(Archive& aArchive, ForgetVersion& aValue)
{
  aArchive(aValue.mService, aValue.mVersion);
}

template<class Archive>
void
serialize(Archive& aArchive, Rollout& aValue)
{
  aArchive(aValue.mService,
           aValue.mTo,
           aValue.mFrom,
           aValue.mWithdrawn,
           aValue.mPhase,
           aValue.mNumber,
           aValue.mBegunAt,
           aValue.mChangedAt,
           aValue.mDuration);
}

template<class Archive>
void
serialize(Archive& aArchive, SetRollout& aValue)
{
  aArchive(aValue.mRollout);
}

template<class Archive>
void
serialize(Archive& aArchive, RevisedChange& aValue)
{
  aArchive(aValue.mRevision, aValue.mChange);
}

} // namespace caraway
