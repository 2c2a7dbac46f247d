// Special members of the variant of actions.

#include "caraway/node/node_io.h"

namespace caraway {

NodeAction::NodeAction() = default;
NodeAction::NodeAction(const NodeAction& aOther) = default;
NodeAction::NodeAction(NodeAction&& aOther) noexcept = default;
NodeAction&
NodeAction::operator=(const NodeAction& aOther) = default;
NodeAction&
NodeAction::operator=(NodeAction&& aOther) noexcept = default;
NodeAction::~NodeAction() = default;

} // namespace caraway
