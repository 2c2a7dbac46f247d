#pragma once
// Writes log lines to a descriptor without ever waiting for its reader, and no
// more of them a second than allowed.

#include <cstdint>
#include <string>

#include "caraway/base/time.h"

namespace caraway {

struct BoundedOutput
{
  int mDescriptor = 1;
  uint32_t mLinesPerSecond = 1000; // warnings and errors; others: half
  MonoTime mWindowStart{ 0 };      // start of the present one
  uint32_t mLines = 0;             // written in it
  uint64_t mDropped = 0;           // since the start
  uint64_t mReportedDropped = 0;   // of those, told in a line
};

// Makes writes to the descriptor return at once when the reader is slow.
void
MakeNonBlocking(BoundedOutput& aOutput);

// Writes the line, or drops and counts it. A line that follows dropped ones is
// preceded by one that says how many.
void
WriteBoundedLine(BoundedOutput& aOutput,
                 MonoTime aNow,
                 bool aImportant,
                 std::string aLine);

} // namespace caraway
