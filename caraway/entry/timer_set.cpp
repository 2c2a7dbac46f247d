// Timers ordered by due time.

#include "caraway/entry/timer_set.h"

namespace caraway {

void
SetTimer(TimerSet& aTimers, uint64_t aId, MonoTime aDue)
{
  ClearTimer(aTimers, aId);
  aTimers.mOrder.emplace(aDue, aId);
  aTimers.mDue.emplace(aId, aDue);
}

void
ClearTimer(TimerSet& aTimers, uint64_t aId)
{
  auto due = aTimers.mDue.find(aId);
  if (due != aTimers.mDue.end()) {
    aTimers.mOrder.erase({ due->second, aId });
    aTimers.mDue.erase(due);
  }
}

std::optional<uint64_t>
PopDue(TimerSet& aTimers, MonoTime aNow)
{
  if (aTimers.mOrder.empty() || aTimers.mOrder.begin()->first > aNow) {
    return std::nullopt;
  }
  const uint64_t id = aTimers.mOrder.begin()->second;
  ClearTimer(aTimers, id);
  return id;
}

MonoTime
FirstDue(const TimerSet& aTimers)
{
  return aTimers.mOrder.empty() ? kNever : aTimers.mOrder.begin()->first;
}

} // namespace caraway
