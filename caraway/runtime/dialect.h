#pragma once
// How callers, operators and targets of a deployment speak, as functions that
// translate between HTTP and the roles' events and actions. Without one, the
// product's own interface is spoken.

#include <functional>
#include <optional>

#include "caraway/base/target_call.h"
#include "caraway/entry/entry_io.h"
#include "caraway/runtime/http_server.h"

namespace caraway {

enum class ListenerUse : uint8_t
{
  eCallers,
  eReady,     // the balancer's questions
  eOperators, // operators and targets
  eMetrics,
};

struct ListenerSettings
{
  ListenerUse mUse = ListenerUse::eCallers;
  HttpServerSettings mHttp;
};

// Functions may be empty; the request or action then passes as it is.
struct TargetDialect
{
  std::function<void(StartTargetCall&)> mWriteCall;
  std::function<void(TargetCallBegan&)> mReadAnswer;
};

// What a request means: an event of the role, or an answer at once.
using DecodedRequest = std::variant<EntryEvent, HttpResponse>;

struct EntryDialect
{
  TargetDialect mTargets;
  std::function<DecodedRequest(ListenerUse, const HttpRequest&)> mRead;
  std::function<DecodedRequest(const ForwardRequest&)> mReadJob;
  std::function<HttpResponse(const OrderReply&)> mWriteReply;
};

} // namespace caraway
