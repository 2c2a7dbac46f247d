#pragma once
// The grantor of admission tokens, on the control leader.
//
// Invariant per workspace: level + outstanding <= burst at all times, where
// outstanding is an upper bound of the tokens that were granted and neither
// reported spent nor expired. Refill adds rate * time to the level and stops at
// burst - outstanding. So the requests admitted over any interval are at most
// rate * time + burst, even if messages are lost, duplicated or delayed. Time
// is that of the leader's clock. Where a deployment states a tolerance, the
// level may be negative by a part of it (AdvanceFor).
//
// A session has one request in flight at a time and ignores a reply to another
// sequence, so a request states exactly what its session holds. Tokens for
// requests on hold have a brief lease: they are spent on arrival or dropped, so
// they need no report and limit the refill only for that long. Tokens that the
// holder reports as neither spent nor held return to the level; tokens that
// expired unreported are lost. The first request under a new leader only tells
// the holder of that leader (mGrantor): a late copy of an earlier request must
// not count as a report of current holdings.
//
// A new leader starts with empty buckets, since its predecessor may have
// granted every burst. It raises a level once all entries have reported their
// recent admissions: a bucket that was empty at some time has refilled since
// then at the rate, up to the burst, less what was admitted.

#include "caraway/admission/grantor_state.h"
#include "caraway/config/config_view.h"
#include "caraway/wire/grant_messages.h"

namespace caraway {

// Resets the grantor when this replica becomes leader: all buckets are empty,
// and every registered entry may hold tokens until it reports or the shorter of
// both leases has expired. aTerm (the Raft term) identifies this leadership; if
// it is none, the time of the election is used instead. Call this once the
// leader has applied the first entry of its term, so that aConfig holds every
// session that was ever granted tokens. aEntryLeft: time since which no entry
// has left aConfig; entries that left before may have admitted requests that
// nobody reports.
void
StartGrantor(Grantor& aGrantor,
             MonoTime aNow,
             const ConfigView& aConfig,
             Duration aGrantLease,
             Duration aConfigLease,
             Term aTerm,
             MonoTime aEntryLeft);

// Divides the rates with the lenders among the entries (lending.h), in place of
// mRateShare. Time before aNow counts by the former division.
void
DivideRates(Grantor& aGrantor,
            MonoTime aNow,
            const ConfigView& aConfig,
            RateDivision aDivision);

// Lets the grantor give out its part of the tolerance until aUntil. The caller
// has made sure that no other leader does so within the same window.
void
AllowOverrun(Grantor& aGrantor,
             const RateTolerance& aTolerance,
             MonoTime aUntil);

// Handles a request, which must come from a registered session: the caller has
// checked its epoch.
GrantReply
HandleGrantRequest(Grantor& aGrantor,
                   MonoTime aNow,
                   const ConfigView& aConfig,
                   const GrantRequest& aRequest);

// Forgets a session that ended. Its tokens stay outstanding until their leases
// expire.
void
EndGrantorSession(Grantor& aGrantor, const InstanceId& aEntry, Epoch aEpoch);

// Forgets a session that a new incarnation of its entry has replaced. The
// former process is gone, and with it any tokens of an earlier leader that it
// had not reported.
void
ReplaceGrantorSession(Grantor& aGrantor, MonoTime aNow, Epoch aEpoch);

} // namespace caraway
