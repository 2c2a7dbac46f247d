#pragma once
// `caraway data check`: what the data folder of a stopped replica holds.

#include <string>

#include "tools/cli_result.h"

namespace caraway {

// Recovers a copy of the folder's log and snapshot; the folder is only read.
// Exit code eRefused if a replica could not start on it.
CliResult
CheckDataFolder(const std::string& aFolder);

} // namespace caraway
