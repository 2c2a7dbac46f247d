#pragma once
// The entry role: serves callers over HTTP.

#include <string>
#include <vector>

#include "caraway/entry/entry_io.h"
#include "caraway/entry/entry_settings.h"
#include "caraway/entry/entry_state.h"

namespace caraway {

// aIncarnation is a random number of this process start.
Entry
MakeEntry(const EntrySettings& aSettings, uint64_t aIncarnation, MonoTime aNow);

void
StepEntry(Entry& aEntry,
          MonoTime aNow,
          const EntryEvent& aEvent,
          std::vector<EntryAction>& aOut);

MonoTime
NextWakeup(const Entry& aEntry);

// Prometheus text.
std::string
MetricsText(const Entry& aEntry);

} // namespace caraway
