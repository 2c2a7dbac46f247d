#pragma once
// Discovery of the control replicas, for processes that are configured with
// seed addresses only.
//
// Replicas announce themselves to entries with ReplicaHello. An entry that
// knows none queries the seeds. At the first start of the whole system, the
// first seed chooses the replica that founds the group; no other process ever
// does.

#include "caraway/entry/entry_step.h"

namespace caraway {

void
HandleReplicaHello(EntryStep& aStep,
                   const PeerAddress& aFrom,
                   const ReplicaHello& aHello);
// Replies with the known replicas and entries.
void
HandleControlQuery(EntryStep& aStep, const PeerAddress& aFrom);
// Records the address of a leader that announced itself.
void
NoteLeaderAddress(EntryStep& aStep, const PeerAddress& aLeader);

void
HandleControlMap(EntryStep& aStep, const ControlMap& aMap);
// Drops replicas not heard of for a while, and queries the next seed.
void
TickReplicaDiscovery(EntryStep& aStep);
MonoTime
ReplicaDiscoveryWakeup(const Entry& aEntry);

} // namespace caraway
