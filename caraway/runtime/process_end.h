#pragma once
// How a process ends. Every end writes one line with its cause and has a status
// that tells success from failure. It runs no destructors and joins no threads:
// shutting down the logging library joins its threads, which can last until the
// process is killed. Until then its listeners would accept connections that
// nobody reads, and a supervisor would take it for a process in service.
//
// docs/OPERATIONS.md has the table of ends.

#include <string>

#include "caraway/base/ids.h"
#include "caraway/runtime/logging.h"

namespace caraway {

// The values are exit statuses.
enum class ProcessEnd : int
{
  eStopped = 0,     // asked to stop, or a question was answered (--help)
  eStartFailed = 1, // nothing was served
  eBadSettings = 2,
  eHalted = 3, // the role cannot go on with its data
  eFault = 4,  // an exception that nothing handles
};

// Call first in main. From here on, an exception that nothing handles ends the
// process with eFault, and SIGTERM or SIGINT ends it at once with eStopped,
// until a Loop runs and handles them. SIGHUP is ignored until then.
void
PrepareProcess();

// Sets the line that a signal during the start writes, once the log is open.
void
SetEarlyStopLine(const LogSettings& aLog, const InstanceId& aInstance);

// Writes a line with the cause and ends the process, after kEndLimit at the
// latest if the log does not take the line.
[[noreturn]] void
EndProcess(ProcessEnd aEnd, const std::string& aReason);

// Ends a process whose log is not open. What it has printed is flushed.
[[noreturn]] void
EndUnlogged(ProcessEnd aEnd);

} // namespace caraway
