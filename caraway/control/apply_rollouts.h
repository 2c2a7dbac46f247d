#pragma once
// Internal: orders and steps of roll-outs, applied to the durable state.

#include "caraway/control/command.h"

namespace caraway {

// An order for the version that is rolled out already changes nothing.
CallReplyBody
ApplyBegin(ControlState& aState, LogIndex aIndex, const BeginRollout& aBegin);

CallReplyBody
ApplyAbort(ControlState& aState, const AbortRollout& aAbort);

// Changes nothing if the roll-out has left the phase.
void
ApplyAdvance(ControlState& aState, const AdvanceRollout& aAdvance);

} // namespace caraway
