#pragma once
// The fixed paths of the caller API, and routes to plain services.

#include <string>
#include <vector>

#include "absl/status/status.h"
#include "caraway/config/config_view.h"
#include "caraway/entry/entry_step.h"

namespace caraway {

enum class ApiKind : uint8_t
{
  eNone, // not of the fixed API
  eModelList,
  eModel,
  eChat,
  eText,
  eControl, // files, uploads, batches
};

struct ApiMatch
{
  ApiKind mKind = ApiKind::eNone;
  bool mMethodNotAllowed = false; // the path exists with another method
  ControlStep mStep = ControlStep::eNone;
  std::string mId; // object in the path
};

ApiMatch
MatchApi(const std::string& aMethod, const std::string& aPath);

// The route with the longest matching prefix, or nullptr. A prefix matches
// whole path segments only.
const Route*
MatchRoute(const ConfigView& aConfig,
           const std::string& aMethod,
           const std::string& aPath);

// False for paths that a target could read as another one: dot segments,
// encoded slashes or dots, backslashes, control characters.
bool
IsPlainPath(const std::string& aPath);

} // namespace caraway
