#pragma once
// A bound on the starts at a target within any second.
//
// A target may turn cold without warning and then bears only a stated number of
// requests a second, so the bound holds at all times. Batch items, which are
// stopped and started again in bursts, use half of it at most.
//
// Who may start a call, with B = what is borne, R = the stated rate, S = slots:
//
// The node grants at most B - S in any second. A grant may be used late, but it
// holds a slot until it is used, so at most S grants from before a second can
// be used in it: S + (B - S) = B. While the target says that it is cold, the
// node grants R at most.
//
// A node that has just started knows no earlier starts and is quiet for a
// second. A target that has just started is cold: entries that called it before
// its node knew it and the node itself keep to (B - R) + R.
//
// Entries call without a grant where no node is known, or after it has been
// silent for longer than a second: B - R at most, all entries together. Grants
// of a node that died which are used later than that add S at most, which stays
// within B while S <= R.

#include <cstdint>
#include <deque>

#include "caraway/base/time.h"

namespace caraway {

// Any second of a StartPace.
constexpr Duration kPaceWindow = Seconds(1);

struct StartPace
{
  double mPerSecond = 0;        // most starts in any second, 0: no bound
  std::deque<MonoTime> mStarts; // of the last second
  MonoTime mQuietUntil{ 0 };    // no start before; 0: not quiet
};

// What a cold target bears for a short time, from its stated rate R:
// mFactor x R + mSlack requests in any second.
struct ColdTolerance
{
  double mFactor = 1.5;
  double mSlack = 5; // requests
};

// Requests in any second that a target of this rate bears; 0: any number.
double
ToleratedStarts(const ColdTolerance& aTolerance, double aColdRate);

// Starts in any second that a node may grant. 0: any number.
double
GrantableStarts(const ColdTolerance& aTolerance,
                double aColdRate,
                uint32_t aSlots,
                bool aCold);

// Starts in any second of all entries together, without a grant. Only with a
// rate above 0.
double
UnguardedStarts(const ColdTolerance& aTolerance, double aColdRate);

// A share of a bound that its users keep to without talking to each other. The
// shares of all ranks add up to the bound at most.
uint32_t
ShareOfRank(double aBound, uint32_t aRank, uint32_t aUsers);

enum class StartKind : uint8_t
{
  eOnline,
  eBatch,
};

// Drops what no longer counts. Before NextStart, which would otherwise name a
// time in the past.
void
ForgetOldStarts(StartPace& aPace, MonoTime aNow);

// True if one more start stays within the bound.
bool
MayStart(StartPace& aPace, MonoTime aNow, StartKind aKind);

void
RecordCallStart(StartPace& aPace, MonoTime aNow);

// When quiet is over or the oldest start leaves the window; kNever without a
// bound or starts.
MonoTime
NextStart(const StartPace& aPace);

} // namespace caraway
