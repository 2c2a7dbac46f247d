#pragma once
// HTTP calls to a target as the roles see them: actions that start and cancel
// them, events of their progress.

#include <cstdint>
#include <optional>
#include <string>

#include "caraway/base/http.h"
#include "caraway/base/ids.h"
#include "caraway/base/outcome.h"
#include "caraway/base/time.h"

namespace caraway {

using TargetCallId =
  NumberId<struct TargetCallTag>; // one HTTP call to the target

// What is said of a call besides the request itself. How it is said is the
// matter of the host.
struct TargetCallContext
{
  RequestId mRequest;     // of the caller or batch item
  WorkspaceId mWorkspace; // whose key came with it, empty on open routes
  TargetId mExpected;     // another target must not run it, empty: any
  std::string mHost;      // of the route, empty: the target's address
  Duration mTimeLeft;     // the caller waits no longer, 0: not said
  std::optional<uint64_t> mResumeAfter; // id of the last event received
};

// Action: start a call to the target.
struct StartTargetCall
{
  TargetCallId mCall;
  std::string mUrl; // base URL that the target announced
  std::string mMethod;
  std::string mPath; // with query
  Headers mHeaders;
  std::string mBody;
  bool mFreshConnection = false;    // do not reuse an idle connection
  Duration mTimeout = Seconds(600); // without any byte
  TargetCallContext mContext;
};

// Action: close the call's connection; no further events for it.
struct CancelTargetCall
{
  TargetCallId mCall;
};

// Event: bytes of the request left; the target may run it from here on.
struct TargetCallSent
{
  TargetCallId mCall;
};

// What a target says of itself in an answer.
struct StatedLoad
{
  uint32_t mRunning = 0;
  uint32_t mWaiting = 0;
  uint32_t mSlots = 0;
};

// Event: status line and headers arrived.
struct TargetCallBegan
{
  TargetCallId mCall;
  int mStatus = 0;
  Headers mHeaders;
  // As read by the host, where targets say so.
  bool mNotRun = false;      // the target did not run the request
  bool mWrongTarget = false; // another target has the address
  bool mLeaving = false;     // the target takes no more work soon
  bool mForeign = false;     // the bytes are no answer of a target
  bool mEchoesRequestId =
    false;            // the protocol names the request in each answer
  RequestId mAnswers; // request that it answers, empty if not said
  std::optional<StatedLoad> mLoad;
};

struct TargetCallBytes
{
  TargetCallId mCall;
  std::string mBytes;
};

// Event: the whole answer arrived.
struct TargetCallEnded
{
  TargetCallId mCall;
};

// Event: the call broke. eNotRun only if no byte of the request left (connect
// refused), else eUnknown.
struct TargetCallFailed
{
  TargetCallId mCall;
  Outcome mOutcome = Outcome::eUnknown;
  std::string mReason;
};

} // namespace caraway
