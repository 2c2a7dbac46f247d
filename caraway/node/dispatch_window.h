#pragma once
// Tracks the dispatch sequence numbers seen from one entry session, so that a
// duplicate does not run twice.

#include <bitset>
#include <cstdint>

namespace caraway {

constexpr uint64_t kWindowSize = 4096; // sequence numbers tracked

struct DispatchWindow
{
  uint64_t mHighest = 0;          // highest sequence seen, 0: none
  std::bitset<kWindowSize> mSeen; // indexed by sequence modulo kWindowSize
};

enum class SequenceState : uint8_t
{
  eNew,
  eSeen,
  eTooOld, // below the window: unknown whether it was seen
};

SequenceState
StateOf(const DispatchWindow& aWindow, uint64_t aSequence);

// Marks a sequence as seen. Sequence 0 and sequences below the window are
// ignored.
void
MarkSeen(DispatchWindow& aWindow, uint64_t aSequence);

} // namespace caraway
