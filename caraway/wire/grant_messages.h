#pragma once
// Messages of admission: an entry asks the leader for tokens.

#include <cstdint>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

struct WorkspaceDemand
{
  WorkspaceId mWorkspace;
  double mSpent = 0;   // of mTokens, since this session began, a running total
  double mHeld = 0;    // unspent tokens held when sent
  double mWanted = 0;  // tokens wanted beyond those held
  double mWaiting = 0; // part of mWanted that requests on hold wait for
  // Admitted within mRecentPeriod of the message, and brief tokens held.
  double mRecent = 0;
};

struct GrantRequest
{
  InstanceId mInstance;
  Epoch mEpoch;
  uint64_t mSequence = 0; // increases by one; a resend keeps its number
  int64_t mSentAt = 0;    // of the first send
  uint64_t mGrantor = 0;  // of the last reply; another leader grants nothing
  // Above 0: mDemands names every workspace with admissions in this time.
  Duration mRecentPeriod;
  std::vector<WorkspaceDemand> mDemands; // active workspaces only
};

struct WorkspaceGrant
{
  WorkspaceId mWorkspace;
  double mTokens = 0;   // granted by this reply under mLease
  double mBrief = 0;    // granted for requests on hold under mBriefLease
  Duration mRetryAfter; // when the wanted rest is expected, 0 if all was given
};

struct GrantReply
{
  Epoch mEpoch;
  uint64_t mSequence = 0; // echo; a reply to another sequence is ignored
  int64_t mSentAt = 0;    // echo
  uint64_t mGrantor = 0;  // identifies the leadership that granted
  Duration mLease;        // unspent tokens are dropped when it ends
  Duration mBriefLease;   // likewise; these tokens are never reported
  // False while tokens of an earlier leader may be about: this one grants
  // (nearly) nothing until then.
  bool mSettled = true;
  std::vector<WorkspaceGrant> mGrants;
};

} // namespace caraway
