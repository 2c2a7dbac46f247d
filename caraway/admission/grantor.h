#pragma once
// The grantor of admission tokens, on the control leader.
//
// Invariant per workspace: level + outstanding <= burst at all times, where
// outstanding is an upper bound of the tokens given out and neither reported
// spent nor expired. Refill adds rate * time to the level and stops at burst -
// outstanding. So the sum admitted over any interval is at most rate * time +
// burst, whatever is lost, doubled or late. Time is that of the leader's clock.
//
// One request of a session is in flight at a time and a reply to another
// sequence is ignored, so a request states exactly what its session holds.
// Tokens for requests on hold have a brief lease: they are spent on arrival or
// dropped, so they need no report, and the refill is held up only that long.
// Tokens that the holder reports neither spent nor held go back to the level;
// tokens that ran out unreported are lost. The first request under a new leader
// only introduces that leader (mGrantor): a late copy of an earlier request
// must not count as a report of what is held now.
//
// A new leader begins with empty buckets, since the last one may have given out
// every burst. It raises a level once all entries have said what they admitted
// lately: a bucket that was empty at some time has filled since then by the
// rate, up to the burst, less what was admitted.

#include "caraway/admission/grantor_state.h"
#include "caraway/config/config_view.h"
#include "caraway/wire/grant_messages.h"

namespace caraway {

// This replica became leader: no bucket has tokens, and every registered entry
// may hold tokens until it reports or the shorter of both leases has run out.
// aTerm (the Raft term) tells this leadership from all others; without it the
// time of the election has to do. Call it once the leader has applied the first
// entry of its term, so that aConfig holds every session that ever got tokens.
// aEntryLeft: since then no entry has left aConfig; those before may have
// admitted requests that nobody reports.
void
StartGrantor(Grantor& aGrantor,
             MonoTime aNow,
             const ConfigView& aConfig,
             Duration aGrantLease,
             Duration aConfigLease,
             Term aTerm,
             MonoTime aEntryLeft);

// aRequest must come from a registered session (the caller checks the epoch).
GrantReply
HandleGrantRequest(Grantor& aGrantor,
                   MonoTime aNow,
                   const ConfigView& aConfig,
                   const GrantRequest& aRequest);

// A session ended; its tokens stay outstanding until their leases run out.
void
EndGrantorSession(Grantor& aGrantor, const InstanceId& aEntry, Epoch aEpoch);

// A new incarnation of the entry has registered. Its former process is gone,
// and so are tokens of an earlier leader that it had not reported.
void
ReplaceGrantorSession(Grantor& aGrantor, MonoTime aNow, Epoch aEpoch);

} // namespace caraway
