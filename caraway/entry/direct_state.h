#pragma once
// State of a direct request: one that this entry sends to a target itself,
// holding a slot from the node beside the target if there is such a node.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "caraway/base/event_stream.h"
#include "caraway/base/target_call.h"
#include "caraway/config/plan_route.h"
#include "caraway/routing/stream_origins.h"

namespace caraway {

enum class SlotRequestState : uint8_t
{
  eSent,   // no reply yet
  eQueued, // queued at the node, which grants or refuses it later
  eRefused,
  eReserved, // a start time is granted, see entry/start_times.h
};

// A slot request at one node, or a request for a start time at one entry.
// Requests to several nodes may be in flight at once; the first grant is used
// and the others are released.
struct PendingSlotRequest
{
  TargetId mTarget;
  PeerAddress mNode;
  MonoTime mSentAt;
  SlotRequestState mState = SlotRequestState::eSent;
  Duration mExpectedWait; // as estimated in the node's reply; 0: no reply yet
  bool mForStartTime = false; // mNode is empty
  MonoTime mStartAt;          // if eReserved
  double mStartRate = 0; // if eReserved: the rate that it was reserved under
};

// One call to a target.
struct DirectAttempt
{
  TargetId mTarget;
  TargetCallId mCall;
  PeerAddress mSlotNode; // node that granted the slot; empty: no grant
  MonoTime mStartedAt;
  // Start of the stall timeout: the last byte received, for a stream the last
  // complete event, or the start of the attempt.
  MonoTime mLastByte;
  bool mSent = false;               // bytes of the request were sent
  bool mEnded = false;              // its events are ignored from now on
  bool mNotRun = false;             // proven not to have run
  bool mUnguarded = false;          // started without a slot grant
  int64_t mTargetStart = 0;         // start of the target, Unix milliseconds
  std::string mTargetAddress;       // "ip:port"
  std::string mTargetVersion;       // of its software
  MonoTime mAnsweredSince = kNever; // its first complete event
  bool mAnswered = false; // the answer has gone on for kAnswerSettles, or ended
  bool mBrokeUnanswered = false; // its connection broke before that
  int mStatus = 0;
  Headers mHeaders;
  bool mEndsByClose = false; // the answer has no length and no chunks
  double mStatedPace = 0;    // by the answer's head; 0: not stated
  double mPace = 0; // of the whole answer, see MeasurePace; 0: not measured
  // The connection has closed, and the target is checked, see answer_end.cpp.
  bool mEndCheck = false;
};

struct DirectCall
{
  RouteId mRoute; // empty: not a direct request
  ServiceId mService;
  CallKind mKind = CallKind::eOnce;
  bool mRepeatable = false; // may be retried after an unknown outcome
  uint32_t mMaxAttempts = 1;
  std::string mHost;
  std::optional<uint64_t> mResumeAfter; // last event id that the caller has
  StreamId mResumes; // with mResumeAfter: the stream; none: not named
  // Which service and version began the stream: known once its first event has
  // arrived, or found for a stream that the caller resumes.
  std::optional<StreamOrigin> mOrigin;
  bool mOriginRecorded = false;
  // While the origin is looked for: when to give up, the replies to the last
  // question, and whether the leader has said that it does not know.
  MonoTime mOriginBy;
  size_t mOriginReplies = 0;
  bool mOriginUnknown = false;
  Duration mLatencyGoal;
  Duration mGapGoal;
  MonoTime mGoalAt;            // time of receipt plus the latency goal
  bool mIsCallerRetry = false; // a retry, to judge by its deadline
  uint32_t mRank = 0;          // importance, 0 is the highest
  std::vector<PendingSlotRequest> mSlotRequests;
  // Times that all nodes in mSlotRequests were lost.
  uint32_t mNodeLossRounds = 0;
  std::vector<DirectAttempt> mAttempts; // the last one is the live one
  std::vector<TargetId> mTried;         // excluded from further attempts
  EventStream mEvents;                  // spans all attempts
  // Of the response to the caller, once it has begun.
  int mReplyStatus = 0;
  bool mReplyEndsByClose = false; // it has no length and no chunks
  // Next check of the slot requests and the live attempt.
  MonoTime mCheckAt;
};

inline bool
IsDirect(const DirectCall& aCall)
{
  return !aCall.mRoute.Empty();
}

} // namespace caraway
