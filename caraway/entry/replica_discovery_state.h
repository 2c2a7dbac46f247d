#pragma once
// State of replica discovery: the control replicas that announced themselves or
// were reported by others.

#include <map>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

struct DiscoveredReplica
{
  bool mInGroup = false;
  bool mFirstStart = false; // of the whole system, with an empty disk
  MonoTime mHeardAt;
};

struct ReplicaDiscovery
{
  std::map<PeerAddress, DiscoveredReplica> mReplicas;
  // Replicas reported by other entries or announced as leaders, and when.
  std::map<PeerAddress, MonoTime> mReportedReplicas;
  MonoTime mFirstHello = kNever;
  MonoTime mNextQuery{ 0 };
  size_t mNextSeed = 0;
};

} // namespace caraway
