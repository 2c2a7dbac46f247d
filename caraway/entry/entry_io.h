#pragma once
// Input events and output actions of the entry role.

#include <variant>

#include "caraway/base/http.h"
#include "caraway/base/role_io.h"
#include "caraway/base/target_call.h"
#include "caraway/entry/forward_request.h"

namespace caraway {

using EntryEvent = std::variant<Wakeup,
                                MessageReceived,
                                PeerLost,
                                HttpRequest,
                                HttpClosed,
                                StopRequested,
                                ForwardRequest,
                                ControlOrder,
                                JobSubmission,
                                TargetHeartbeat,
                                TargetDeregistration,
                                ReadyQuery,
                                WhereQuery,
                                TargetCallSent,
                                TargetCallBegan,
                                TargetCallBytes,
                                TargetCallEnded,
                                TargetCallFailed,
                                TargetChecked>;

using EntryAction = std::variant<SendMessage,
                                 HttpResponse,
                                 HttpBegin,
                                 HttpChunk,
                                 HttpEnd,
                                 HttpAbort,
                                 DecisionLog,
                                 Stopped,
                                 OrderReply,
                                 ReadJobBody,
                                 StartTargetCall,
                                 CancelTargetCall,
                                 CheckTarget>;

} // namespace caraway
