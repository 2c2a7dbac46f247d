#pragma once
// The entry's session with control, and its fetching of configuration.

#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/config/change.h"

namespace caraway {

constexpr MonoTime kLongAgo{ -kNever.mMicros };

struct EntrySession
{
  Epoch mEpoch;                 // none while registering
  size_t mReplica = 0;          // index of mLeader in the settings, or beyond
  PeerAddress mLeader;          // where messages for the leader go
  PeerAddress mConfirmedLeader; // replica that last answered as leader
  Term mTerm;                   // of the newest leader that announced itself
  MonoTime mLeaderLostAt = kNever; // contact with the leader was lost
  MonoTime mLeaseEnd = kLongAgo;
  MonoTime mNextSend; // next Register or Renew
  MonoTime mLastSent = kLongAgo;
  MonoTime mReplyBy = kNever;  // no answer until then: try another replica
  MonoTime mResendAt = kNever; // send everything open to mLeader again
  MonoTime mRedirectedAt = kLongAgo;
  Epoch mEnded;              // last epoch that control ended
  Revision mRenewedRevision; // revision in the last Renew
};

struct ConfigFetcher
{
  size_t mReplica = 0;
  MonoTime mNextFetch;
  MonoTime mSentAt = kLongAgo;
  MonoTime mReplyBy = kNever;
  Revision mPartRevision;           // of the snapshot being collected
  std::vector<ConfigChange> mParts; // collected so far, in order
};

struct DrainState
{
  MonoTime mSince = kNever;   // StopRequested; kNever while serving
  MonoTime mLeaveAt = kNever; // first Leave sent
  MonoTime mNextLeave = kNever;
  bool mBalancerGraceOver = false; // the time for the balancer is over
  bool mStopped = false;
};

} // namespace caraway
