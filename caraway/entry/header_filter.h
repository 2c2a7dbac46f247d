#pragma once
// Which headers pass between callers and targets.

#include <string>
#include <vector>

#include "caraway/base/http.h"

namespace caraway {

// Removes hop-by-hop headers (also those named in Connection), credentials,
// cookies and what the system sets itself.
Headers
HeadersForTarget(const Headers& aHeaders);

// Removes hop-by-hop headers and the length, which the transport sets.
// Without hop headers, those named in Connection, and the given ones (lower
// case).
Headers
HeadersWithout(const Headers& aHeaders, const std::vector<std::string>& aNames);

Headers
HeadersForCaller(const Headers& aHeaders);

} // namespace caraway
