#pragma once
// State of one online or service call at the node, from its dispatch until its
// kept answer expires.

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
  eCancelled, // cancelled by the entry; nothing more is sent
};

struct NodeCall
{
  WorkId mWork;
  Dispatch mDispatch;        // the body is moved out when the call starts
  PeerAddress mEntryAddress; // receives answers; sender of the newest message
  Epoch mNodeEpoch;          // epoch under which the call was accepted
  CallState mState = CallState::eQueued;
  TargetCallId mTargetCall; // while running
  MonoTime mArrived;
  MonoTime mLastByte;            // last byte received from the target
  MonoTime mEnded{ 0 };          // time of the final state, 0: still live
  int mStatus = 0;               // HTTP status of the target
  Headers mHeaders;              // response headers, until part 0 is sent
  bool mEndsByClose = false;     // the answer has no length and no chunks
  std::deque<AnswerPart> mParts; // kept for retransmission
  uint32_t mNextPart = 0;        // number of the next new part
  uint32_t mEvents = 0;          // SSE events relayed, counted as tokens
  size_t mKeptBytes = 0; // bytes accounted to this call in Node::mKeptBytes
  Refusal mRefusal;      // set in state eRefused
};

} // namespace caraway
