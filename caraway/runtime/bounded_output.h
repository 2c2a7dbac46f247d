#pragma once
// Rate-limited log output that never blocks on a slow reader: lines beyond the
// limit, or that the descriptor cannot take at once, are dropped and counted.

#include <cstdint>
#include <string>

#include "caraway/base/time.h"

namespace caraway {

struct BoundedOutput
{
  int mDescriptor = 1;
  uint32_t mLinesPerSecond =
    1000;                     // for warnings and errors; half of it for others
  MonoTime mWindowStart{ 0 }; // start of the current one-second window
  uint32_t mLines = 0;        // written in the current window
  uint64_t mDropped = 0;      // lines dropped since the process started
  uint64_t mReportedDropped = 0; // of those, reported in a log_dropped line
};

// Makes the descriptor non-blocking, so that a slow reader cannot stall writes.
void
MakeNonBlocking(BoundedOutput& aOutput);

// Writes the line, or drops and counts it. The first line written after drops
// is preceded by a log_dropped line with their number. aImportant: a warning or
// an error.
void
WriteBoundedLine(BoundedOutput& aOutput,
                 MonoTime aNow,
                 bool aImportant,
                 std::string aLine);

} // namespace caraway
