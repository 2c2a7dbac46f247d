#pragma once
// Structured logs by log4cplus: one line per event, key=value or JSON. Keys and
// bodies never appear.

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
  std::string mFile; // empty: a standard stream
  // Without a file: standard output in place of error, never waited for and
  // bounded. What is left out is counted, and the next line says how much.
  bool mStandardOutput = false;
  uint32_t mLinesPerSecond = 1000; // standard output; half of it for
                                   // everything below a warning
};

// Lines left out since the start.
uint64_t
LogLinesDropped();

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

// The line about one part of a reload (SIGHUP), and how it went.
void
LogReload(const std::string& aPart, const absl::Status& aStatus);

} // namespace caraway
