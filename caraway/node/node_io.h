#pragma once
// Input events and output actions of the node role.

#include <string>
#include <variant>

#include "caraway/base/http.h"
#include "caraway/base/role_io.h"
#include "caraway/base/target_call.h"

namespace caraway {

using NodeEvent = std::variant<Wakeup,
                               MessageReceived,
                               PeerLost,
                               HttpRequest,
                               HttpClosed,
                               TargetCallSent,
                               TargetCallBegan,
                               TargetCallBytes,
                               TargetCallEnded,
                               TargetCallFailed,
                               TargetChecked,
                               StopRequested>;

using NodeAction = std::variant<SendMessage,
                                StartTargetCall,
                                CancelTargetCall,
                                CheckTarget,
                                HttpResponse,
                                DecisionLog,
                                Stopped>;

} // namespace caraway
