#pragma once
// Structured log record of a routing, admission or placement decision. State
// machines build it; the runtime's logger prints it.

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

// Must not contain API keys or bodies.
struct LogField
{
  std::string mName;  // lower_case
  std::string mValue; // unescaped; the logger escapes it
};

struct DecisionLog
{
  LogLevel mLevel = LogLevel::eInfo;
  std::string mEvent;           // "route", "admit", "refuse", "preempt", ...
  RequestId mRequest;           // empty if the decision concerns no request
  WorkspaceId mWorkspace;       // empty if it concerns no workspace
  std::string mChoice;          // the chosen option: a target or "none"
  std::string mReason;          // why, a short phrase
  std::vector<LogField> mExtra; // candidates, load, limit, ...
};

} // namespace caraway
