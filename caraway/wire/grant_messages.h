#pragma once
// Messages of admission control: an entry requests tokens from the leader. One
// token admits one request of a workspace.

#include <cstdint>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

// Token use and demand of one workspace at an entry, in tokens.
struct WorkspaceDemand
{
  WorkspaceId mWorkspace;
  double mSpent = 0;   // of mTokens granted: total spent in this session
  double mHeld = 0;    // unspent at sending
  double mWanted = 0;  // wanted in addition to mHeld
  double mWaiting = 0; // part of mWanted for which requests are on hold
  // Requests admitted within mRecentPeriod before sending, plus unspent tokens
  // with a brief lease.
  double mRecent = 0;
};

struct GrantRequest
{
  InstanceId mInstance;
  Epoch mEpoch;
  uint64_t mSequence = 0; // increases by one; a retransmission keeps its number
  int64_t mSentAt = 0;    // monotonic µs at the first transmission
  uint64_t mGrantor = 0;  // of the last reply; another leader grants nothing
  // If above 0, mDemands has every workspace with admissions in this period.
  Duration mRecentPeriod;
  std::vector<WorkspaceDemand> mDemands; // active workspaces only
};

// Tokens granted to an entry for one workspace.
struct WorkspaceGrant
{
  WorkspaceId mWorkspace;
  double mTokens = 0;   // granted with mLease
  double mBrief = 0;    // granted with mBriefLease, for requests on hold
  Duration mRetryAfter; // until the remainder is expected, 0: granted in full
};

struct GrantReply
{
  Epoch mEpoch;
  uint64_t mSequence = 0; // echo; other sequence numbers are ignored
  int64_t mSentAt = 0;    // echo
  uint64_t mGrantor = 0;  // identifies the leadership that granted
  Duration mLease;        // unspent tokens expire at its end
  Duration mBriefLease;   // likewise; use of these tokens is not reported
  // False while tokens granted by an earlier leader may still be valid; until
  // they have expired, the new leader grants (nearly) nothing.
  bool mSettled = true;
  std::vector<WorkspaceGrant> mGrants;
};

// Entry -> entry, while no grantor answers: asks a lender of the workspace's
// rate to let one request start, see admission/lending.h.
struct LoanRequest
{
  RequestId mRequest;
  WorkspaceId mWorkspace;
  Duration mWait; // refused unless it may start within this time
};

struct LoanReply
{
  RequestId mRequest;
  WorkspaceId mWorkspace;
  bool mGranted = false;
  Duration mDelay; // until the start, or until the lender may have a loan
};

} // namespace caraway
