// Sliding-window limit on the calls started at a target.

#include "caraway/scheduling/start_pace.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr double kBatchShare = 0.5;

} // namespace

double
ToleratedStarts(const ColdTolerance& aTolerance, double aColdRate)
{
  return aColdRate <= 0 ? 0
                        : aTolerance.mFactor * aColdRate + aTolerance.mSlack;
}

double
GrantableStarts(const ColdTolerance& aTolerance,
                double aColdRate,
                uint32_t aSlots,
                bool aCold)
{
  if (aColdRate <= 0) {
    return 0;
  }
  const double late =
    std::max(1.0, ToleratedStarts(aTolerance, aColdRate) - aSlots);
  return aCold ? std::min(late, aColdRate) : late;
}

double
UnguardedStarts(const ColdTolerance& aTolerance, double aColdRate)
{
  return std::max(0.0, ToleratedStarts(aTolerance, aColdRate) - aColdRate);
}

uint32_t
ShareOfRank(double aBound, uint32_t aRank, uint32_t aUsers)
{
  const auto whole = static_cast<uint32_t>(std::max(0.0, aBound));
  const uint32_t users = std::min(aUsers, whole);
  return aRank < users ? whole / users : 0;
}

void
ForgetOldStarts(StartPace& aPace, MonoTime aNow)
{
  while (!aPace.mStarts.empty() && aNow - aPace.mStarts.front() > kPaceWindow) {
    aPace.mStarts.pop_front();
  }
  if (aNow >= aPace.mQuietUntil) {
    aPace.mQuietUntil = MonoTime{ 0 };
  }
}

bool
MayStart(StartPace& aPace, MonoTime aNow, StartKind aKind)
{
  ForgetOldStarts(aPace, aNow);
  if (aPace.mPerSecond <= 0) {
    return true;
  }
  if (aNow < aPace.mQuietUntil) {
    return false;
  }
  const double most =
    std::max(1.0,
             aKind == StartKind::eBatch ? aPace.mPerSecond * kBatchShare
                                        : aPace.mPerSecond);
  return static_cast<double>(aPace.mStarts.size()) + 1 <= most;
}

void
RecordCallStart(StartPace& aPace, MonoTime aNow)
{
  if (aPace.mPerSecond > 0) {
    aPace.mStarts.push_back(aNow);
  }
}

MonoTime
NextStart(const StartPace& aPace)
{
  if (aPace.mPerSecond <= 0) {
    return kNever;
  }
  if (aPace.mQuietUntil != MonoTime{ 0 }) {
    return aPace.mQuietUntil;
  }
  return aPace.mStarts.empty()
           ? kNever
           : aPace.mStarts.front() + kPaceWindow + Micros(1);
}

} // namespace caraway
