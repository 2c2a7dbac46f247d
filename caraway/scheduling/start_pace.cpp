// Sliding-window limits on the calls started at a target.

#include "caraway/scheduling/start_pace.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr double kBatchShare = 0.5;
// Long enough for a whole start of several entries under a small rate.
constexpr Duration kUnguardedRateWindow = Seconds(4);
constexpr double kRounding = 1e-6;

// How long before mRateUsedUntil a start that may use this share of the burst
// is allowed.
Duration
RateCredit(const StartPace& aPace, double aShare)
{
  const double others = std::max(0.0, aPace.mRateBurst * aShare - 1);
  return Micros(static_cast<int64_t>(
    others * static_cast<double>(TimePerStart(aPace).mMicros)));
}

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

Duration
TimePerStart(const StartPace& aPace)
{
  return aPace.mStatedRate > 0
           ? Micros(static_cast<int64_t>(std::ceil(1e6 / aPace.mStatedRate)))
           : Duration{};
}

void
SetStatedRate(StartPace& aPace, MonoTime aNow, double aPerSecond)
{
  const Duration before = TimePerStart(aPace);
  aPace.mStatedRate = aPerSecond;
  const Duration each = TimePerStart(aPace);
  double used = aPace.mRateBurst - 1;
  if (before > Duration{}) {
    const Duration ahead = std::max(Duration{}, aPace.mRateUsedUntil - aNow);
    used = ahead.Seconds() / before.Seconds();
  }
  aPace.mRateUsedUntil =
    aNow + Micros(static_cast<int64_t>(used * each.Seconds() * 1e6));
}

double
UnguardedRateOfRank(double aStatedRate, uint32_t aRank, uint32_t aUsers)
{
  const double rate = aStatedRate * kUnguardedRateShare;
  const double window =
    std::max(kUnguardedRateWindow.Seconds(), 1 / rate + kRounding);
  return ShareOfRank(rate * window, aRank, aUsers) / window;
}

MonoTime
NextStartUnderRate(const StartPace& aPace, MonoTime aNow, size_t aAhead)
{
  if (aPace.mStatedRate <= 0) {
    return aNow;
  }
  const MonoTime next = aPace.mRateUsedUntil - RateCredit(aPace, 1) +
                        TimePerStart(aPace) * static_cast<int64_t>(aAhead);
  return std::max(aNow, next);
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
  aPace.mCheckedAt = aNow;
}

bool
MayStart(StartPace& aPace, MonoTime aNow, StartKind aKind)
{
  ForgetOldStarts(aPace, aNow);
  const double share = aKind == StartKind::eBatch ? kBatchShare : 1.0;
  if (aPace.mStatedRate > 0 &&
      aNow < aPace.mRateUsedUntil - RateCredit(aPace, share)) {
    return false;
  }
  if (aPace.mPerSecond <= 0) {
    return true;
  }
  if (aNow < aPace.mQuietUntil) {
    return false;
  }
  const double most = std::max(1.0, aPace.mPerSecond * share);
  return static_cast<double>(aPace.mStarts.size()) + 1 <= most;
}

void
RecordCallStart(StartPace& aPace, MonoTime aNow)
{
  if (aPace.mPerSecond > 0) {
    aPace.mStarts.push_back(aNow);
  }
  if (aPace.mStatedRate > 0) {
    aPace.mRateUsedUntil =
      std::max(aPace.mRateUsedUntil, aNow) + TimePerStart(aPace);
  }
}

void
ReturnStart(StartPace& aPace, MonoTime aStartedAt)
{
  auto start =
    std::find(aPace.mStarts.begin(), aPace.mStarts.end(), aStartedAt);
  if (start != aPace.mStarts.end()) {
    aPace.mStarts.erase(start);
  }
}

MonoTime
NextStart(const StartPace& aPace)
{
  MonoTime next = kNever;
  if (aPace.mPerSecond > 0 && aPace.mQuietUntil != MonoTime{ 0 }) {
    next = aPace.mQuietUntil;
  } else if (aPace.mPerSecond > 0 && !aPace.mStarts.empty()) {
    next = aPace.mStarts.front() + kPaceWindow + Micros(1);
  }
  for (const double share : { 1.0, kBatchShare }) {
    const MonoTime allowed = aPace.mRateUsedUntil - RateCredit(aPace, share);
    if (aPace.mStatedRate > 0 && allowed > aPace.mCheckedAt) {
      next = std::min(next, allowed);
    }
  }
  return next;
}

} // namespace caraway
