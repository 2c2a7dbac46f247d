#pragma once
// Messages about slots: an entry that calls a target itself asks the node
// beside the target for one of the target's places.

#include <cstdint>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

// Entry -> node. A resend keeps the request id and is answered again.
struct SlotRequest
{
  RequestId mRequest;
  WorkspaceId mWorkspace;     // empty on open routes
  Duration mTimeToGoal;       // on time if answered within this, 0: no goal
  bool mMayReturn = false;    // its caller can be told to come back
  Duration mWait;             // refused when it cannot start within this
  uint32_t mPromptTokens = 0; // estimate
  uint32_t mOutputTokens = 0; // estimate
};

enum class SlotState : uint8_t
{
  eGranted, // call the target now
  eQueued,  // a grant or a refusal follows
  eRefused, // ask elsewhere
};

// Node -> entry.
struct SlotReply
{
  RequestId mRequest;
  SlotState mState = SlotState::eRefused;
  Duration mExpectedWait; // queued or refused: until a place is free
  uint32_t mRunning = 0;  // online calls at the target
  uint32_t mBatch = 0;    // batch items at the target, which give way
  uint32_t mQueued = 0;   // online requests that wait
  uint32_t mLimit = 0;    // places
};

enum class SlotEnding : uint8_t
{
  eServed,    // the target answered
  eFailed,    // the call broke
  eCancelled, // not used, or given up
};

// Entry -> node: the place is free again, or is no longer wanted.
struct SlotRelease
{
  RequestId mRequest;
  SlotEnding mEnding = SlotEnding::eServed;
};

// Entry -> node, once a second: all places that the entry holds there. The
// node frees others that it has recorded for this entry, and records those it
// does not know after a restart.
struct SlotsHeld
{
  std::vector<RequestId> mRequests;
};

} // namespace caraway
