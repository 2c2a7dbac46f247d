#pragma once
// How many calls a target that has just started or recovered gets at once.
//
// Load pattern: a target comes back in the middle of full traffic. With all its
// slots given out at once it is flooded before its caches and threads are warm;
// with a fixed pause it stays idle while callers wait. The limit follows the
// target's own answers: one call more for each answer in usual time, so that it
// doubles with each round; no growth for slow ones; half after a failure.
//
// Invariant: kLeastCalls <= mLimit <= slots while active. Cold bounds and
// stated rates (start_pace.h) hold beside it; it never raises them.

#include <cstdint>

namespace caraway {

struct SlowStart
{
  bool mActive = false;
  double mLimit = 0;      // calls at once, while active
  uint32_t mFailures = 0; // consecutive
  uint64_t mBegun = 0;    // times that it became active, for metrics
};

enum class StartAnswer : uint8_t
{
  eUsual,  // in usual time, or of unknown pace
  eSlow,   // takes kSlowPace times the usual time or longer
  eFailed, // the call failed at the target
};

// Begins anew: the target has just started.
void
BeginSlowStart(SlowStart& aStart);

// Records the end of a call. Failures in a row show that the target is in
// trouble, and begin a slow start at half of its slots.
void
RecordStartAnswer(SlowStart& aStart, StartAnswer aAnswer, uint32_t aSlots);

// How the answer counts. aPace: of this answer, see target_pace.h; 0: unknown.
StartAnswer
JudgeStartAnswer(bool aServed, double aPace);

// Calls that the target may have at once.
uint32_t
SlowStartLimit(const SlowStart& aStart, uint32_t aSlots);

} // namespace caraway
