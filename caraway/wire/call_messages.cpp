// Special members of the variants of calls and their replies.

#include "caraway/wire/call_messages.h"

#include <concepts>

namespace caraway {

CallReplyBody::CallReplyBody() = default;
CallReplyBody::CallReplyBody(const CallReplyBody& aOther) = default;
CallReplyBody::CallReplyBody(CallReplyBody&& aOther) noexcept = default;
CallReplyBody&
CallReplyBody::operator=(const CallReplyBody& aOther) = default;
CallReplyBody&
CallReplyBody::operator=(CallReplyBody&& aOther) noexcept = default;
CallReplyBody::~CallReplyBody() = default;

CallBody::CallBody() = default;
CallBody::CallBody(const CallBody& aOther) = default;
CallBody::CallBody(CallBody&& aOther) noexcept = default;
CallBody&
CallBody::operator=(const CallBody& aOther) = default;
CallBody&
CallBody::operator=(CallBody&& aOther) noexcept = default;
CallBody::~CallBody() = default;

CallerKey*
CallerKeyOf(CallBody& aBody)
{
  return std::visit(
    [](auto& aCall) -> CallerKey* {
      if constexpr (requires {
                      {
                        aCall.mKey
                        } -> std::same_as<CallerKey&>;
                    }) {
        return &aCall.mKey;
      } else {
        return nullptr;
      }
    },
    static_cast<CallBodyVariant&>(aBody));
}

const CallerKey*
CallerKeyOf(const CallBody& aBody)
{
  // The call itself is not changed.
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast)
  return CallerKeyOf(const_cast<CallBody&>(aBody));
}

} // namespace caraway
