#pragma once
// HTTP calls to targets: actions that start and cancel them, and events that
// report their progress.

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "caraway/base/http.h"
#include "caraway/base/ids.h"
#include "caraway/base/outcome.h"
#include "caraway/base/time.h"

namespace caraway {

using TargetCallId =
  NumberId<struct TargetCallTag>; // one HTTP call to the target

// Metadata of a call besides the request itself. The runtime's TargetDialect
// encodes it.
struct TargetCallContext
{
  RequestId mRequest;     // of the caller or batch item
  WorkspaceId mWorkspace; // of the caller's key, empty on open routes
  TargetId mExpected;     // no other target may run it, empty: any may
  std::string mHost;  // Host header of the route, empty: the target's address
  Duration mTimeLeft; // until the caller's deadline, 0: not stated
  // Id of the last event received, if the call resumes a stream.
  std::optional<uint64_t> mResumeAfter;
};

// Action: start a call to the target.
struct StartTargetCall
{
  TargetCallId mCall;
  std::string mUrl; // base URL announced by the target
  std::string mMethod;
  std::string mPath; // with query
  Headers mHeaders;
  std::string mBody;
  bool mFreshConnection = false; // do not reuse an idle connection
  uint32_t mIdleLimit = 8; // connections that may stay idle to this target
  Duration mTimeout = Seconds(600); // for receiving the next byte
  TargetCallContext mContext;
};

// Action: closes the call's connection. No events of the call follow.
struct CancelTargetCall
{
  TargetCallId mCall;
};

// Event: part of the request was sent; from now on the target may run it.
struct TargetCallSent
{
  TargetCallId mCall;
  bool mReusedConnection = false;
};

// Load that a target reports in a response.
struct StatedLoad
{
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  uint32_t mSlots = 0;
  // How long work takes there now; 1: as usual. nullopt: not stated.
  std::optional<double> mPace;
};

// Event: the status line and headers arrived.
struct TargetCallBegan
{
  TargetCallId mCall;
  int mStatus = 0;
  Headers mHeaders;
  // The response has no length and no chunks: the end of the connection is its
  // end, also if the target breaks it off.
  bool mEndsByClose = false;
  // Set by the runtime's TargetDialect, if targets report it.
  bool mNotRun = false;      // the target did not run the request
  bool mWrongTarget = false; // the address now belongs to another target
  bool mLeaving = false;     // the target is about to stop taking work
  bool mForeign = false;     // the response does not come from a target
  // Targets state the request id in each response, as mAnsweredRequest.
  bool mEchoesRequestId = false;
  RequestId
    mAnsweredRequest; // request answered by the response, empty: not stated
  std::optional<StatedLoad> mLoad;
  bool mLoadUnreadable = false; // a load was stated, in no known form
  // Requests/s that the target takes from all its callers together; nullopt:
  // the response states no limit.
  std::optional<double> mStatedRate;
};

// True if the response is not the one to the request, for example an earlier
// one that the target has sent once more. A target that refuses a request may
// not have read its id, so such a refusal states none.
inline bool
AnswersAnother(const TargetCallBegan& aBegan, const RequestId& aRequest)
{
  if (aBegan.mForeign) {
    return true;
  }
  const bool unread = aBegan.mNotRun && aBegan.mAnsweredRequest.Empty();
  return aBegan.mEchoesRequestId && !unread &&
         aBegan.mAnsweredRequest != aRequest;
}

// Event: part of the response body arrived.
struct TargetCallBytes
{
  TargetCallId mCall;
  std::string mBytes;
};

// Event: the response is complete.
struct TargetCallEnded
{
  TargetCallId mCall;
  // The response had no length and no chunks, so the end of the connection was
  // its end.
  bool mByClose = false;
};

// Action: connects to an address and closes the connection at once, to find out
// whether a target still runs there.
struct CheckTarget
{
  uint64_t mCheck = 0;  // number chosen by the role
  std::string mAddress; // "ip:port"
};

// Check of the target of a call whose connection has closed. The bit keeps it
// apart from the other checks of a role.
constexpr uint64_t kEndCheckBit = uint64_t{ 1 } << 63;

inline CheckTarget
MakeEndCheck(TargetCallId aCall, std::string aAddress)
{
  return { kEndCheckBit | aCall.mValue, std::move(aAddress) };
}

// The call that the check belongs to; none if it is not a MakeEndCheck.
inline TargetCallId
CallOfEndCheck(uint64_t aCheck)
{
  return (aCheck & kEndCheckBit) == 0 ? TargetCallId()
                                      : TargetCallId(aCheck & ~kEndCheckBit);
}

enum class TargetReach : uint8_t
{
  eAccepts, // a process accepts connections
  eRefuses, // the machine answers, but no process listens
  eSilent,  // no answer in time
};

// Event: the end of a CheckTarget.
struct TargetChecked
{
  uint64_t mCheck = 0;
  TargetReach mReach = TargetReach::eSilent;
};

// Event: the call failed. The outcome is eNotRun only if no byte of the request
// was sent (for example, the connection was refused), else eUnknown.
struct TargetCallFailed
{
  TargetCallId mCall;
  Outcome mOutcome = Outcome::eUnknown;
  std::string mReason;
};

} // namespace caraway
