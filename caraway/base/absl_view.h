#pragma once
// Conversions between std::string_view and absl::string_view, which are
// different types in Debian's build of Abseil.

#include <string_view>

#include "absl/strings/string_view.h"

namespace caraway {

inline absl::string_view
AbslView(std::string_view aView)
{
  return { aView.data(), aView.size() };
}

inline std::string_view
StdView(absl::string_view aView)
{
  return { aView.data(), aView.size() };
}

} // namespace caraway
