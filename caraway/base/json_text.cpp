// Parses JSON with a limit on its depth.

#include "caraway/base/json_text.h"

#include <nlohmann/json.hpp>

namespace caraway {

nlohmann::json
ParseJson(std::string_view aText)
{
  using Json = nlohmann::json;
  bool tooDeep = false;
  Json json = Json::parse(
    aText,
    [&](int aDepth, Json::parse_event_t aEvent, Json&) {
      const bool opens = aEvent == Json::parse_event_t::object_start ||
                         aEvent == Json::parse_event_t::array_start;
      tooDeep = tooDeep || (opens && aDepth >= kMaxJsonDepth);
      return !tooDeep;
    },
    false);
  return tooDeep ? Json(Json::value_t::discarded) : json;
}

} // namespace caraway
