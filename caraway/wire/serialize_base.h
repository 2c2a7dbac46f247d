#pragma once
// Internal: cereal functions of ids and units. Include this file only in codec
// .cpp files, since cereal is slow to compile.

#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "caraway/base/strong.h"
#include "caraway/base/time.h"

namespace caraway {

template<class Archive, class Tag>
void
serialize(Archive& aArchive, StringId<Tag>& aId)
{
  aArchive(aId.mValue);
}

template<class Archive, class Tag>
void
serialize(Archive& aArchive, NumberId<Tag>& aId)
{
  aArchive(aId.mValue);
}

template<class Archive>
void
serialize(Archive& aArchive, Duration& aDuration)
{
  aArchive(aDuration.mMicros);
}

template<class Archive>
void
serialize(Archive& aArchive, MonoTime& aTime)
{
  aArchive(aTime.mMicros);
}

} // namespace caraway
