#pragma once
// Windows of batch jobs as text: "24h", "90m", "30s".

#include <optional>
#include <string>

#include "caraway/base/time.h"

namespace caraway {

// Nothing unless the text is a whole number of hours, minutes or seconds
// between 1 s and 30 days.
std::optional<Duration>
ParseBatchWindow(const std::string& aText);

std::string
BatchWindowText(Duration aWindow);

} // namespace caraway
