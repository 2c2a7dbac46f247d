#pragma once
// Completion windows of batch jobs as text: "24h", "90m", "30s".

#include <optional>
#include <string>

#include "caraway/base/time.h"

namespace caraway {

// Returns nothing unless the text is a whole number of hours, minutes or
// seconds and the window is between 1 s and 30 days.
std::optional<Duration>
ParseBatchWindow(const std::string& aText);

// Formats the window in the largest unit that divides it.
std::string
BatchWindowText(Duration aWindow);

} // namespace caraway
