#pragma once
// A bound on the starts at a target within any second.
//
// A target may turn cold without warning and then bears only a stated number of
// requests a second, so the bound holds at all times. Batch items, which are
// stopped and started again in bursts, use half of it at most.

#include <deque>

#include "caraway/base/time.h"

namespace caraway {

struct StartPace
{
  double mPerSecond = 0;        // starts that a cold target bears, 0: no bound
  std::deque<MonoTime> mStarts; // of the last second
};

enum class StartKind : uint8_t
{
  eOnline,
  eBatch,
};

// True if one more start stays within the bound.
bool
MayStart(StartPace& aPace, MonoTime aNow, StartKind aKind);

void
NoteStart(StartPace& aPace, MonoTime aNow);

// When the oldest start leaves the window; kNever without a bound or starts.
MonoTime
NextStart(const StartPace& aPace);

} // namespace caraway
