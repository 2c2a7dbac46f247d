#pragma once
// Input events and output actions of the entry role.

#include <type_traits>
#include <utility>
#include <variant>

#include "caraway/base/http.h"
#include "caraway/base/role_io.h"
#include "caraway/base/target_call.h"
#include "caraway/entry/forward_request.h"

namespace caraway {

using EntryEventVariant = std::variant<Wakeup,
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

// Its special members are compiled in entry_io.cpp only: each file that
// moves or drops one would compile them for all of its types.
struct EntryEvent : EntryEventVariant
{
  EntryEvent();
  template<class T>
  requires(!std::is_base_of_v<EntryEventVariant, std::remove_cvref_t<T>>)
    // NOLINTNEXTLINE(bugprone-forwarding-reference-overload): it is constrained
    EntryEvent(T&& aOne)
    : EntryEventVariant(std::in_place_type<std::remove_cvref_t<T>>,
                        std::forward<T>(aOne))
  {
  }
  EntryEvent(const EntryEvent& aOther);
  EntryEvent(EntryEvent&& aOther) noexcept;
  EntryEvent& operator=(const EntryEvent& aOther);
  EntryEvent& operator=(EntryEvent&& aOther) noexcept;
  ~EntryEvent();
};

using EntryActionVariant = std::variant<SendMessage,
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

// Its special members are compiled in entry_io.cpp only: each file that
// moves or drops one would compile them for all of its types.
struct EntryAction : EntryActionVariant
{
  EntryAction();
  template<class T>
  requires(!std::is_base_of_v<EntryActionVariant, std::remove_cvref_t<T>>)
    // NOLINTNEXTLINE(bugprone-forwarding-reference-overload): it is constrained
    EntryAction(T&& aOne)
    : EntryActionVariant(std::in_place_type<std::remove_cvref_t<T>>,
                         std::forward<T>(aOne))
  {
  }
  EntryAction(const EntryAction& aOther);
  EntryAction(EntryAction&& aOther) noexcept;
  EntryAction& operator=(const EntryAction& aOther);
  EntryAction& operator=(EntryAction&& aOther) noexcept;
  ~EntryAction();
};

} // namespace caraway
