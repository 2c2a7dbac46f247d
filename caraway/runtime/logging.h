#pragma once
// Structured logging on log4cplus: one line per event, as key=value or JSON.
// API keys and request bodies are never logged.

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
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
  std::string mFile; // empty: standard error or standard output
  // Without a file: log to standard output instead of standard error, never
  // blocking and rate-limited. Dropped lines are counted, and the next line
  // written reports their number.
  bool mStandardOutput = false;
  uint32_t mLinesPerSecond = 1000; // for standard output; half of it for
                                   // lines below a warning
};

// Lines dropped since the log was opened.
uint64_t
LogLinesDropped();

bool
LogIsOpen();

// Call once at process start.
void
OpenLog(const LogSettings& aSettings, const InstanceId& aInstance);

void
WriteLog(const DecisionLog& aDecision);

// Logs an event that is not a decision of a role: start, stop, listener
// addresses, errors.
void
WriteLog(LogLevel aLevel,
         std::string_view aEvent,
         const std::vector<LogField>& aFields);

// The log line without time and level. Public for tests.
std::string
FormatLogLine(LogFormat aFormat,
              const InstanceId& aInstance,
              const DecisionLog& aDecision);

// Logs the result of reloading one part of the process (SIGHUP).
void
LogReload(const std::string& aPart, const absl::Status& aStatus);

} // namespace caraway
