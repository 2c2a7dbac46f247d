#pragma once
// Exit codes of the `caraway` command line and the result of one command.

#include <string>

namespace caraway {

enum class ExitCode : int
{
  eOk = 0,
  eRefused = 1,     // the request was valid but refused
  eUsage = 2,       // invalid flags, settings or input
  eUnavailable = 3, // no leader, or no answer
  eConflict = 4,    // the object has changed since the expected revision
  eNotYet = 5,      // --wait timed out before the revision was in force
};

struct CliResult
{
  ExitCode mCode = ExitCode::eOk;
  std::string mJson; // output with --json
  std::string mText; // output without --json
};

} // namespace caraway
