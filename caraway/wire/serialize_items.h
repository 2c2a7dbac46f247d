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

// Without the version, which log entries and snapshots of earlier releases do
// not have: ItemResult carries it in its body, and snapshots after the rest.
template<class Archive>
void
serialize(Archive& aArchive, ItemProgress& aValue)
{
  aArchive(aValue.mLastEvent, aValue.mText);
}

} // namespace caraway
