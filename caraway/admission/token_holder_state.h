#pragma once
// The state of an entry's token holder.

#include <optional>
#include <set>

#include "absl/container/flat_hash_map.h"
#include "caraway/admission/recent_admissions.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/wire/grant_messages.h"

namespace caraway {

// The tokens of one workspace. Counts are whole numbers.
struct HeldTokens
{
  double mHeld = 0;
  MonoTime mEnds;         // no token may be spent from here on
  double mBrief = 0;      // granted for requests on hold; spent first
  MonoTime mBriefEnds;    // no such token may be spent from here on
  double mBriefSpent = 0; // of the last such grant
  double mSpent = 0;      // running total of the session, without brief ones
  double mReported = 0;   // mSpent when last sent
  double mReturnable = 0; // spent since last sent, under a lease that holds
  SpanCount mArrivals;    // requests, by kDemandWindow
  double mUnsent = 0;     // requests on hold, not in the message in flight
  double mSent = 0;       // requests on hold that the message in flight states
  double mAwaitingRetry = 0; // of those, not yet tried since the reply
  double mOpen = 0;          // wanted by the last message and not given
  double mExpected = 0; // requests on hold that may still get a token in time
  bool mScarce = false; // by the last reply
  bool mReturnExcess = false; // scarce tokens lie here unneeded
  MonoTime mRetryAt;          // when the grantor expects the missing tokens
  MonoTime mAskAgainAt;       // no urgent ask before
  MonoTime mSentAt;           // last message that named this workspace
};

struct TokenHolder
{
  InstanceId mEntry;
  Epoch mEpoch;
  uint64_t mGrantor = 0;
  uint64_t mSequence = 0;
  bool mSettled = true; // the grantor knows what is outstanding
  MonoTime mRepliedAt;  // the last reply
  // Of the process, so a new session goes on with it.
  RecentAdmissions mRecent;
  std::optional<GrantRequest> mInFlight;
  MonoTime mResendAt;
  Duration mResendWait; // before mResendAt; doubles with each resend
  MonoTime mLastSent;
  // Urgent messages: a bucket of 4 that refills at 16 per second, so that no
  // second sees more than 20.
  double mUrgentLeft = 4;
  MonoTime mUrgentAt;
  bool mReportAll = false; // a new leader must hear of all holdings
  MonoTime mNextSweep;
  absl::flat_hash_map<WorkspaceId, HeldTokens> mTokens;
  std::set<WorkspaceId> mActive; // something held, waiting or to report
};

} // namespace caraway
