// Special members of the variant of actions.

#include "caraway/control/control_io.h"

namespace caraway {

ControlAction::ControlAction() = default;
ControlAction::ControlAction(const ControlAction& aOther) = default;
ControlAction::ControlAction(ControlAction&& aOther) noexcept = default;
ControlAction&
ControlAction::operator=(const ControlAction& aOther) = default;
ControlAction&
ControlAction::operator=(ControlAction&& aOther) noexcept = default;
ControlAction::~ControlAction() = default;

} // namespace caraway
