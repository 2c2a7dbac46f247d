// The names of outcomes.

#include "caraway/base/outcome.h"

namespace caraway {

std::string_view
OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::eNotRun:
      return "not_run";
    case Outcome::eRan:
      return "ran";
    case Outcome::eUnknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace caraway
