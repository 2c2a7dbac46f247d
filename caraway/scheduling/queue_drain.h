#pragma once
// Estimates how fast the queue of online work drains, from recent departures.
//
// A caller's request waits at several targets at once and leaves most of these
// queues without being served. The service rate alone would overstate the wait
// by that factor, so withdrawn work counts like started work.

#include <deque>
#include <optional>

#include "caraway/base/time.h"

namespace caraway {

struct QueueDrain
{
  std::deque<MonoTime> mDepartures; // of the last half second
};

// Records that waiting work has started or was withdrawn.
void
RecordDeparture(QueueDrain& aDrain, MonoTime aNow);

// Expected time until aAhead more calls have left the queue; nullopt if there
// were too few recent departures for an estimate.
std::optional<Duration>
DrainTime(QueueDrain& aDrain, MonoTime aNow, double aAhead);

} // namespace caraway
