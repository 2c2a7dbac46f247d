#pragma once
// Parses JSON that comes from outside the process.

#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace caraway {

// Copying, comparing and writing a JSON value recurse once for each level, so a
// deeper value could overflow the stack.
constexpr int kMaxJsonDepth = 64;

// A discarded value if the text is not valid JSON or is nested more deeply than
// kMaxJsonDepth.
nlohmann::json
ParseJson(std::string_view aText);

} // namespace caraway
