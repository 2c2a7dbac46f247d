#pragma once
// The state of the token grantor.

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "caraway/admission/lending.h"
#include "caraway/admission/overrun.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/wire/grant_messages.h"

namespace caraway {

// The tokens of one workspace that one entry session may hold. All counts are
// whole numbers, so that sums stay exact.
struct GrantHolding
{
  double mAmount = 0; // upper bound of the unspent tokens
  // Part of mAmount that was not deducted from the level: tokens reported after
  // their lease had ended are counted again even if the level cannot cover
  // them. This part is never credited to the level.
  double mUnpaid = 0;
  MonoTime mEnds;       // when the tokens expire
  double mSpent = 0;    // running total in its last report
  double mWaiting = 0;  // wanted for requests on hold, not granted yet
  double mPrefetch = 0; // wanted beyond that, not granted yet
};

struct GrantBucket
{
  double mLevel = 0; // tokens available to grant; negative: in advance
  MonoTime mRefilledAt;
  double mHeld = 0;        // sum of mAmount over mHoldings
  double mOutstanding = 0; // mHeld plus the sum of mBriefGrants
  double mFirstHeld = 0;   // sum held in the first reports after the election
  double mWaiting = 0;     // sum of mWaiting over mHoldings
  double mPrefetch = 0;    // sum of mPrefetch over mHoldings
  // Admissions since mHistoryStart that entries reported, plus tokens they
  // held.
  double mRecent = 0;
  double mGiven = 0;   // tokens granted since the election
  double mOverrun = 0; // of mGiven, above the contract
  // Part of the rate that refills this bucket, and its lenders, with the
  // versions of the grantor's division and entries for which they hold.
  double mPart = 1;
  uint64_t mPartVersion = 0;
  std::vector<InstanceId> mLenders;
  uint64_t mEntriesVersion = 0;
  bool mCredited = false; // the level accounts for the reported admissions
  std::map<Epoch, GrantHolding> mHoldings;    // by entry session
  std::set<std::pair<MonoTime, Epoch>> mEnds; // of mHoldings
  // Expiry time and number of tokens granted for requests on hold, by time.
  std::deque<std::pair<MonoTime, double>> mBriefGrants;
};

struct GrantSession
{
  uint64_t mSequence = 0;
  GrantReply mReply; // to that sequence, repeated for a resend
};

struct Grantor
{
  uint64_t mIncarnation = 0; // identifies this leadership
  Duration mLease;
  // Before this time, entries that have not reported may hold tokens of an
  // earlier leader.
  MonoTime mHoldingsKnownAt;
  MonoTime mBriefGrantsEnd;    // the same for tokens of requests on hold
  std::set<Epoch> mUnreported; // sessions that may hold such tokens
  std::map<Epoch, GrantSession> mSessions; // epochs are unique in the system
  absl::flat_hash_map<WorkspaceId, GrantBucket> mBuckets;
  MonoTime mNextSweep;
  // Recent admissions as reported by entries. Once all entries registered at
  // the election have reported, no bucket lost more than that since
  // mHistoryStart.
  std::set<InstanceId> mSilent;  // entries that have not reported yet
  MonoTime mHistoryStart;        // covered by all reports so far
  MonoTime mHistoryEnd = kNever; // time of the first report
  // Part of each rate that this grantor gives out. The rest belongs to entries
  // that cannot reach it and admit their equal share on their own.
  double mRateShare = 1;
  // The same for each workspace, where the deployment states a tolerance.
  RateDivision mDivision;
  uint64_t mDivisionVersion = 1;
  uint64_t mEntriesVersion = 1;
  // What this leader may grant above each contract, until mOverrunUntil.
  RateTolerance mTolerance;
  MonoTime mOverrunUntil{ -kNever.mMicros };
};

} // namespace caraway
