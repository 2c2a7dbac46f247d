#pragma once
// Debian builds Abseil with a string_view type of its own, so a
// std::string_view has to be converted where an Abseil function takes one.

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
