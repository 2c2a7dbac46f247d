#pragma once
// The state of the control role.

#include "caraway/control/control_settings.h"

namespace caraway {

struct Control
{
  ControlSettings mSettings;
};

} // namespace caraway
