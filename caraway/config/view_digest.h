#pragma once
// A digest by which two copies of the configuration are compared.

#include "caraway/config/config_view.h"

namespace caraway {

// Of the plan, zones, targets, members and input blocks. Two copies at one
// revision have the same digest, however they came about; never 0.
uint64_t
ViewDigest(const ConfigView& aView);

} // namespace caraway
