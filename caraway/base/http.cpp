// Header lookup.

#include "caraway/base/http.h"

#include "absl/strings/match.h"

namespace caraway {

std::string
HeaderValue(const Headers& aHeaders, const std::string& aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (absl::EqualsIgnoreCase(name, aName)) {
      return value;
    }
  }
  return {};
}

} // namespace caraway
