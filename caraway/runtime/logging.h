#pragma once
// Structured logs by log4cplus: one line per event, key=value or JSON. Keys and
// bodies never appear.

#include <string>
#include <string_view>
#include <vector>

#include "caraway/base/decision_log.h"

namespace caraway {

enum class LogFormat : uint8_t
{
  eKeyValue,
  eJson,
};

struct LogSettings
{
  LogFormat mFormat = LogFormat::eKeyValue;
  LogLevel mLevel = LogLevel::eInfo;
  std::string mFile;            // empty: a standard stream
  bool mStandardOutput = false; // without a file: output in place of error
};

// Call once at start.
void
OpenLog(const LogSettings& aSettings, const InstanceId& aInstance);

// Flushes and closes.
void
CloseLog();

void
WriteLog(const DecisionLog& aDecision);

// A line that is no decision: start, stop, listener addresses, errors.
void
WriteLog(LogLevel aLevel,
         std::string_view aEvent,
         const std::vector<LogField>& aFields);

// One line without time and level, as tests check it.
std::string
FormatLogLine(LogFormat aFormat,
              const InstanceId& aInstance,
              const DecisionLog& aDecision);

} // namespace caraway
