#pragma once
// Internal: cereal functions of the messages about the origins of streams.
// Include this file only in codec .cpp files.

#include "caraway/wire/serialize_base.h"
#include "caraway/wire/stream_messages.h"

namespace caraway {

template<class Archive>
void
serialize(Archive& aArchive, StreamOrigin& aValue)
{
  aArchive(aValue.mService, aValue.mVersion);
}

template<class Archive>
void
serialize(Archive& aArchive, BegunStream& aValue)
{
  aArchive(aValue.mStream, aValue.mOrigin);
}

template<class Archive>
void
serialize(Archive& aArchive, StreamsBegun& aValue)
{
  aArchive(aValue.mOrigins, aValue.mStreams);
}

template<class Archive>
void
serialize(Archive& aArchive, OriginQuery& aValue)
{
  aArchive(aValue.mRequest, aValue.mStream, aValue.mService);
}

template<class Archive>
void
serialize(Archive& aArchive, OriginReply& aValue)
{
  aArchive(aValue.mRequest, aValue.mState, aValue.mLeader, aValue.mOrigin);
}

} // namespace caraway
