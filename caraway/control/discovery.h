#pragma once
// How a control replica finds entries, its group and the instances of the other
// replicas.

#include <map>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

struct KnownReplica
{
  PeerAddress mAddress;
  InstanceId mInstance;
  ZoneId mZone;
  MonoTime mHeardAt;
};

struct ControlDiscovery
{
  std::vector<PeerAddress> mReplicas; // of the group, as reported by entries
  std::vector<PeerAddress> mEntries;  // known in addition to the seeds
  MonoTime mNextHello{ 0 }; // next hello to the seeds, with a JoinGroup
  MonoTime mNextRound{ 0 }; // next hello to all entries
  // Hellos are frequent until then, after a start. 0 before the first hello.
  MonoTime mFastHelloUntil{ 0 };
  // Where consensus messages came from. A replica that does not know its group
  // yet replies to these addresses.
  std::map<ReplicaId, PeerAddress> mSenders;
  // On the leader: replicas that sent JoinGroup, in and outside the group.
  std::map<ReplicaId, KnownReplica> mKnown;
};

} // namespace caraway
