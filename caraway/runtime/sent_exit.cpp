// Ends the loop once all responses are sent.

#include "caraway/runtime/sent_exit.h"

#include <utility>

namespace caraway {

SentExit::SentExit(Loop& aLoop, std::function<size_t()> aUnsent)
  : mLoop(aLoop)
  , mUnsent(std::move(aUnsent))
  , mTimer(aLoop, [this] { Check(); })
{
}

void
SentExit::Begin(MonoTime aLimit)
{
  mLimit = aLimit;
  // Not at once: the response that was just made is not queued yet.
  mTimer.ArmAt(mLoop.Now());
}

void
SentExit::Check()
{
  constexpr Duration kInterval = Millis(5);
  if (mUnsent() == 0 || mLoop.Now() >= mLimit) {
    mLoop.Exit();
    return;
  }
  mTimer.ArmAt(mLoop.Now() + kInterval);
}

} // namespace caraway
