#pragma once
// Keeps the entry's copy of the configuration up to date by long polling one
// control replica.

#include "caraway/entry/entry_step.h"

namespace caraway {

// Sends the next poll when it is due; switches to the next replica when a poll
// was not answered in time.
void
TickFetch(EntryStep& aStep);

MonoTime
FetchWakeup(const Entry& aEntry);

// The leader has revision aNewest. If the entry's copy is older and the polled
// replica is not the leader, polls the leader instead.
void
FetchFromLeaderIfNewer(EntryStep& aStep,
                       const PeerAddress& aLeader,
                       Revision aNewest);

// The leader has found that the copy is not what its revision says: fetches it
// whole from there.
// aSentAt: when the renewal with the copy's digest was sent.
void
ReplaceCopy(EntryStep& aStep, const PeerAddress& aLeader, MonoTime aSentAt);

// The revision to state in renewals: none while the copy is being replaced.
Revision
StatedRevision(const Entry& aEntry);

// Polls without delay, unless a poll is in flight.
void
FetchNow(EntryStep& aStep);

// Both handlers return true if a newer revision was applied.
bool
HandleConfigDelta(EntryStep& aStep,
                  const PeerAddress& aFrom,
                  const ConfigDelta& aDelta);

bool
HandleSnapshotPart(EntryStep& aStep,
                   const PeerAddress& aFrom,
                   const ConfigSnapshotPart& aPart);

// The copy of the configuration, and the lease under which the entry acts on
// it, for lines about decisions.
std::vector<LogField>
CopyFields(const Entry& aEntry, MonoTime aNow);

// The connection to a replica was lost; switches to the next one if it was the
// polled one.
void
FetchPeerLost(EntryStep& aStep, const PeerAddress& aPeer);

} // namespace caraway
