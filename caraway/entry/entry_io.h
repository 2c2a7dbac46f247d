#pragma once
// Events and actions of the entry role.

#include <variant>

#include "caraway/base/http.h"
#include "caraway/base/role_io.h"

namespace caraway {

using EntryEvent = std::variant<Wakeup,
                                MessageReceived,
                                PeerLost,
                                HttpRequest,
                                HttpClosed,
                                StopRequested>;

using EntryAction = std::variant<SendMessage,
                                 HttpResponse,
                                 HttpBegin,
                                 HttpChunk,
                                 HttpEnd,
                                 HttpAbort,
                                 DecisionLog,
                                 Stopped>;

} // namespace caraway
