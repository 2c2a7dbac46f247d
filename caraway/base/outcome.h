#pragma once
// Whether a request ran at a target. Part of every refusal and failure.

#include <cstdint>
#include <string_view>

namespace caraway {

enum class Outcome : uint8_t
{
  eNotRun,  // known for certain: no target started the request
  eRan,     // a target completed it
  eUnknown, // a target may have run it, partly or completely
};

// "not_run", "ran" or "unknown", as in error bodies and logs.
std::string_view
OutcomeName(Outcome aOutcome);

} // namespace caraway
