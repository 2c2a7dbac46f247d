#pragma once
// Timers ordered by due time: at most one for each id of a request or control
// call.

#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "caraway/base/time.h"

namespace caraway {

struct TimerSet
{
  std::set<std::pair<MonoTime, uint64_t>> mOrder;
  absl::flat_hash_map<uint64_t, MonoTime> mDue; // same content by id
};

// Sets the timer of aId, replacing an earlier one.
void
SetTimer(TimerSet& aTimers, uint64_t aId, MonoTime aDue);

void
ClearTimer(TimerSet& aTimers, uint64_t aId);

// Removes and returns one timer that is due.
std::optional<uint64_t>
PopDue(TimerSet& aTimers, MonoTime aNow);

// Returns the due time of the first timer, kNever if there is none.
MonoTime
FirstDue(const TimerSet& aTimers);

} // namespace caraway
