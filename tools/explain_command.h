#pragma once
// `caraway explain`: prints the decision log of one request in time order.

#include <string>
#include <vector>

#include "tools/cli_result.h"

namespace caraway {

// Collects the lines of aLogFiles that name the request aRequest.
CliResult
ExplainRequest(const std::string& aRequest,
               const std::vector<std::string>& aLogFiles);

} // namespace caraway
