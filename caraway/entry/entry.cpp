// Entry points of the entry role.

#include "caraway/entry/entry.h"

namespace caraway {

Entry
MakeEntry(const EntrySettings& aSettings,
          uint64_t /*aIncarnation*/,
          MonoTime /*aNow*/)
{
  Entry entry;
  entry.mSettings = aSettings;
  return entry;
}

void
StepEntry(Entry& /*aEntry*/,
          MonoTime /*aNow*/,
          const EntryEvent& aEvent,
          std::vector<EntryAction>& aOut)
{
  if (std::holds_alternative<StopRequested>(aEvent)) {
    aOut.emplace_back(Stopped{});
  }
}

MonoTime
NextWakeup(const Entry& /*aEntry*/)
{
  return kNever;
}

std::string
MetricsText(const Entry& /*aEntry*/)
{
  return {};
}

} // namespace caraway
