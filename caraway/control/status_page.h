#pragma once
// Internal: the response body of GET /admin/status.

#include <string>

#include "caraway/control/step.h"

namespace caraway {

// Call it only if MayServe, since it reports the revision in force.
std::string
StatusJson(ControlStep& aStep);

} // namespace caraway
