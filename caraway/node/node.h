#pragma once
// The node role: the only path by which work reaches the target beside it.

#include <string>
#include <vector>

#include "caraway/node/node_io.h"
#include "caraway/node/node_settings.h"
#include "caraway/node/node_state.h"

namespace caraway {

// aIncarnation is a random number of this process start.
Node
MakeNode(const NodeSettings& aSettings, uint64_t aIncarnation, MonoTime aNow);

void
StepNode(Node& aNode,
         MonoTime aNow,
         const NodeEvent& aEvent,
         std::vector<NodeAction>& aOut);

MonoTime
NextWakeup(const Node& aNode);

// Prometheus text.
std::string
MetricsText(const Node& aNode);

} // namespace caraway
