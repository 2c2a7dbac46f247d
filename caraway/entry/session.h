#pragma once
// The session with control: registration, lease, and finding the leader.

#include "caraway/entry/entry_step.h"

namespace caraway {

// True while keyed work may be accepted.
bool
HasValidLease(const Entry& aEntry, MonoTime aNow);

void
TickSession(EntryStep& aStep);

MonoTime
SessionWakeup(const Entry& aEntry);

// Renews at once: a new revision was applied, or the entry is leaving.
void
RenewNow(EntryStep& aStep);

void
HandleRegisterReply(EntryStep& aStep,
                    const PeerAddress& aFrom,
                    const RegisterReply& aReply);

void
HandleRenewReply(EntryStep& aStep,
                 const PeerAddress& aFrom,
                 const RenewReply& aReply);

void
HandleLeading(EntryStep& aStep,
              const PeerAddress& aFrom,
              const Leading& aMessage);

void
HandleNotLeader(EntryStep& aStep,
                const PeerAddress& aFrom,
                const NotLeader& aReply);

// The connection to a replica was lost.
void
SessionPeerLost(EntryStep& aStep, const PeerAddress& aPeer);

// Entries in the configuration, which share what is bounded for all of them; at
// least 1.
uint32_t
EntriesKnown(const Entry& aEntry);

} // namespace caraway
