#pragma once
// Internal: cereal functions for the state that a replica stores. Include it
// only in the .cpp files of codecs.

#include "caraway/consensus/raft.h"
#include "caraway/wire/serialize_messages.h"

namespace caraway {

template<class Archive>
void
serialize(Archive& aArchive, Replica& aValue)
{
  aArchive(aValue.mId, aValue.mAddress, aValue.mVoter, aValue.mDisk);
}

template<class Archive>
void
serialize(Archive& aArchive, ReplicaSet& aValue)
{
  aArchive(aValue.mReplicas);
}

template<class Archive>
void
serialize(Archive& aArchive, HardState& aValue)
{
  aArchive(aValue.mTerm, aValue.mVotedFor);
}

template<class Archive>
void
serialize(Archive& aArchive, SnapshotMark& aValue)
{
  aArchive(aValue.mIndex, aValue.mTerm, aValue.mReplicas);
}

} // namespace caraway
