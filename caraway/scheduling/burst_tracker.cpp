// Headroom that batch leaves free for online work.

#include "caraway/scheduling/burst_tracker.h"

#include <algorithm>
#include <cmath>

namespace caraway {

namespace {

constexpr Duration kBurstSpan = Millis(250);
constexpr double kPeakHalfLifeSeconds = 10; // the peak halves in this time
constexpr uint32_t kHeadroomDivisor = 8;

double
DecayedPeak(const BurstTracker& aTracker, MonoTime aNow)
{
  const double age = (aNow - aTracker.mPeakAt).Seconds();
  return aTracker.mPeak * std::exp2(-age / kPeakHalfLifeSeconds);
}

} // namespace

void
RecordArrival(BurstTracker& aTracker, MonoTime aNow)
{
  while (!aTracker.mArrivals.empty() &&
         aNow - aTracker.mArrivals.front() > kBurstSpan) {
    aTracker.mArrivals.pop_front();
  }
  aTracker.mArrivals.push_back(aNow);
  aTracker.mPeak = std::max(DecayedPeak(aTracker, aNow),
                            static_cast<double>(aTracker.mArrivals.size()));
  aTracker.mPeakAt = aNow;
}

uint32_t
Headroom(const BurstTracker& aTracker, MonoTime aNow, uint32_t aLimit)
{
  const auto wanted = static_cast<uint32_t>(DecayedPeak(aTracker, aNow));
  return std::min(wanted, aLimit / kHeadroomDivisor);
}

} // namespace caraway
