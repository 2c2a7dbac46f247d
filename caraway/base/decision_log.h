#pragma once
// One structured log line for one routing, admission or placement decision. The
// decision modules build it; the daemon's logger prints it.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "caraway/base/ids.h"

namespace caraway {

enum class LogLevel : uint8_t
{
  eDebug,
  eInfo,
  eWarning,
  eError,
};

// Never put keys or bodies into a field.
struct LogField
{
  std::string mName;  // lower_case
  std::string mValue; // printed as is; the logger escapes it
};

struct DecisionLog
{
  LogLevel mLevel = LogLevel::eInfo;
  std::string mEvent;           // "route", "admit", "refuse", "preempt", ...
  RequestId mRequest;           // empty when the decision concerns no request
  WorkspaceId mWorkspace;       // empty when it concerns no workspace
  std::string mChoice;          // what was chosen, a target or "none"
  std::string mReason;          // why, a short phrase
  std::vector<LogField> mExtra; // candidates considered, load, limit, ...
};

} // namespace caraway
