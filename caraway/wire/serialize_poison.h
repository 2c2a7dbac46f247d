#pragma once
// Internal: cereal functions of the messages about input that crashes targets.
// Include this file only in codec .cpp files.

#include "caraway/wire/poison_messages.h"
#include "caraway/wire/serialize_base.h"

namespace caraway {

template<class Archive>
void
serialize(Archive& aArchive, CrashSuspect& aValue)
{
  aArchive(aValue.mRequest, aValue.mWorkspace, aValue.mParts, aValue.mBegun);
}

template<class Archive>
void
serialize(Archive& aArchive, CrashReport& aValue)
{
  aArchive(aValue.mNumber,
           aValue.mTarget,
           aValue.mStartedAt,
           aValue.mAddress,
           aValue.mAge,
           aValue.mConfirmed,
           aValue.mService,
           aValue.mSuspects);
}

template<class Archive>
void
serialize(Archive& aArchive, CrashReportAck& aValue)
{
  aArchive(aValue.mNumber);
}

template<class Archive>
void
serialize(Archive& aArchive, SuspectQuery& aValue)
{
  aArchive(aValue.mParts);
}

template<class Archive>
void
serialize(Archive& aArchive, PartStart& aValue)
{
  aArchive(aValue.mPart, aValue.mAge);
}

template<class Archive>
void
serialize(Archive& aArchive, ServiceAnswer& aValue)
{
  aArchive(aValue.mService, aValue.mAge);
}

template<class Archive>
void
serialize(Archive& aArchive, StartedParts& aValue)
{
  aArchive(aValue.mMember,
           aValue.mAsked,
           aValue.mParts,
           aValue.mNewest,
           aValue.mServices);
}

} // namespace caraway
