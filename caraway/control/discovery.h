#pragma once
// How a control replica finds entries, its group, and the names of the other
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
  std::vector<PeerAddress> mReplicas; // of the group, as entries say
  std::vector<PeerAddress> mEntries;  // beyond the seeds
  MonoTime mNextHello{ 0 };           // to the seeds, and a JoinGroup
  MonoTime mNextRound{ 0 };           // to all entries
  MonoTime mFastHelloUntil{ 0 };      // this replica has just started
  // Where agreement messages came from, for answers of a replica that does not
  // know its group yet.
  std::map<ReplicaId, PeerAddress> mSenders;
  // On the leader: replicas by their own word, in and outside the group.
  std::map<ReplicaId, KnownReplica> mKnown;
};

} // namespace caraway
