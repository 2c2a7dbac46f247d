#pragma once
// Input events and output actions of the node role.

#include <string>
#include <type_traits>
#include <utility>
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

using NodeActionVariant = std::variant<SendMessage,
                                       StartTargetCall,
                                       CancelTargetCall,
                                       CheckTarget,
                                       HttpResponse,
                                       DecisionLog,
                                       Stopped>;

// Its special members are compiled in node_io.cpp only: each file that
// moves or drops one would compile them for all of its types.
struct NodeAction : NodeActionVariant
{
  NodeAction();
  template<class T>
  requires(!std::is_base_of_v<NodeActionVariant, std::remove_cvref_t<T>>)
    // NOLINTNEXTLINE(bugprone-forwarding-reference-overload): it is constrained
    NodeAction(T&& aOne)
    : NodeActionVariant(std::in_place_type<std::remove_cvref_t<T>>,
                        std::forward<T>(aOne))
  {
  }
  NodeAction(const NodeAction& aOther);
  NodeAction(NodeAction&& aOther) noexcept;
  NodeAction& operator=(const NodeAction& aOther);
  NodeAction& operator=(NodeAction&& aOther) noexcept;
  ~NodeAction();
};

} // namespace caraway
