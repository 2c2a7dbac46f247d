#pragma once
// The durable state of files, batch jobs and idempotency claims.

#include "caraway/base/ids.h"

namespace caraway {

struct Ledger
{};

} // namespace caraway
