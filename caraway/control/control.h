#pragma once
// The control role: one replica of the log, the configuration and the batch
// ledger, as a state machine that is driven by events.

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "caraway/control/control_io.h"
#include "caraway/control/control_settings.h"
#include "caraway/control/control_state.h"

namespace caraway {

// aState is the state of the recovered snapshot, empty when there is none.
// Fails with eCorruptData if it cannot be decoded.
absl::StatusOr<Control>
MakeControl(const ControlSettings& aSettings,
            RaftRecovered aRecovered,
            const std::string& aState,
            MonoTime aNow,
            int64_t aUnixSeconds);

// Handles one event and appends the resulting actions to aOut. aUnixSeconds is
// the wall time, used for display only.
void
StepControl(Control& aControl,
            MonoTime aNow,
            int64_t aUnixSeconds,
            const ControlEvent& aEvent,
            std::vector<ControlAction>& aOut);

MonoTime
NextWakeup(const Control& aControl);

// The metrics in the Prometheus text format.
std::string
MetricsText(const Control& aControl, MonoTime aNow);

} // namespace caraway
