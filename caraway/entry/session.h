#pragma once
// The entry's session with control: registration, lease renewal and leader
// discovery.

#include <string_view>

#include "caraway/entry/entry_step.h"

namespace caraway {

// Returns true while the entry has a session and its lease has not expired:
// requests with a key may be accepted.
bool
HasValidLease(const Entry& aEntry, MonoTime aNow);

// True once a configuration has arrived and a leader has confirmed that it is
// not older than what operators were told before this process started. Requests
// are decided by it from then on, also while control is away.
bool
HasConfirmedPlan(const Entry& aEntry);

// What each known replica said last, for logs: "ADDRESS:ANSWER,AGE ..." with
// the answers not_asked, silent, disk_away, names_ADDRESS and knows_none, the
// latter with the votes that the replica got, of all voters, and its term.
std::string
DescribeAnswers(const Entry& aEntry, MonoTime aNow);

// For how long no replica has replied as leader; 0 while there is contact.
Duration
ControlAway(const Entry& aEntry, MonoTime aNow);

// Sends Register or Renew when due; tries the next replica after a timeout.
void
TickSession(EntryStep& aStep);

MonoTime
SessionWakeup(const Entry& aEntry);

// Renews without delay: a new revision was applied, a control call was not
// answered, or the entry started to drain.
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

// A replica announced itself as the leader.
void
HandleLeading(EntryStep& aStep,
              const PeerAddress& aFrom,
              const Leading& aMessage);

// Follows the redirect of a replica that is not the leader.
void
HandleNotLeader(EntryStep& aStep,
                const PeerAddress& aFrom,
                const NotLeader& aReply);

// The connection to a replica was lost.
void
SessionPeerLost(EntryStep& aStep, const PeerAddress& aPeer);

// Number of entries in the configuration, among which limits on all entries are
// divided; at least 1.
uint32_t
EntriesKnown(const Entry& aEntry);

// The rank of this entry among all entries, by rendezvous hashing for the key.
// Bounds that entries share without messages are divided by it.
uint32_t
RankAmongEntries(const Entry& aEntry, std::string_view aKey);

} // namespace caraway
