#pragma once
// How fast the queue of online work empties, from what left it lately.
//
// A caller's request waits at several targets at once and leaves most of these
// queues unserved. The rate of service alone would overstate the wait by that
// factor, so work that is withdrawn counts like work that starts.

#include <deque>
#include <optional>

#include "caraway/base/time.h"

namespace caraway {

struct QueueDrain
{
  std::deque<MonoTime>
    mDepartures; // work that had waited, of the last half second
};

// Work that had to wait has started or was withdrawn.
void
RecordDeparture(QueueDrain& aDrain, MonoTime aNow);

// The time until aAhead more have left; none if too few left lately to tell.
std::optional<Duration>
DrainTime(QueueDrain& aDrain, MonoTime aNow, double aAhead);

} // namespace caraway
