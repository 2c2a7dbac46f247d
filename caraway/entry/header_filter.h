#pragma once
// Which headers pass between callers and targets.

#include "caraway/base/http.h"

namespace caraway {

// Removes hop-by-hop headers (also those named in Connection), credentials,
// cookies and what the system sets itself.
Headers
HeadersForTarget(const Headers& aHeaders);

// Removes hop-by-hop headers and the length, which the transport sets.
Headers
HeadersForCaller(const Headers& aHeaders);

} // namespace caraway
