// The rate at which a queue empties.

#include "caraway/scheduling/queue_drain.h"

namespace caraway {

namespace {

constexpr Duration kWindow = Millis(500); // a few services of one place
constexpr size_t kFewest = 4;             // fewer say nothing about a rate

void
DropOld(QueueDrain& aDrain, MonoTime aNow)
{
  while (!aDrain.mLeft.empty() && aNow - aDrain.mLeft.front() > kWindow) {
    aDrain.mLeft.pop_front();
  }
}

} // namespace

void
NoteLeft(QueueDrain& aDrain, MonoTime aNow)
{
  DropOld(aDrain, aNow);
  aDrain.mLeft.push_back(aNow);
}

std::optional<Duration>
DrainTime(QueueDrain& aDrain, MonoTime aNow, double aAhead)
{
  DropOld(aDrain, aNow);
  if (aDrain.mLeft.size() < kFewest) {
    return std::nullopt;
  }
  const double each =
    kWindow.Seconds() / static_cast<double>(aDrain.mLeft.size());
  return Micros(static_cast<int64_t>(aAhead * each * 1e6));
}

} // namespace caraway
