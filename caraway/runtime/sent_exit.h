#pragma once
// Ends the loop once the sockets have taken all responses: evhttp only queues
// them, and the process ends without destructors.

#include <functional>

#include "caraway/runtime/loop.h"

namespace caraway {

class SentExit
{
public:
  // aUnsent returns the bytes that no socket has taken yet.
  SentExit(Loop& aLoop, std::function<size_t()> aUnsent);

  // Ends the loop when nothing is unsent, at the latest at aLimit.
  void Begin(MonoTime aLimit);

private:
  void Check();

  Loop& mLoop;
  std::function<size_t()> mUnsent;
  MonoTime mLimit = kNever;
  Timer mTimer;
};

} // namespace caraway
