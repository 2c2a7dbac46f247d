// Starts in a sliding second.

#include "caraway/scheduling/start_pace.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Duration kWindow = Seconds(1);
constexpr double kBatchShare = 0.5;

} // namespace

bool
MayStart(StartPace& aPace, MonoTime aNow, StartKind aKind)
{
  while (!aPace.mStarts.empty() && aNow - aPace.mStarts.front() > kWindow) {
    aPace.mStarts.pop_front();
  }
  if (aPace.mPerSecond <= 0) {
    return true;
  }
  const double most =
    std::max(1.0,
             aKind == StartKind::eBatch ? aPace.mPerSecond * kBatchShare
                                        : aPace.mPerSecond);
  return static_cast<double>(aPace.mStarts.size()) + 1 <= most;
}

void
NoteStart(StartPace& aPace, MonoTime aNow)
{
  if (aPace.mPerSecond > 0) {
    aPace.mStarts.push_back(aNow);
  }
}

MonoTime
NextStart(const StartPace& aPace)
{
  return aPace.mPerSecond <= 0 || aPace.mStarts.empty()
           ? kNever
           : aPace.mStarts.front() + kWindow + Micros(1);
}

} // namespace caraway
