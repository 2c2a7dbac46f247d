#pragma once
// The leader's soft state of member sessions: configuration leases, the
// revision each holder has applied, and the revision in force.
//
// A revision is in force when every holder of a configuration lease has renewed
// at or above it. A holder counts until its lease has run out at the grantor,
// also after its session was replaced, since the old process may still serve.

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
  MonoTime mLeaseEnd;       // at the grantor; mStarted before the first renewal
  Revision mHeld;           // highest revision it renewed with
  uint32_t mRunning = 0;    // nodes: calls at the target
  uint32_t mLimit = 0;      // nodes: concurrency limit
  uint64_t mLeaseAsked = 0; // highest LeaseItems sequence proposed
  bool mLeaseKnown = false; // mLeaseAsked is valid under this leader
  MonoTime mEndProposed;    // last EndSession for it, 0 for never
  MonoTime mUpdateProposed; // last UpdateMember for it, 0 for never
};

// The lease of a session that was replaced.
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
  Revision mRequired;   // a renewal below it is answered eRevisionTooOld
  Revision mReported;   // highest revision reported in force; never decreases
  MonoTime mWaveSince;  // start of a wave of lost members, 0 for none
  uint64_t mLapsed = 0; // members without a lease at the last scan
};

struct LostMember
{
  InstanceId mInstance;
  Epoch mEpoch;
};

// A holder that renews but does not fetch gets no further lease this long after
// a change, so that it cannot keep the change from coming into force.
constexpr Duration kFetchAllowance = Millis(1500);

// This replica became leader. Every registered member may hold a lease that the
// former leader gave, until aNow plus the lease.
void
StartSessions(Sessions& aSessions,
              MonoTime aNow,
              Duration aLease,
              const ConfigView& aView);

void
SessionStarted(Sessions& aSessions,
               MonoTime aNow,
               const InstanceId& aInstance,
               Epoch aEpoch);

// aLeft: the process said goodbye, so nothing acts under its lease any more.
void
SessionEnded(Sessions& aSessions,
             MonoTime aNow,
             const InstanceId& aInstance,
             Epoch aEpoch,
             bool aLeft);

// The newest revision is now aRevision.
void
RevisionApplied(Sessions& aSessions, MonoTime aNow, Revision aRevision);

RenewReply
HandleRenew(Sessions& aSessions,
            MonoTime aNow,
            const Renew& aRenew,
            Revision aNewest);

// The highest revision that is in force, and records that it was reported.
Revision
ReportInForce(Sessions& aSessions, MonoTime aNow, Revision aNewest);

// Members whose leases ran out long enough ago. Empty while a wave of losses
// is being waited out.
std::vector<LostMember>
LostMembers(Sessions& aSessions,
            MonoTime aNow,
            Duration aGrace,
            const ConfigView& aView);

} // namespace caraway
