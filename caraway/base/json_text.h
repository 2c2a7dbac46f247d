#pragma once
// Parses JSON that comes from outside the process. Time and memory grow at most
// linearly with the text, and parsing stops at the first bound that is passed.

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace caraway {

// Copying, comparing and writing a JSON value recurse once for each level, so a
// deeper value could overflow the stack.
constexpr int kMaxJsonDepth = 64;

// A small value takes some hundred bytes of memory for a few of text. Each
// takes two bytes of text or more, so that texts of up to 400 kB have no more.
constexpr size_t kMaxJsonValues = 200000;

// A discarded value if the text is not valid JSON, is nested more deeply than
// kMaxJsonDepth or has more than aMaxValues values.
nlohmann::json
ParseJson(std::string_view aText, size_t aMaxValues = kMaxJsonValues);

// Gets an element of the list with the given name. Parsing stops if it returns
// false.
using JsonElementHandler =
  std::function<bool(const std::string& aList, nlohmann::json& aElement)>;

struct JsonBounds
{
  size_t mMaxValues = kMaxJsonValues; // of the text
  size_t mMaxHeld = kMaxJsonValues;   // in memory at a time
};

// As ParseJson, but lists that are members of the outermost object are left
// empty: their elements are passed on one after another, so that only one is in
// memory. The value is also discarded if the handler stops or a name is given
// to two such lists. Elements may have been passed on before it is.
nlohmann::json
ParseJsonLists(std::string_view aText,
               const JsonBounds& aBounds,
               const JsonElementHandler& aOnElement);

} // namespace caraway
