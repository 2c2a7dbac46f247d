#pragma once
// The entry role: serves callers over HTTP. A state machine without I/O: the
// host feeds it events and carries out the returned actions.

#include <string>
#include <vector>

#include "caraway/entry/entry_io.h"
#include "caraway/entry/entry_settings.h"
#include "caraway/entry/entry_state.h"

namespace caraway {

// aIncarnation is a random number drawn once per process start.
Entry
MakeEntry(const EntrySettings& aSettings, uint64_t aIncarnation, MonoTime aNow);

// Handles the event and everything that is due, and appends the resulting
// actions.
void
StepEntry(Entry& aEntry,
          MonoTime aNow,
          const EntryEvent& aEvent,
          std::vector<EntryAction>& aOut);

// Returns when StepEntry has to be called again at the latest, kNever if only
// another event needs it.
MonoTime
NextWakeup(const Entry& aEntry);

// Returns all metrics in the Prometheus text format.
std::string
MetricsText(const Entry& aEntry, MonoTime aNow);

} // namespace caraway
