#pragma once
// Which dispatches of one entry session were seen, so that none runs twice.

#include <bitset>
#include <cstdint>

namespace caraway {

constexpr uint64_t kWindowSize = 4096; // sequences below the highest

struct DispatchWindow
{
  uint64_t mHighest = 0;          // highest sequence seen, 0 = none
  std::bitset<kWindowSize> mSeen; // by sequence modulo the size
};

enum class SequenceState : uint8_t
{
  eNew,
  eSeen,
  eTooOld, // too old to tell
};

SequenceState
StateOf(const DispatchWindow& aWindow, uint64_t aSequence);

// Marks a sequence as seen. Sequence 0 and those below the window stay as they
// are.
void
MarkSeen(DispatchWindow& aWindow, uint64_t aSequence);

} // namespace caraway
