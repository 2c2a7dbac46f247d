#pragma once
// Internal: cereal functions of batch items, shared by messages and snapshots.
// Include this file only in codec .cpp files.

#include "caraway/wire/batch_messages.h"
#include "caraway/wire/call_messages.h"

namespace caraway {

template<class Archive>
void
serialize(Archive& aArchive, JobItem& aValue)
{
  aArchive(aValue.mId, aValue.mTokens);
}

template<class Archive>
void
serialize(Archive& aArchive, ItemProgress& aValue)
{
  aArchive(aValue.mLastEvent, aValue.mText);
}

} // namespace caraway
