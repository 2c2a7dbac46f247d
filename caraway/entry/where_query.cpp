// Reads an operator's query where a request would go.

#include <cgicc/CgiUtils.h>

#include "absl/strings/str_split.h"
#include "caraway/entry/where.h"

namespace caraway {

namespace {

constexpr const char* kWherePath = "/caraway/where";

} // namespace

std::optional<WhereQuery>
ReadWhereQuery(const HttpRequest& aHttp)
{
  if (aHttp.mMethod != "GET" || aHttp.mPath != kWherePath) {
    return std::nullopt;
  }
  WhereQuery query;
  query.mCall = aHttp.mCall;
  std::vector<std::string> parts;
  for (absl::string_view pair : absl::StrSplit(aHttp.mQuery, '&')) {
    const std::pair<absl::string_view, std::string> split =
      absl::StrSplit(pair, absl::MaxSplits('=', 1));
    const std::string value = cgicc::form_urldecode(split.second);
    if (split.first == "workspace") {
      query.mWorkspace = WorkspaceId(value);
    } else if (split.first == "route") {
      query.mRoute = RouteId(value);
    } else if (split.first == "model") {
      query.mModel = ModelId(value);
    } else if (split.first == "parts") {
      parts = absl::StrSplit(value, ',', absl::SkipEmpty());
    }
  }
  for (const std::string& part : parts) {
    if (query.mParts.size() < kMaxInputParts) {
      query.mParts.push_back(PromptPart(query.mModel.mValue, part));
    }
  }
  return query;
}

} // namespace caraway
