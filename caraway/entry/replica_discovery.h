#pragma once
// Finding the control replicas, and telling others where they are.
//
// Replicas say hello to entries. An entry that knows none asks the seeds. At
// the first start of the whole system, the first seed chooses the replica that
// begins the group; no other process ever does.

#include "caraway/entry/entry_step.h"

namespace caraway {

void
HandleReplicaHello(EntryStep& aStep,
                   const PeerAddress& aFrom,
                   const ReplicaHello& aHello);
void
HandleControlQuery(EntryStep& aStep, const PeerAddress& aFrom);
// The leader of the group, known by its announcement.
void
NoteLeaderAddress(EntryStep& aStep, const PeerAddress& aLeader);

void
HandleControlMap(EntryStep& aStep, const ControlMap& aMap);
void
TickReplicaDiscovery(EntryStep& aStep);
MonoTime
ReplicaDiscoveryWakeup(const Entry& aEntry);

} // namespace caraway
