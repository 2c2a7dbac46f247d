#pragma once
// Keeps the copy of the configuration up to date by long polls at one replica.

#include "caraway/entry/entry_step.h"

namespace caraway {

void
TickFetch(EntryStep& aStep);

MonoTime
FetchWakeup(const Entry& aEntry);

// Polls again now, unless a poll is out.
// The leader holds this revision. If the replica that is polled does not follow
// it, the leader is polled instead.
void
FetchFromLeaderIfNewer(EntryStep& aStep,
                       const PeerAddress& aLeader,
                       Revision aNewest);

void
FetchNow(EntryStep& aStep);

// Each returns true if a newer revision was applied.
bool
HandleConfigDelta(EntryStep& aStep,
                  const PeerAddress& aFrom,
                  const ConfigDelta& aDelta);

bool
HandleSnapshotPart(EntryStep& aStep,
                   const PeerAddress& aFrom,
                   const ConfigSnapshotPart& aPart);

void
FetchPeerLost(EntryStep& aStep, const PeerAddress& aPeer);

} // namespace caraway
