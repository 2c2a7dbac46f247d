#pragma once
// The one-screen text of `caraway status`.

#include <string>

namespace caraway {

// aJson is the answer of GET /admin/status.
std::string
FormatStatus(const std::string& aJson);

} // namespace caraway
