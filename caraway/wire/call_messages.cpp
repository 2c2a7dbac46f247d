// Special members of the variants of calls and their replies.

#include "caraway/wire/call_messages.h"

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

} // namespace caraway
