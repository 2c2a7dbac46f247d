#pragma once
// Matches request paths against the caller API and against configured routes
// to plain services.

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "caraway/config/config_view.h"
#include "caraway/entry/entry_step.h"

namespace caraway {

enum class ApiKind : uint8_t
{
  eNone, // not a path of the caller API
  eModelList,
  eModel,
  eChat,    // chat completion
  eText,    // text completion
  eControl, // files, uploads, batches
};

struct ApiMatch
{
  ApiKind mKind = ApiKind::eNone;
  bool mMethodNotAllowed = false; // the path exists, but not with this method
  ControlStep mStep = ControlStep::eNone;
  std::string mId; // object id in the path, empty if it has none
};

ApiMatch
MatchApi(const std::string& aMethod, const std::string& aPath);

// Returns the route with the longest matching path prefix, or nullptr. A prefix
// matches whole path segments only.
const Route*
MatchRoute(const ConfigView& aConfig,
           const std::string& aMethod,
           const std::string& aPath);

// Returns false for paths that a target could interpret as a different path:
// dot segments, encoded slashes or dots, backslashes, control characters.
bool
IsPlainPath(const std::string& aPath);

} // namespace caraway
