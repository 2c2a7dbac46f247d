#pragma once
// The node role: stands beside one target and is the only path by which work
// reaches it. A state machine without I/O: events in, actions out.

#include <string>
#include <vector>

#include "caraway/node/node_io.h"
#include "caraway/node/node_settings.h"
#include "caraway/node/node_state.h"

namespace caraway {

// aIncarnation is a random number that identifies this start of the process.
Node
MakeNode(const NodeSettings& aSettings, uint64_t aIncarnation, MonoTime aNow);

// Handles one event, then runs whatever is due at aNow.
void
StepNode(Node& aNode,
         MonoTime aNow,
         const NodeEvent& aEvent,
         std::vector<NodeAction>& aOut);

// Time at which the node needs a Wakeup event at the latest.
MonoTime
NextWakeup(const Node& aNode);

// Metrics in the Prometheus text format.
std::string
MetricsText(const Node& aNode);

} // namespace caraway
