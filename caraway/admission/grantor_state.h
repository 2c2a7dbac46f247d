#pragma once
// The state of the token grantor.

#include <deque>
#include <map>
#include <set>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/wire/grant_messages.h"

namespace caraway {

// What one entry session may hold of one workspace. All counts are whole
// numbers, so that sums stay exact.
struct GrantHolding
{
  double mAmount = 0; // upper bound of its unspent tokens
  // Part of mAmount that the level has not paid for: a report that came after
  // the lease had ended brings tokens back into the books. Never credited.
  double mUnpaid = 0;
  MonoTime mEnds;       // they are gone from here on
  double mSpent = 0;    // running total of its last report
  double mWaiting = 0;  // wanted for requests on hold, not given yet
  double mPrefetch = 0; // wanted beyond that, not given yet
};

struct GrantBucket
{
  double mLevel = 0; // tokens to give
  MonoTime mRefilledAt;
  double mHeld = 0;        // sum of mAmount
  double mOutstanding = 0; // mHeld and the sum of mBriefGrants
  double mFirstHeld = 0;   // held in the first reports after an election
  double mWaiting = 0;     // sum of mWaiting
  double mPrefetch = 0;    // sum of mPrefetch
  // Admitted since mHistoryStart, as entries said, and held then.
  double mRecent = 0;
  double mGiven = 0;      // since the election
  bool mCredited = false; // the level takes the evidence into account
  std::map<Epoch, GrantHolding> mHoldings; // by entry session
  std::set<std::pair<MonoTime, Epoch>> mEnds;
  // Tokens given to requests on hold, and when they are gone, in that order.
  std::deque<std::pair<MonoTime, double>> mBriefGrants;
};

struct GrantSession
{
  uint64_t mSequence = 0;
  GrantReply mReply; // to that sequence, for a resend
};

struct Grantor
{
  uint64_t mIncarnation = 0; // of this leadership
  Duration mLease;
  // Until then, entries that have not reported may hold tokens of an earlier
  // leader.
  MonoTime mHoldingsKnownAt;
  MonoTime mBriefGrantsEnd; // likewise for tokens of requests on hold
  std::set<Epoch> mUnreported;
  std::map<Epoch, GrantSession> mSessions; // epochs are unique in the system
  absl::flat_hash_map<WorkspaceId, GrantBucket> mBuckets;
  MonoTime mNextSweep;
  // What entries say they admitted lately. Once all entries of the election
  // have spoken, no more than that has left any bucket since mHistoryStart.
  std::set<InstanceId> mSilent;  // have not spoken yet
  MonoTime mHistoryStart;        // covered by all who spoke
  MonoTime mHistoryEnd = kNever; // the first entry spoke
  // Part of each rate that this grantor gives out. The rest belongs to entries
  // out of reach, which admit their even share by themselves.
  double mRateShare = 1;
};

} // namespace caraway
