#pragma once
// What an entry knows of control replicas by their own word, for processes that
// know only seed addresses.

#include <map>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

struct DiscoveredReplica
{
  bool mInGroup = false;
  bool mFirstStart = false;
  MonoTime mHeardAt;
};

struct ReplicaDiscovery
{
  std::map<PeerAddress, DiscoveredReplica> mReplicas;
  std::map<PeerAddress, MonoTime> mReportedReplicas; // by other entries
  MonoTime mFirstHello = kNever;
  MonoTime mNextQuery{ 0 };
  size_t mNextSeed = 0;
};

} // namespace caraway
