#pragma once
// Sliding-window limit on the calls started at a target in any second.
//
// A target may turn cold without warning, and a cold target can take only a
// stated number of requests per second, so the limit applies at all times.
// Batch items are stopped and restarted in bursts; they use at most half of it.
//
// Proof of the bound. Let B be the requests in any second that a cold target
// tolerates (ToleratedStarts), R its stated rate, and S its slots.
//
// The node grants at most B - S starts in any second. A grant may be used late,
// but it occupies a slot until then, so at most S grants issued before a given
// second are used within it: S + (B - S) = B. While the target reports that it
// is cold, the node grants at most R.
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

#include <cstdint>
#include <deque>

#include "caraway/base/time.h"

namespace caraway {

// Length of the sliding window.
constexpr Duration kPaceWindow = Seconds(1);

struct StartPace
{
  double mPerSecond = 0;        // most starts in any window, 0: no limit
  std::deque<MonoTime> mStarts; // starts within the last window
  MonoTime mQuietUntil{ 0 };    // no start before this time, 0: none pending
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

enum class StartKind : uint8_t
{
  eOnline,
  eBatch,
};

// Drops starts that have left the window, and a quiet period that is over. Call
// this before NextStart, which could otherwise return a time in the past.
void
ForgetOldStarts(StartPace& aPace, MonoTime aNow);

// True if one more start now stays within the limit.
bool
MayStart(StartPace& aPace, MonoTime aNow, StartKind aKind);

void
RecordCallStart(StartPace& aPace, MonoTime aNow);

// When the quiet period ends or else the oldest start leaves the window; kNever
// if there is no limit, or neither a quiet period nor a start.
MonoTime
NextStart(const StartPace& aPace);

} // namespace caraway
