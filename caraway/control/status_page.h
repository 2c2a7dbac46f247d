#pragma once
// Internal: the answer to GET /admin/status.

#include <string>

#include "caraway/control/step.h"

namespace caraway {

// Reports the revision in force, so only on a leader that may serve.
std::string
StatusJson(ControlStep& aStep);

} // namespace caraway
