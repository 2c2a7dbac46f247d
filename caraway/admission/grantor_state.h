#pragma once
// The state of the token grantor.

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

struct Grantor
{};

} // namespace caraway
