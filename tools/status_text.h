#pragma once
// Text output of `caraway status`.

#include <string>

namespace caraway {

// aJson is the response body of GET /admin/status.
std::string
FormatStatus(const std::string& aJson);

} // namespace caraway
