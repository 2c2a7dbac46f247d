#pragma once
// Lending of rate shares between entries while no grantor answers.
//
// Load pattern: no leader answers, and each entry gets a few requests of each
// workspace. Divided among all entries, a share is less than one request in
// the time that an election takes, so callers within their rate are refused
// everywhere. Where a deployment tolerates requests above the contracts
// (overrun.h), a workspace's rate is divided among a few lenders instead: the
// entries that rendezvous hashing ranks first for it. Any entry borrows from
// them, one request at a time.
//
// A lender needs no agreement on who is alive: its part is fixed, and nobody
// else uses it. The parts of lenders that are dead lie idle.
//
// Proof of the bound. Let a workspace have the rate R, the burst B and K
// lenders, of which C are out of touch with the grantor, and let T be its
// tolerance in a window W (OverrunOf). A lender's bucket refills at R / K while
// the lender is out of touch, and holds at most its part of kEntryPart * T; it
// is full only if the last loan is a window ago. So in any window the lenders
// admit at most C/K * R * W + kEntryPart * T. The grantor refills at
// R * (1 - C/K) + kAwayPart * T / W, never above R, grants kLeaderPart * T once
// and lets its bucket go kHeldPart * T below zero. The sum is at most
// R * W + B + T.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "caraway/admission/overrun.h"
#include "caraway/base/ids.h"

namespace caraway {

constexpr uint32_t kMostLenders = 8;

// The longest time from a loan to the start of its request.
constexpr Duration kLongestLoanWait = Millis(700);

// How many entries lend to the workspace: no more than have a whole request of
// the tolerance, and at least one.
uint32_t
LenderCount(const RateTolerance& aTolerance, const Contract& aContract);

// The lenders of the workspace, by rank; at most aCount.
std::vector<InstanceId>
LendersOf(const WorkspaceId& aWorkspace,
          const std::vector<InstanceId>& aEntries,
          uint32_t aCount);

// Invariant: in any window, at most the capacity plus the refill of that time
// is lent.
struct LenderBucket
{
  double mTokens = 0; // negative: lent ahead of time
  MonoTime mFilledAt;
  MonoTime mLastLoan{ -kNever.mMicros }; // start of its request
  bool mFilling = false;                 // the lender is out of touch
};

struct LenderBuckets
{
  std::map<WorkspaceId, LenderBucket> mBuckets;
  bool mFilling = false; // any of them
};

// What one lender may lend of a workspace's rate.
struct LenderPart
{
  uint32_t mRank = 0;
  uint32_t mLenders = 1;
  // In which the part of the tolerance is lent once: that of the tolerance, and
  // the longest time from the loan to its use.
  Duration mWindow;
  // Of the process. A former process of this entry may have lent its part of
  // the tolerance within a window, and ahead of time for kLongestLoanWait.
  Duration mAge;
};

struct Loan
{
  bool mGranted = false;
  // Granted: until the request may start. Else until the next loan.
  Duration mDelay;
};

// Lends one request of the workspace, to start within aMaxWait. The lender is
// out of touch with the grantor.
Loan
LendShare(LenderBuckets& aBuckets,
          MonoTime aNow,
          const Contract& aContract,
          const RateTolerance& aTolerance,
          const LenderPart& aPart,
          Duration aMaxWait);

// The lender is in touch with the grantor again, which gives out the lender's
// part of the rates from now on.
void
StopLending(LenderBuckets& aBuckets);

// What a borrower knows of the lenders.
struct LenderStates
{
  std::map<InstanceId, MonoTime> mSilentUntil; // has not answered
  // By workspace and lender: when the lender will have a loan again.
  std::map<WorkspaceId, std::map<InstanceId, MonoTime>> mEmptyUntil;
};

// The lender to ask next for a request that has asked aAsked and may wait until
// aWaitUntil; null if none can help. aFirst: where in aLenders to begin, so
// that borrowers spread.
const InstanceId*
NextLender(const LenderStates& aStates,
           MonoTime aNow,
           const WorkspaceId& aWorkspace,
           const std::vector<InstanceId>& aLenders,
           size_t aFirst,
           const std::vector<InstanceId>& aAsked,
           MonoTime aWaitUntil);

// Who divides the rates with the grantor.
struct RateDivision
{
  RateTolerance mTolerance; // none: the grantor doesn't use this division
  std::vector<InstanceId> mEntries;
  std::set<InstanceId> mAway; // of mEntries, out of touch with the grantor

  bool operator==(const RateDivision&) const = default;
};

// The part of the contract's rate that the grantor gives out. aLenders: those
// of the workspace among aDivision.mEntries.
double
GrantedPart(const RateDivision& aDivision,
            const Contract& aContract,
            const std::vector<InstanceId>& aLenders);

// Spreads the returns of refused callers: after aFirst, one after the other at
// aRate per second, within aSpread.
struct ReturnTimes
{
  std::map<WorkspaceId, MonoTime> mNext;
};

Duration
NextReturn(ReturnTimes& aReturns,
           MonoTime aNow,
           const WorkspaceId& aWorkspace,
           double aRate,
           Duration aFirst,
           Duration aSpread);

} // namespace caraway
