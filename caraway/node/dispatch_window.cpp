// Tracks the dispatch sequence numbers seen from one entry session.

#include "caraway/node/dispatch_window.h"

namespace caraway {

SequenceState
StateOf(const DispatchWindow& aWindow, uint64_t aSequence)
{
  if (aSequence == 0 || aSequence + kWindowSize <= aWindow.mHighest) {
    return SequenceState::eTooOld;
  }
  if (aSequence > aWindow.mHighest) {
    return SequenceState::eNew;
  }
  return aWindow.mSeen[aSequence % kWindowSize] ? SequenceState::eSeen
                                                : SequenceState::eNew;
}

void
MarkSeen(DispatchWindow& aWindow, uint64_t aSequence)
{
  if (StateOf(aWindow, aSequence) == SequenceState::eTooOld) {
    return;
  }
  if (aSequence >= aWindow.mHighest + kWindowSize) {
    aWindow.mSeen.reset();
  } else {
    for (uint64_t skipped = aWindow.mHighest + 1; skipped < aSequence;
         ++skipped) {
      aWindow.mSeen[skipped % kWindowSize] = false;
    }
  }
  if (aSequence > aWindow.mHighest) {
    aWindow.mHighest = aSequence;
  }
  aWindow.mSeen[aSequence % kWindowSize] = true;
}

} // namespace caraway
