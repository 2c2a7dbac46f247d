// Completion windows of batch jobs as text.

#include "caraway/entry/batch_window.h"

#include "absl/strings/numbers.h"

namespace caraway {

namespace {

constexpr int64_t kMaxSeconds = 30 * 24 * 3600;

// Returns the length of a unit, 0 if it is unknown.
int64_t
UnitSeconds(char aUnit)
{
  switch (aUnit) {
    case 'h':
      return 3600;
    case 'm':
      return 60;
    case 's':
      return 1;
    default:
      return 0;
  }
}

} // namespace

std::optional<Duration>
ParseBatchWindow(const std::string& aText)
{
  uint32_t count = 0;
  if (aText.size() < 2 || aText[0] < '0' || aText[0] > '9' ||
      !absl::SimpleAtoi(aText.substr(0, aText.size() - 1), &count)) {
    return std::nullopt;
  }
  const int64_t seconds = count * UnitSeconds(aText.back());
  if (seconds < 1 || seconds > kMaxSeconds) {
    return std::nullopt;
  }
  return Seconds(seconds);
}

std::string
BatchWindowText(Duration aWindow)
{
  const int64_t seconds = aWindow.Millis() / 1000;
  for (char unit : { 'h', 'm' }) {
    const int64_t size = UnitSeconds(unit);
    if (seconds >= size && seconds % size == 0) {
      return std::to_string(seconds / size) + unit;
    }
  }
  return std::to_string(seconds) + "s";
}

} // namespace caraway
