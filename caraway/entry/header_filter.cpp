// Filters the headers that are forwarded between callers and targets.

#include "caraway/entry/header_filter.h"

#include <algorithm>
#include <vector>

#include "absl/strings/ascii.h"
#include "caraway/base/message_framing.h"

namespace caraway {

namespace {

// Hop-by-hop headers, and the length, which the transport sets.
constexpr const char* kHopByHopHeaders[] = {
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
};

// Credentials, cookies and headers that the system sets or interprets itself.
constexpr const char* kNotForwardedToTarget[] = {
  "authorization", "cookie",       "x-api-key",     "host",
  "expect",        "x-request-id", "x-deadline-ms",
};

template<size_t Count>
bool
IsIn(const char* const (&aNames)[Count], const std::string& aLower)
{
  return std::any_of(std::begin(aNames),
                     std::end(aNames),
                     [&](const char* aName) { return aLower == aName; });
}

Headers
Filter(const Headers& aHeaders, bool aToTarget)
{
  const std::vector<std::string> named = ConnectionOptions(aHeaders);
  Headers kept;
  for (const auto& [name, value] : aHeaders) {
    const std::string lower = absl::AsciiStrToLower(name);
    if (IsIn(kHopByHopHeaders, lower) ||
        (aToTarget && IsIn(kNotForwardedToTarget, lower)) ||
        std::find(named.begin(), named.end(), lower) != named.end()) {
      continue;
    }
    kept.emplace_back(name, value);
  }
  return kept;
}

} // namespace

Headers
HeadersWithout(const Headers& aHeaders, const std::vector<std::string>& aNames)
{
  Headers kept = Filter(aHeaders, false);
  std::erase_if(kept, [&](const auto& aHeader) {
    const std::string lower = absl::AsciiStrToLower(aHeader.first);
    return std::find(aNames.begin(), aNames.end(), lower) != aNames.end();
  });
  return kept;
}

Headers
HeadersForTarget(const Headers& aHeaders)
{
  return Filter(aHeaders, true);
}

Headers
HeadersForCaller(const Headers& aHeaders)
{
  return Filter(aHeaders, false);
}

} // namespace caraway
