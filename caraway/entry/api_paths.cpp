// Matches request paths against the caller API and against configured routes.

#include "caraway/entry/api_paths.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace caraway {

namespace {

// "*" in a pattern matches one object id.
struct ApiPath
{
  const char* mMethod;
  const char* mPattern;
  ApiKind mKind;
  ControlStep mStep;
};

constexpr ApiPath kPaths[] = {
  { "GET", "/v1/models", ApiKind::eModelList, ControlStep::eNone },
  { "GET", "/v1/models/*", ApiKind::eModel, ControlStep::eNone },
  { "POST", "/v1/chat/completions", ApiKind::eChat, ControlStep::eNone },
  { "POST", "/v1/completions", ApiKind::eText, ControlStep::eNone },
  { "POST", "/v1/files", ApiKind::eControl, ControlStep::eCreateFile },
  { "GET", "/v1/files", ApiKind::eControl, ControlStep::eListFiles },
  { "GET", "/v1/files/*", ApiKind::eControl, ControlStep::eDescribeFile },
  { "DELETE", "/v1/files/*", ApiKind::eControl, ControlStep::eDeleteFile },
  { "GET",
    "/v1/files/*/content",
    ApiKind::eControl,
    ControlStep::eReadContent },
  { "POST", "/v1/uploads", ApiKind::eControl, ControlStep::eCreateUpload },
  { "POST",
    "/v1/uploads/*/parts",
    ApiKind::eControl,
    ControlStep::eFindUploadOffset },
  { "POST",
    "/v1/uploads/*/complete",
    ApiKind::eControl,
    ControlStep::eCheckUpload },
  { "POST",
    "/v1/uploads/*/cancel",
    ApiKind::eControl,
    ControlStep::eCancelUpload },
  { "POST", "/v1/batches", ApiKind::eControl, ControlStep::eReadFirstLine },
  { "GET", "/v1/batches", ApiKind::eControl, ControlStep::eListJobs },
  { "GET", "/v1/batches/*", ApiKind::eControl, ControlStep::eDescribeJob },
  { "POST",
    "/v1/batches/*/cancel",
    ApiKind::eControl,
    ControlStep::eCancelJob },
};

bool
MatchPattern(const char* aPattern, const std::string& aPath, std::string& aId)
{
  const std::vector<std::string> pattern = absl::StrSplit(aPattern, '/');
  const std::vector<std::string> path = absl::StrSplit(aPath, '/');
  if (pattern.size() != path.size()) {
    return false;
  }
  for (size_t index = 0; index < pattern.size(); ++index) {
    if (pattern[index] == "*" && !path[index].empty()) {
      aId = path[index];
    } else if (pattern[index] != path[index]) {
      return false;
    }
  }
  return true;
}

bool
PrefixMatches(const std::string& aPrefix, const std::string& aPath)
{
  if (aPrefix.empty() || !absl::StartsWith(aPath, aPrefix)) {
    return false;
  }
  return aPrefix.back() == '/' || aPath.size() == aPrefix.size() ||
         aPath[aPrefix.size()] == '/';
}

} // namespace

ApiMatch
MatchApi(const std::string& aMethod, const std::string& aPath)
{
  ApiMatch match;
  for (const ApiPath& path : kPaths) {
    std::string id;
    if (!MatchPattern(path.mPattern, aPath, id)) {
      continue;
    }
    match.mKind = path.mKind;
    match.mMethodNotAllowed = aMethod != path.mMethod;
    match.mStep = path.mStep;
    match.mId = std::move(id);
    if (!match.mMethodNotAllowed) {
      break;
    }
  }
  return match;
}

const Route*
MatchRoute(const ConfigView& aConfig,
           const std::string& aMethod,
           const std::string& aPath)
{
  const Route* best = nullptr;
  for (const auto& [id, route] : aConfig.mRoutes) {
    const bool methodFits = route.mMethod == "*" || route.mMethod == aMethod;
    if (!methodFits || !PrefixMatches(route.mPathPrefix, aPath)) {
      continue;
    }
    // With equal prefixes, a route with this method takes precedence over "*".
    const bool better =
      best == nullptr ||
      std::pair(route.mPathPrefix.size(), route.mMethod != "*") >
        std::pair(best->mPathPrefix.size(), best->mMethod != "*");
    if (better) {
      best = &route;
    }
  }
  return best;
}

bool
IsPlainPath(const std::string& aPath)
{
  if (aPath.empty() || aPath[0] != '/') {
    return false;
  }
  const std::string lower = absl::AsciiStrToLower(aPath);
  for (const char* encoded : { "%2e", "%2f", "%5c", "%00", "\\" }) {
    if (absl::StrContains(lower, encoded)) {
      return false;
    }
  }
  for (absl::string_view segment : absl::StrSplit(aPath, '/')) {
    if (segment == "." || segment == "..") {
      return false;
    }
  }
  return std::all_of(aPath.begin(), aPath.end(), [](unsigned char aChar) {
    return aChar > ' ' && aChar != 0x7f;
  });
}

} // namespace caraway
