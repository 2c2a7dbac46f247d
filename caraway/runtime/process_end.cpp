// Ends of the process, and the signals during its start.

#include "caraway/runtime/process_end.h"

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <system_error>
#include <thread>

#include <unistd.h>

namespace caraway {

namespace {

// A log file can be on a disk that does not answer.
constexpr std::chrono::seconds kEndLimit{ 2 };

// What a signal handler may use: set before the handler can run, never freed.
struct EarlyStop
{
  std::array<char, 512> mLine{};
  volatile std::sig_atomic_t mLength = 0; // 0: write nothing
  int mDescriptor = STDERR_FILENO;
};

EarlyStop gEarlyStop;

extern "C" void
OnEarlySignal(int)
{
  const auto length = static_cast<size_t>(gEarlyStop.mLength);
  if (length > 0) {
    // Nothing can be done about a line that is not taken.
    [[maybe_unused]] const ssize_t taken =
      ::write(gEarlyStop.mDescriptor, gEarlyStop.mLine.data(), length);
  }
  ::_exit(static_cast<int>(ProcessEnd::eStopped));
}

[[noreturn]] void
OnTerminate()
{
  std::string reason = "the process was terminated";
  if (const std::exception_ptr pending = std::current_exception()) {
    try {
      std::rethrow_exception(pending);
    } catch (const std::exception& error) {
      reason = error.what();
    } catch (...) {
      reason = "an exception of an unknown type";
    }
  }
  EndProcess(ProcessEnd::eFault, reason);
}

const char*
EventOf(ProcessEnd aEnd)
{
  switch (aEnd) {
    case ProcessEnd::eStopped:
      return "stopped";
    case ProcessEnd::eStartFailed:
    case ProcessEnd::eBadSettings:
      return "start_failed";
    case ProcessEnd::eHalted:
      return "replica_halted";
    case ProcessEnd::eFault:
      break;
  }
  return "process_fault";
}

void
EndAtLimit(int aStatus)
{
  try {
    std::thread([aStatus] {
      std::this_thread::sleep_for(kEndLimit);
      std::_Exit(aStatus);
    }).detach();
  } catch (const std::system_error&) {
    // Without a thread, the end waits for the log.
  }
}

} // namespace

void
PrepareProcess()
{
  std::set_terminate(OnTerminate);
  std::signal(SIGHUP, SIG_IGN);
  // A limit on file sizes is an error of the write, as a full disk is.
  std::signal(SIGXFSZ, SIG_IGN);
  std::signal(SIGTERM, OnEarlySignal);
  std::signal(SIGINT, OnEarlySignal);
}

void
SetEarlyStopLine(const LogSettings& aLog, const InstanceId& aInstance)
{
  if (!aLog.mFile.empty()) {
    return; // not for a signal handler
  }
  DecisionLog decision;
  decision.mEvent = EventOf(ProcessEnd::eStopped);
  decision.mReason = "a signal during the start";
  const std::string line =
    FormatLogLine(aLog.mFormat, aInstance, decision) + "\n";
  if (line.size() > gEarlyStop.mLine.size()) {
    return;
  }
  std::copy(line.begin(), line.end(), gEarlyStop.mLine.begin());
  gEarlyStop.mDescriptor = aLog.mStandardOutput ? STDOUT_FILENO : STDERR_FILENO;
  gEarlyStop.mLength = static_cast<std::sig_atomic_t>(line.size());
}

void
EndProcess(ProcessEnd aEnd, const std::string& aReason)
{
  const int status = static_cast<int>(aEnd);
  // The status is decided.
  std::signal(SIGTERM, SIG_IGN);
  std::signal(SIGINT, SIG_IGN);
  EndAtLimit(status);
  if (!LogIsOpen()) {
    std::cerr << EventOf(aEnd) << ": " << aReason << '\n';
    std::_Exit(status);
  }
  std::vector<LogField> fields{ { "status", std::to_string(status) } };
  if (!aReason.empty()) {
    fields.push_back({ "reason", aReason });
  }
  WriteLog(aEnd == ProcessEnd::eStopped ? LogLevel::eInfo : LogLevel::eError,
           EventOf(aEnd),
           fields);
  std::_Exit(status);
}

void
EndUnlogged(ProcessEnd aEnd)
{
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(static_cast<int>(aEnd));
}

} // namespace caraway
