#pragma once
// Filters the headers that are forwarded between callers and targets.

#include <string>
#include <vector>

#include "caraway/base/http.h"

namespace caraway {

// Removes hop-by-hop headers (including those named in Connection),
// Content-Length, which the transport sets, credentials, cookies and the
// headers that the system sets itself.
Headers
HeadersForTarget(const Headers& aHeaders);

// Removes hop-by-hop headers (including those named in Connection),
// Content-Length and the given headers (lower case).
Headers
HeadersWithout(const Headers& aHeaders, const std::vector<std::string>& aNames);

// Removes hop-by-hop headers (including those named in Connection) and
// Content-Length.
Headers
HeadersForCaller(const Headers& aHeaders);

} // namespace caraway
