#pragma once
// The context that every handler of one entry step gets.

#include <utility>
#include <vector>

#include "caraway/entry/entry_io.h"
#include "caraway/entry/entry_state.h"

namespace caraway {

struct EntryStep
{
  Entry& mEntry;
  MonoTime mNow;
  std::vector<EntryAction>& mOut;
};

inline void
Send(EntryStep& aStep, const PeerAddress& aTo, Message aMessage)
{
  aStep.mOut.emplace_back(SendMessage{ aTo, std::move(aMessage), false });
}

} // namespace caraway
