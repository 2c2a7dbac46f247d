#pragma once
// State of the entry's session with control, of its configuration fetching and
// of its shutdown.

#include <map>
#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/config/change.h"
#include "caraway/wire/session_messages.h"

namespace caraway {

// Earlier than any time of the process.
constexpr MonoTime kLongAgo{ -kNever.mMicros };

// The last thing that a replica said when it did not reply as a leader.
struct ReplicaAnswer
{
  bool mSilent = true; // no reply, or the connection was lost
  NotLeader mReply;    // unless silent
  MonoTime mAt;
};

struct EntrySession
{
  Epoch mEpoch;        // none until registered
  size_t mReplica = 0; // index in mControl of the replica tried last
  PeerAddress mLeader; // presumed leader, to which messages are sent
  // Replica that last replied as leader; empty while contact is lost.
  PeerAddress mConfirmedLeader;
  Term mTerm; // highest term of a leader that announced itself
  // When contact with the leader was lost, or when the entry started; kNever
  // while there is contact.
  MonoTime mLeaderLostAt = kNever;
  MonoTime mStartedAt;
  MonoTime mHeardAt = kLongAgo; // last reply of a leader
  // By replica, since contact was lost; only replicas of mControl are kept.
  std::map<PeerAddress, ReplicaAnswer> mAnswers;
  MonoTime mLeaseEnd = kLongAgo;
  MonoTime mNextSend; // when to send the next Register or Renew
  MonoTime mLastSent = kLongAgo;
  MonoTime mReplyBy = kNever;  // without a reply by then, try another replica
  MonoTime mResendAt = kNever; // when to resend all open calls to mLeader
  MonoTime mRedirectedAt = kLongAgo; // time to follow the last redirect
  Epoch mLastEndedEpoch; // replies with this epoch or an older one are ignored
  Revision mRenewedRevision;                      // revision in the last Renew
  RenewVerdict mVerdict = RenewVerdict::eGranted; // of the last reply
  // A leader has granted a lease since the process started: the copy of the
  // configuration is not older than what was acknowledged before that.
  bool mCopyConfirmed = false;
};

constexpr uint32_t kMostReplacements = 3;

struct ConfigFetcher
{
  size_t mReplica = 0; // index in mControl, modulo its size
  MonoTime mNextFetch;
  MonoTime mSentAt = kLongAgo;
  MonoTime mReplyBy = kNever;       // kNever: no poll is in flight
  Revision mPartRevision;           // of the snapshot being received
  std::vector<ConfigChange> mParts; // received so far, in order
  PeerAddress mSource;              // sent the newest part of the copy
  // The copy was found to differ from the configuration at its revision. The
  // next snapshot replaces it, also at the same revision.
  bool mReplaceCopy = false;
  MonoTime mReplacedAt = kLongAgo;
  // Times that the copy was replaced for that reason. From kMostReplacements on
  // the comparison is taken to be at fault, and no digest is stated any more.
  uint32_t mReplacements = 0;
};

struct DrainState
{
  MonoTime mSince = kNever; // when StopRequested arrived; kNever: not draining
  MonoTime mLeaveAt = kNever;      // when the first Leave was sent
  MonoTime mNextLeave = kNever;    // when to send the next Leave
  bool mBalancerGraceOver = false; // the load balancer's time to react is over
  bool mStopped = false;
};

} // namespace caraway
