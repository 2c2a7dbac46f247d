// Rate-limited, non-blocking writes of log lines.

#include "caraway/runtime/bounded_output.h"

#include <algorithm>

#include <fcntl.h>
#include <unistd.h>

namespace caraway {

namespace {

// Writes up to PIPE_BUF (4096 bytes on Linux) to a pipe are atomic, so a line
// is written whole or not at all.
constexpr size_t kMaxLineBytes = 4000;

bool
WriteWhole(const BoundedOutput& aOutput, const std::string& aLine)
{
  return write(aOutput.mDescriptor, aLine.data(), aLine.size()) ==
         static_cast<ssize_t>(aLine.size());
}

} // namespace

void
MakeNonBlocking(BoundedOutput& aOutput)
{
  const int flags = fcntl(aOutput.mDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(aOutput.mDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void
WriteBoundedLine(BoundedOutput& aOutput,
                 MonoTime aNow,
                 bool aImportant,
                 std::string aLine)
{
  if (aNow - aOutput.mWindowStart >= Seconds(1)) {
    aOutput.mWindowStart = aNow;
    aOutput.mLines = 0;
  }
  const uint32_t most =
    aImportant ? aOutput.mLinesPerSecond : aOutput.mLinesPerSecond / 2;
  if (aOutput.mLines >= most) {
    ++aOutput.mDropped;
    return;
  }
  if (aOutput.mDropped > aOutput.mReportedDropped) {
    const std::string told =
      "event=log_dropped lines=" +
      std::to_string(aOutput.mDropped - aOutput.mReportedDropped) + "\n";
    if (!WriteWhole(aOutput, told)) {
      ++aOutput.mDropped;
      return;
    }
    aOutput.mReportedDropped = aOutput.mDropped;
  }
  aLine.resize(std::min(aLine.size(), kMaxLineBytes));
  if (!aLine.ends_with('\n')) {
    aLine.push_back('\n');
  }
  if (WriteWhole(aOutput, aLine)) {
    ++aOutput.mLines;
  } else {
    ++aOutput.mDropped;
  }
}

} // namespace caraway
