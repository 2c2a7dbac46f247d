// Estimates how fast a queue drains.

#include "caraway/scheduling/queue_drain.h"

namespace caraway {

namespace {

constexpr Duration kWindow = Millis(500); // a few calls of one slot
constexpr size_t kMinDepartures = 4;      // fewer do not give a rate

void
DropOld(QueueDrain& aDrain, MonoTime aNow)
{
  while (!aDrain.mDepartures.empty() &&
         aNow - aDrain.mDepartures.front() > kWindow) {
    aDrain.mDepartures.pop_front();
  }
}

} // namespace

void
RecordDeparture(QueueDrain& aDrain, MonoTime aNow)
{
  DropOld(aDrain, aNow);
  aDrain.mDepartures.push_back(aNow);
}

std::optional<Duration>
DrainTime(QueueDrain& aDrain, MonoTime aNow, double aAhead)
{
  DropOld(aDrain, aNow);
  if (aDrain.mDepartures.size() < kMinDepartures) {
    return std::nullopt;
  }
  const double each =
    kWindow.Seconds() / static_cast<double>(aDrain.mDepartures.size());
  return Micros(static_cast<int64_t>(aAhead * each * 1e6));
}

} // namespace caraway
