#pragma once
// Internal: cereal functions of the messages about roll-outs. Include this file
// only in codec .cpp files.

#include "caraway/wire/rollout_messages.h"
#include "caraway/wire/serialize_base.h"

namespace caraway {

template<class Archive>
void
serialize(Archive& aArchive, AnswerCounts& aValue)
{
  aArchive(aValue.mAnswers, aValue.mFailures, aValue.mTimes);
}

template<class Archive>
void
serialize(Archive& aArchive, RouteAnswers& aValue)
{
  aArchive(aValue.mRoute, aValue.mTarget, aValue.mCounts);
}

template<class Archive>
void
serialize(Archive& aArchive, RolloutReport& aValue)
{
  aArchive(aValue.mEntry,
           aValue.mService,
           aValue.mNumber,
           aValue.mRevision,
           aValue.mRequests,
           aValue.mTrial,
           aValue.mCallsAtOld,
           aValue.mAnswers);
}

} // namespace caraway
