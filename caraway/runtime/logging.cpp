// Structured logging on log4cplus.

#include "caraway/runtime/logging.h"

#include <chrono>
#include <memory>

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "caraway/runtime/bounded_output.h"

namespace caraway {

namespace {

MonoTime
Now()
{
  return { std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
             .count() };
}

// A log4cplus appender that writes to a BoundedOutput.
class BoundedAppender : public log4cplus::Appender
{
public:
  explicit BoundedAppender(BoundedOutput& aOutput)
    : mOutput(aOutput)
  {
  }
  ~BoundedAppender() override { destructorImpl(); }

  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override
  {
    WriteBoundedLine(mOutput,
                     Now(),
                     aEvent.getLogLevel() >= log4cplus::WARN_LOG_LEVEL,
                     formatEvent(aEvent));
  }

private:
  BoundedOutput& mOutput;
};

struct LogState
{
  std::unique_ptr<log4cplus::Initializer> mInitializer;
  LogSettings mSettings;
  InstanceId mInstance;
  BoundedOutput mOutput;
};

// The only global state, since log4cplus itself is process-wide.
LogState gLog;

log4cplus::LogLevel
LevelOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::eDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::eInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::eWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::eError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

std::vector<LogField>
FieldsOf(const InstanceId& aInstance, const DecisionLog& aDecision)
{
  std::vector<LogField> fields{ { "event", aDecision.mEvent },
                                { "instance", aInstance.mValue } };
  auto add = [&](const char* aName, const std::string& aValue) {
    if (!aValue.empty()) {
      fields.push_back({ aName, aValue });
    }
  };
  add("request", aDecision.mRequest.mValue);
  add("workspace", aDecision.mWorkspace.mValue);
  add("choice", aDecision.mChoice);
  add("reason", aDecision.mReason);
  fields.insert(fields.end(), aDecision.mExtra.begin(), aDecision.mExtra.end());
  return fields;
}

std::string
KeyValueLine(const std::vector<LogField>& aFields)
{
  std::string line;
  for (const LogField& field : aFields) {
    const bool plain =
      !field.mValue.empty() &&
      field.mValue.find_first_of(" \"=\n\r\t\\") == std::string::npos;
    const std::string value =
      plain ? field.mValue
            : absl::StrCat("\"",
                           absl::StrReplaceAll(field.mValue,
                                               { { "\\", "\\\\" },
                                                 { "\"", "\\\"" },
                                                 { "\n", "\\n" },
                                                 { "\r", "\\r" },
                                                 { "\t", "\\t" } }),
                           "\"");
    absl::StrAppend(&line, line.empty() ? "" : " ", field.mName, "=", value);
  }
  return line;
}

std::string
JsonLine(const std::vector<LogField>& aFields)
{
  nlohmann::ordered_json line;
  for (const LogField& field : aFields) {
    line[field.mName] = field.mValue;
  }
  // Replace invalid UTF-8 instead of throwing.
  return line.dump(
    -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

std::string
FormatLogLine(LogFormat aFormat,
              const InstanceId& aInstance,
              const DecisionLog& aDecision)
{
  const auto fields = FieldsOf(aInstance, aDecision);
  return aFormat == LogFormat::eJson ? JsonLine(fields) : KeyValueLine(fields);
}

void
OpenLog(const LogSettings& aSettings, const InstanceId& aInstance)
{
  gLog.mInitializer = std::make_unique<log4cplus::Initializer>();
  gLog.mSettings = aSettings;
  gLog.mInstance = aInstance;
  log4cplus::SharedAppenderPtr appender;
  if (aSettings.mFile.empty() && aSettings.mStandardOutput) {
    gLog.mOutput = {};
    gLog.mOutput.mLinesPerSecond = aSettings.mLinesPerSecond;
    MakeNonBlocking(gLog.mOutput);
    appender = new BoundedAppender(gLog.mOutput);
  } else if (aSettings.mFile.empty()) {
    appender = new log4cplus::ConsoleAppender(true, true);
  } else {
    appender = new log4cplus::FileAppender(
      aSettings.mFile, std::ios_base::app | std::ios_base::out);
  }
  const char* pattern = aSettings.mFormat == LogFormat::eJson
                          ? "%m%n"
                          : "time=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(LevelOf(aSettings.mLevel));
}

uint64_t
LogLinesDropped()
{
  return gLog.mOutput.mDropped;
}

bool
LogIsOpen()
{
  return gLog.mInitializer != nullptr;
}

void
WriteLog(const DecisionLog& aDecision)
{
  if (!LogIsOpen()) {
    return;
  }
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  const log4cplus::LogLevel level = LevelOf(aDecision.mLevel);
  if (root.isEnabledFor(level)) {
    root.log(level,
             FormatLogLine(gLog.mSettings.mFormat, gLog.mInstance, aDecision),
             __FILE__,
             __LINE__);
  }
}

void
WriteLog(LogLevel aLevel,
         std::string_view aEvent,
         const std::vector<LogField>& aFields)
{
  DecisionLog line;
  line.mLevel = aLevel;
  line.mEvent = aEvent;
  line.mExtra = aFields;
  WriteLog(line);
}

void
LogReload(const std::string& aPart, const absl::Status& aStatus)
{
  WriteLog(aStatus.ok() ? LogLevel::eInfo : LogLevel::eWarning,
           "reload",
           { { "part", aPart },
             { "outcome", aStatus.ok() ? "done" : "kept" },
             { "error", std::string(aStatus.message()) } });
}

} // namespace caraway
