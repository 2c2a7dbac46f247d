#pragma once
// Events and actions of the node role.

#include <string>
#include <variant>

#include "caraway/base/http.h"
#include "caraway/base/outcome.h"
#include "caraway/base/role_io.h"

namespace caraway {

using TargetCallId =
  NumberId<struct TargetCallTag>; // one HTTP call to the target

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
};

// Action: close the call's connection; no further events for it.
struct CancelTargetCall
{
  TargetCallId mCall;
};

// Event: status line and headers arrived.
struct TargetCallBegan
{
  TargetCallId mCall;
  int mStatus = 0;
  Headers mHeaders;
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

using NodeEvent = std::variant<Wakeup,
                               MessageReceived,
                               PeerLost,
                               HttpRequest,
                               HttpClosed,
                               TargetCallBegan,
                               TargetCallBytes,
                               TargetCallEnded,
                               TargetCallFailed,
                               StopRequested>;

using NodeAction = std::variant<SendMessage,
                                StartTargetCall,
                                CancelTargetCall,
                                HttpResponse,
                                DecisionLog,
                                Stopped>;

} // namespace caraway
