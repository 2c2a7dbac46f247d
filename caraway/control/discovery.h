#pragma once
// How a control replica finds entries, its group and the instances of the other
// replicas.

#include <map>
#include <set>
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
  // On the leader: replicas that said that they stop, until they ask to join
  // again.
  std::set<ReplicaId> mLeaving;
};

// Of a replica that stops, see departure.cpp.
struct Departure
{
  MonoTime mNextCheck{ 0 };
  MonoTime mHandedOverAt = kNever; // it led and has resigned
  bool mMayLeave = false;          // by the leader's word
};

} // namespace caraway
