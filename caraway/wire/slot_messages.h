#pragma once
// Messages about slots: before an entry calls a target directly, it requests
// one of the target's slots from the node beside it.

#include <cstdint>
#include <optional>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/wire/rate_messages.h"

namespace caraway {

// Entry -> node. A retransmission has the same request id and is answered
// again.
struct SlotRequest
{
  RequestId mRequest;
  WorkspaceId mWorkspace;  // empty on open routes
  Duration mTimeToGoal;    // on time if answered within this time, 0: no goal
  bool mMayReturn = false; // the caller may be asked to retry later
  Duration mWait;          // refused unless it can start within this time
  uint32_t mPromptTokens = 0; // estimate
  uint32_t mOutputTokens = 0; // estimate
  std::optional<HeardRate> mRate;
  uint32_t mRank = 0;          // importance, 0 is the highest
  uint32_t mWeight = 1;        // of the workspace, see ShareWeight
  bool mIsCallerRetry = false; // the caller was refused and returned
};

enum class SlotState : uint8_t
{
  eGranted, // the entry may call the target
  eQueued,  // another reply follows
  eRefused, // the entry should try another node
};

// Node -> entry.
struct SlotReply
{
  RequestId mRequest;
  SlotState mState = SlotState::eRefused;
  Duration mExpectedWait; // if queued or refused: until a slot is free
  uint32_t mRunning = 0;  // online calls at the target
  uint32_t mBatch = 0;    // batch items at the target, which can be preempted
  uint32_t mQueued = 0;   // waiting online requests
  uint32_t mLimit = 0;    // slots
  // Start of the target that the node has, Unix milliseconds; 0: not known. The
  // entry may not have heard of it yet.
  int64_t mTargetStart = 0;
  std::optional<HeardRate> mRate;
  Duration mRateWait; // until the rate allows one more online start
  double mPace = 0;   // of the target, see target_pace.h; 0: not known
};

enum class SlotEnding : uint8_t
{
  eServed,    // the target responded
  eFailed,    // the call failed
  eCancelled, // the call was cancelled, or the slot may not have been used
  eUnused,    // no call was sent, and none will be
};

// Entry -> node: releases a slot, or withdraws a queued request for one.
struct SlotRelease
{
  RequestId mRequest;
  SlotEnding mEnding = SlotEnding::eServed;
  double mPace = 0; // of this answer, against the usual time; 0: not measured
};

// Entry -> node, once a second: all of the node's slots that the entry holds.
// The node frees any others recorded for this entry and, after its own restart,
// records those it does not know.
struct SlotsHeld
{
  std::vector<RequestId> mRequests;
};

} // namespace caraway
