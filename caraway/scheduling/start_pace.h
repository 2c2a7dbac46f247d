#pragma once
// Sliding-window limits on the calls started at a target.
//
// Cold targets. A target may turn cold without warning, and a cold target can
// take only a stated number of requests per second, so the limit applies at all
// times. Batch items are stopped and restarted in bursts; they use at most half
// of it.
//
// Proof of the bound. Let B be the requests in any second that a cold target
// tolerates (ToleratedStarts), R its stated rate, and S its slots.
//
// The node grants at most B - S starts in any second. A grant may be used late,
// but it occupies a slot until then, so at most S grants issued before a given
// second are used within it: S + (B - S) = B. While the target reports that it
// is cold, the node grants at most R. A grant that its entry gives back unused
// counts no more.
//
// A node that has just started does not know of earlier starts and grants
// nothing for one second. A target that has just started is cold: entries that
// called it before its node knew it start at most B - R, and the node grants at
// most R, which add up to B.
//
// Entries call without a grant ("unguarded") if no node is known for the
// target, or if the node has not answered for longer than a second: at most
// B - R for all entries together. Grants of a dead node that are used even
// later add at most S, and (B - R) + S <= B while S <= R.
//
// Stated rates. A target in need states in its answers how many requests per
// second it takes from all callers together. Let L be that rate. One process
// divides it: the node beside the target or, for a target without a node, one
// entry (entry/start_times.h). It allows at most L * t + kRateBurst starts in
// any time t, and begins with a single start, so a new process in its place
// allows one more than the former one would have. Entries that get no reply
// from it start at most L * kUnguardedRateShare * t + 1, all of them together.
// So in 4 s all callers together stay below 5 * L + 5, whichever of them are
// cut off from each other; targets tolerate 6 * L + 5.

#include <cstddef>
#include <cstdint>
#include <deque>

#include "caraway/base/time.h"

namespace caraway {

// Length of the sliding window.
constexpr Duration kPaceWindow = Seconds(1);

// Part of a stated rate that entries may use without a grant.
constexpr double kUnguardedRateShare = 0.25;
// Starts that a stated rate allows at once after a pause.
constexpr double kRateBurst = 4;

struct StartPace
{
  double mPerSecond = 0;        // most starts in any kPaceWindow, 0: no limit
  std::deque<MonoTime> mStarts; // starts within the last kPaceWindow
  MonoTime mQuietUntil{ 0 };    // no start before this time, 0: none pending
  double mStatedRate = 0;       // starts/s that the target takes, 0: any number
  double mRateBurst = kRateBurst; // at least 1
  // When the starts so far are used up at the stated rate. At most mRateBurst
  // starts ahead of the present.
  MonoTime mRateUsedUntil{ 0 };
  MonoTime mCheckedAt{ 0 }; // last ForgetOldStarts
};

// What a cold target tolerates for a short time beyond its stated rate R:
// mFactor * R + mSlack requests in any second.
struct ColdTolerance
{
  double mFactor = 1.5;
  double mSlack = 5; // requests
};

// Requests in any second that a cold target of this rate tolerates. 0: any
// number.
double
ToleratedStarts(const ColdTolerance& aTolerance, double aColdRate);

// Starts in any second that the node may grant. 0: any number.
double
GrantableStarts(const ColdTolerance& aTolerance,
                double aColdRate,
                uint32_t aSlots,
                bool aCold);

// Starts in any second without a grant, for all entries together. aColdRate
// must be above 0.
double
UnguardedStarts(const ColdTolerance& aTolerance, double aColdRate);

// The share of a bound for the user of the given rank, so that users need no
// coordination. The shares of all ranks add up to at most the bound.
uint32_t
ShareOfRank(double aBound, uint32_t aRank, uint32_t aUsers);

// Sets the stated rate; 0: none. What earlier starts have used of the former
// rate carries over; without a former rate, one start is allowed at once.
void
SetStatedRate(StartPace& aPace, MonoTime aNow, double aPerSecond);

// The rate for the user of the given rank among those that call without a
// grant. The rates of all ranks add up to at most kUnguardedRateShare of the
// stated rate, which must be above 0. 0: this user may not call.
double
UnguardedRateOfRank(double aStatedRate, uint32_t aRank, uint32_t aUsers);

// Time between starts at the stated rate; 0 if none is stated.
Duration
TimePerStart(const StartPace& aPace);

// When one more start fits under the stated rate, if aAhead other starts go
// first; aNow if no rate is stated.
MonoTime
NextStartUnderRate(const StartPace& aPace, MonoTime aNow, size_t aAhead);

enum class StartKind : uint8_t
{
  eOnline,
  eBatch,
};

// Drops starts that have left the window, and a quiet period that is over. Call
// this before NextStart, which could otherwise return a time in the past.
void
ForgetOldStarts(StartPace& aPace, MonoTime aNow);

// True if one more start now stays within the limits.
bool
MayStart(StartPace& aPace, MonoTime aNow, StartKind aKind);

// aNow may lie in the future, for a reserved start.
void
RecordCallStart(StartPace& aPace, MonoTime aNow);

// Takes back a start that was recorded at aStartedAt and was not used. Only for
// the sliding window; time that passed at a stated rate is not made up for.
void
ReturnStart(StartPace& aPace, MonoTime aStartedAt);

// When the quiet period ends, or else the oldest start leaves the window or the
// stated rate allows another start; kNever if nothing of that is ahead.
MonoTime
NextStart(const StartPace& aPace);

} // namespace caraway
