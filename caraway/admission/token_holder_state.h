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
  MonoTime mEnds;         // expiry of mHeld
  double mBrief = 0;      // granted for requests on hold; spent first
  MonoTime mBriefEnds;    // expiry of mBrief
  double mBriefSpent = 0; // spent of the last such grant
  double mSpent = 0;      // running total of the session, without mBriefSpent
  double mReported = 0;   // mSpent when last sent
  double mReturnable = 0; // spent since last sent, under the current lease
  SpanCount mArrivals;    // requests, in spans of kDemandWindow
  double mUnsent = 0;     // requests on hold, not in the message in flight
  double mSent = 0;       // requests on hold in the message in flight
  double mAwaitingRetry = 0;  // of the answered message, not retried since
  double mOpen = 0;           // wanted by the last message, not granted
  double mExpected = 0;       // tokens expected in time for requests on hold
  bool mScarce = false;       // the last reply left wants unmet
  bool mReturnExcess = false; // excess tokens should be returned soon
  MonoTime mRetryAt;          // when the grantor expects the missing tokens
  MonoTime mAskAgainAt;       // no urgent message for mUnsent before
  MonoTime mSentAt;           // last message that named this workspace
};

struct TokenHolder
{
  InstanceId mEntry;
  Epoch mEpoch;
  uint64_t mGrantor = 0;
  uint64_t mSequence = 0;
  bool mSettled = true; // the grantor knows all outstanding tokens
  MonoTime mRepliedAt;  // time of the last reply
  // Belongs to the process, so it is kept across sessions.
  RecentAdmissions mRecent;
  std::optional<GrantRequest> mInFlight;
  MonoTime mResendAt;
  Duration mResendWait; // until mResendAt; doubles with each resend
  MonoTime mLastSent;
  // Token bucket for urgent messages: capacity 4, refilled at 16 per second, so
  // that at most 20 are sent in any second.
  double mUrgentLeft = 4;
  MonoTime mUrgentAt;
  bool mReportAll = false; // report all holdings to a new leader
  MonoTime mNextSweep;
  absl::flat_hash_map<WorkspaceId, HeldTokens> mTokens;
  std::set<WorkspaceId> mActive; // something held, on hold or to report
};

} // namespace caraway
