#pragma once
// Says that a process is about to reach the memory at which it is ended: such
// an end leaves no line of its own.

#include "caraway/runtime/loop.h"

namespace caraway {

// Writes a line at each step that the peak memory of the process takes towards
// its limit. The object must live as long as the loop.
class MemoryWatch
{
public:
  // aLimit: bytes; 0: none.
  MemoryWatch(Loop& aLoop, uint64_t aLimit);

private:
  void Look();

  Loop& mLoop;
  uint64_t mLimit;
  uint64_t mNextStep; // bytes, of the next line
  Timer mTimer;
};

} // namespace caraway
