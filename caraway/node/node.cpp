// The node role's public functions.

#include "caraway/node/node.h"

namespace caraway {

Node
MakeNode(const NodeSettings& aSettings, uint64_t, MonoTime)
{
  Node node;
  node.mSettings = aSettings;
  return node;
}

void
StepNode(Node&, MonoTime, const NodeEvent&, std::vector<NodeAction>&)
{
}

MonoTime
NextWakeup(const Node&)
{
  return kNever;
}

std::string
MetricsText(const Node&)
{
  return {};
}

} // namespace caraway
