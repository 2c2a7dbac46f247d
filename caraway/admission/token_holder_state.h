#pragma once
// The state of an entry's token holder.

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

struct TokenHolder
{};

} // namespace caraway
