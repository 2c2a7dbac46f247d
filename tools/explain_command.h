#pragma once
// `caraway explain`: the decision log lines of one request, in order of time.

#include <string>
#include <vector>

#include "tools/cli_result.h"

namespace caraway {

// Searches the log files for lines of this request.
CliResult
ExplainRequest(const std::string& aRequest,
               const std::vector<std::string>& aLogFiles);

} // namespace caraway
