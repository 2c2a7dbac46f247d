#pragma once
// The leader's soft state of member sessions: configuration leases, the
// revision each holder has applied, and the revision in force.
//
// A revision is in force when every holder of a configuration lease has renewed
// at or above it. A holder counts until its lease has expired at the grantor,
// even if its session was replaced, since the old process may still serve.

#include <deque>
#include <map>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/lease.h"
#include "caraway/config/config_view.h"
#include "caraway/wire/session_messages.h"

namespace caraway {

struct Session
{
  Epoch mEpoch;
  MonoTime mStarted;
  MonoTime mLeaseEnd; // at the grantor; mStarted before the first renewal
  Revision mHeld;     // highest revision it renewed with
  // Newest when the session started: operators may have been told that it is in
  // force. A lease needs at least this.
  Revision mNeeded;
  // Until when it holds a lease by its own account. Earlier than mLeaseEnd if
  // replies do not arrive.
  MonoTime mHoldsUntil;
  uint32_t mRunning = 0;            // nodes: calls running at the target
  uint32_t mLimit = 0;              // nodes: concurrency limit
  uint64_t mLeaseItemsSequence = 0; // highest LeaseItems sequence proposed
  bool mLeaseItemsSequenceKnown =
    false;                    // mLeaseItemsSequence is valid under this leader
  MonoTime mEndProposedAt;    // last EndSession for it, 0 for never
  MonoTime mUpdateProposedAt; // last UpdateMember for it, 0 for never
};

// An unexpired lease of a session that has ended.
struct FormerLease
{
  MonoTime mLeaseEnd;
  Revision mHeld;
};

struct RevisionTime
{
  Revision mRevision;
  MonoTime mAppliedAt;
};

struct Sessions
{
  Duration mLease; // length of configuration leases
  std::map<InstanceId, Session> mSessions;
  std::vector<FormerLease> mFormer;
  std::deque<RevisionTime> mRecent; // revisions younger than kFetchAllowance
  Revision mRequired; // a renewal below it is answered eRevisionTooOld
  Revision mReported; // highest revision reported in force; never decreases
  MonoTime mMassExpirySince;  // start of a mass lease expiry; 0: none
  uint64_t mWithoutLease = 0; // members without a lease at the last scan
};

struct LostMember
{
  InstanceId mInstance;
  Epoch mEpoch;
};

// Longest time that a renewal is assumed to be on its way.
constexpr Duration kRenewalDelay = Millis(300);

// How long a holder may take to fetch a change. A holder that renews without
// having fetched it gets no further lease after that, so that it cannot keep
// the change from coming into force.
constexpr Duration kFetchAllowance = Millis(1500);

// Call it when this replica becomes the leader. Every registered member may
// hold a lease granted by the former leader, until aNow plus the lease.
void
StartSessions(Sessions& aSessions,
              MonoTime aNow,
              Duration aLease,
              const ConfigView& aView);

void
SessionStarted(Sessions& aSessions,
               MonoTime aNow,
               const InstanceId& aInstance,
               Epoch aEpoch,
               Revision aNewest);

// aLeft: the process sent Leave, so nothing acts under its lease any more.
void
SessionEnded(Sessions& aSessions,
             MonoTime aNow,
             const InstanceId& aInstance,
             Epoch aEpoch,
             bool aLeft);

// Records that aRevision is the newest revision.
void
RevisionApplied(Sessions& aSessions, MonoTime aNow, Revision aRevision);

// aDigest: ViewDigest of the configuration at aNewest.
RenewReply
HandleRenew(Sessions& aSessions,
            MonoTime aNow,
            const Renew& aRenew,
            Revision aNewest,
            uint64_t aDigest = 0);

// Returns the highest revision in force and records that it was reported.
Revision
ReportInForce(Sessions& aSessions, MonoTime aNow, Revision aNewest);

// True if every entry that holds a lease has renewed at or above the revision.
// Nodes are left out: they act on other parts of the configuration.
bool
IsHeldByEntries(const Sessions& aSessions,
                MonoTime aNow,
                const ConfigView& aView,
                Revision aRevision);

// Members whose leases expired at least aGrace ago and whose removal is to be
// proposed. Empty for some time after leases in several zones expired at once
// (removal.cpp).
std::vector<LostMember>
LostMembers(Sessions& aSessions,
            MonoTime aNow,
            Duration aGrace,
            const ConfigView& aView);

} // namespace caraway
