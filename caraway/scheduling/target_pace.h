#pragma once
// How long work takes at a target, against the other targets of its service.
//
// Load pattern: targets of one service that differ for good, and for parts of a
// second, since they share their machines with others. Without the pace, each
// gets as many requests for a place as the others, and the slow ones make their
// callers wait. Kept only for targets that state how long work takes.

#include <cstdint>

#include "caraway/base/time.h"

namespace caraway {

struct TargetPace
{
  double mRatio = 1; // time of its answers / usual time, moving mean
  uint32_t mSamples = 0;
};

// Records the time of one answer against the usual time of its kind.
void
RecordPace(TargetPace& aPace, double aRatio);

// 1 until enough answers have told.
double
PaceOf(const TargetPace& aPace);

// Usual time of one kind of answer over all targets, as one process sees it.
struct UsualPace
{
  double mSeconds = 0; // moving mean; 0: nothing recorded yet
};

// Records a time and returns its ratio to the usual time.
double
RecordAgainstUsual(UsualPace& aUsual, double aSeconds);

} // namespace caraway
