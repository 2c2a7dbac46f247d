#pragma once
// State of the entry's records about the origins of streams.

#include <set>
#include <utility>
#include <vector>

#include "caraway/routing/stream_origins.h"

namespace caraway {

constexpr size_t kMaxOwnOrigins = 8192;

// Origins of the streams that began at this entry, and what replicas have not
// been told yet.
struct ResumedStreams
{
  StreamOrigins mOrigins{ kMaxOwnOrigins };
  std::vector<std::pair<StreamId, StreamOrigin>> mUntold;
  MonoTime mTellAt = kNever;
  // Services of which replicas are told: their streams may have begun at
  // different versions.
  std::set<ServiceId> mTold;
};

} // namespace caraway
