#pragma once
// Exit codes of the command line and the result of one command.

#include <string>

namespace caraway {

enum class ExitCode : int
{
  eOk = 0,
  eRefused = 1,     // the request was understood and refused
  eUsage = 2,       // flags, settings or input are wrong
  eUnavailable = 3, // no leader, or the process does not answer
  eConflict = 4,    // another operator changed the object first
  eNotYet = 5,      // --wait ran out before the revision was in force
};

struct CliResult
{
  ExitCode mCode = ExitCode::eOk;
  std::string mJson; // what --json prints
  std::string mText; // what is printed without it
};

} // namespace caraway
