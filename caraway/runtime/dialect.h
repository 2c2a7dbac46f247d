#pragma once
// Protocol adapters (dialects) of a deployment: functions that translate
// between the HTTP interface of its callers, operators and targets and the
// roles' events and actions. Without them, the product's own interface is used.

#include <functional>
#include <optional>

#include "caraway/base/target_call.h"
#include "caraway/entry/entry_io.h"
#include "caraway/runtime/http_server.h"

namespace caraway {

enum class ListenerUse : uint8_t
{
  eCallers,
  eReady,     // readiness checks of the load balancer
  eOperators, // requests of operators and targets
  eMetrics,
};

struct ListenerSettings
{
  ListenerUse mUse = ListenerUse::eCallers;
  HttpServerSettings mHttp;
};

// Both functions may be empty; the call or response then passes unchanged.
struct TargetDialect
{
  std::function<void(StartTargetCall&)> mWriteCall;
  std::function<void(TargetCallBegan&)> mReadAnswer;
};

// A decoded request: an event for the role, or an immediate response.
using DecodedRequest = std::variant<EntryEvent, HttpResponse>;

struct EntryDialect
{
  TargetDialect mTargets;
  std::function<DecodedRequest(ListenerUse, const HttpRequest&)> mRead;
  std::function<DecodedRequest(const ForwardRequest&)> mReadJob;
  std::function<HttpResponse(const OrderReply&)> mWriteReply;
};

} // namespace caraway
