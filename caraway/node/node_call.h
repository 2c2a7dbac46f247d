#pragma once
// One online or service call at the node, from its dispatch until its answer
// is no longer kept.

#include <deque>
#include <string>
#include <utility>

#include "caraway/node/node_io.h"
#include "caraway/scheduling/work.h"

namespace caraway {

using AttemptKey = std::pair<RequestId, uint32_t>;

enum class CallState : uint8_t
{
  eQueued,
  eRunning,
  eAnswered,
  eRefused,   // mRefusal was sent
  eCancelled, // on the entry's request; nothing more is sent
};

struct NodeCall
{
  WorkId mWork;
  Dispatch mDispatch;        // the body is dropped once the call has started
  PeerAddress mEntryAddress; // where answers go; follows the newest message
  Epoch mNodeEpoch;          // under which it was accepted and is answered
  CallState mState = CallState::eQueued;
  TargetCallId mTargetCall; // while running
  MonoTime mArrived;
  MonoTime mLastByte;            // of the target
  MonoTime mEnded{ 0 };          // set once the state is final
  int mStatus = 0;               // HTTP status of the target
  Headers mHeaders;              // of the target, until part 0 is sent
  std::deque<AnswerPart> mParts; // kept for resending
  uint32_t mNextPart = 0;        // number of the next new part
  uint32_t mEvents = 0;          // SSE events relayed: tokens
  size_t mKeptBytes = 0;         // body bytes in mParts
  Refusal mRefusal;              // once refused
};

} // namespace caraway
