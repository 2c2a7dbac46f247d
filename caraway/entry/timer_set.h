#pragma once
// Timers by number, ordered by due time: one per request or control call.

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
  absl::flat_hash_map<uint64_t, MonoTime> mDue; // same content by number
};

// Replaces the timer of this number.
void
SetTimer(TimerSet& aTimers, uint64_t aId, MonoTime aDue);

void
ClearTimer(TimerSet& aTimers, uint64_t aId);

// Removes and returns one timer that is due.
std::optional<uint64_t>
PopDue(TimerSet& aTimers, MonoTime aNow);

// kNever if there is none.
MonoTime
FirstDue(const TimerSet& aTimers);

} // namespace caraway
