#pragma once
// A request that this entry takes to a target itself, under a slot of the node
// beside the target where there is one.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "caraway/base/event_stream.h"
#include "caraway/base/target_call.h"
#include "caraway/config/plan_route.h"

namespace caraway {

enum class SlotRequestState : uint8_t
{
  eSent,   // not answered yet
  eQueued, // the node grants or refuses later
  eRefused,
};

// A slot asked for. Several nodes may be asked at once; the first grant counts.
struct PendingSlotRequest
{
  TargetId mTarget;
  PeerAddress mNode;
  MonoTime mSentAt;
  SlotRequestState mState = SlotRequestState::eSent;
  Duration mExpectedWait; // by the node's answer
};

// One call to a target.
struct DirectAttempt
{
  TargetId mTarget;
  TargetCallId mCall;
  PeerAddress mSlotNode; // that granted the slot, empty: none
  MonoTime mStartedAt;
  MonoTime mLastByte;  // or the start; of a stream: the last whole event
  bool mSent = false;  // bytes of the request left
  bool mEnded = false; // nothing more is expected of it
  bool mNotRun = false;
  bool mUnguarded = false; // started without a grant
  int mStatus = 0;
  Headers mHeaders;
};

struct DirectCall
{
  RouteId mRoute; // empty: not a direct request
  ServiceId mService;
  CallKind mKind = CallKind::eOnce;
  bool mRepeatable = false; // may run again after an unknown outcome
  uint32_t mMaxAttempts = 1;
  std::string mHost;
  std::optional<uint64_t> mResumeAfter; // as the caller asked
  Duration mLatencyGoal;
  Duration mGapGoal;
  MonoTime mGoalAt;            // on time until then
  bool mIsCallerRetry = false; // the caller was told to come back before
  std::vector<PendingSlotRequest> mSlotRequests;
  uint32_t mNodeLossRounds = 0;         // times that all nodes asked were lost
  std::vector<DirectAttempt> mAttempts; // the last one is live
  std::vector<TargetId> mTried;         // not to be tried again
  EventStream mEvents;                  // over all attempts
  MonoTime mCheckAt;                    // next look at asks and attempts
};

inline bool
IsDirect(const DirectCall& aCall)
{
  return !aCall.mRoute.Empty();
}

} // namespace caraway
