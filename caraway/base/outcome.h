#pragma once
// Whether a request ran. Every refusal and failure carries one.

#include <cstdint>
#include <string_view>

namespace caraway {

enum class Outcome : uint8_t
{
  eNotRun,  // proven: no target began this request
  eRan,     // a target ran it to its end
  eUnknown, // a target may have run it, in part or whole
};

// "not_run", "ran" or "unknown", as in error bodies and logs.
std::string_view
OutcomeName(Outcome aOutcome);

} // namespace caraway
