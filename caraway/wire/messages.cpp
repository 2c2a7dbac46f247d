// The codec of messages and configuration changes.

#include "caraway/wire/messages.h"

#include <array>

#include "caraway/wire/codec.h"
#include "caraway/wire/serialize_messages.h"

namespace caraway {

Message::Message() = default;
Message::Message(const Message& aOther) = default;
Message::Message(Message&& aOther) noexcept = default;
Message&
Message::operator=(const Message& aOther) = default;
Message&
Message::operator=(Message&& aOther) noexcept = default;
Message::~Message() = default;

std::string_view
MessageName(const Message& aMessage)
{
  constexpr std::array<std::string_view, std::variant_size_v<MessageVariant>>
    kNames{
      "RaftMessage",
      "Register",
      "RegisterReply",
      "Renew",
      "RenewReply",
      "NotLeader",
      "ConfigFetch",
      "ConfigDelta",
      "ConfigSnapshotPart",
      "Leave",
      "GrantRequest",
      "GrantReply",
      "Dispatch",
      "AnswerPart",
      "Refusal",
      "CancelRequest",
      "OutcomeQuery",
      "OutcomeReply",
      "Watch",
      "LoadReport",
      "LeaseItems",
      "ItemBatch",
      "ItemResults",
      "ItemResultsAck",
      "ItemsRevoked",
      "ControlCall",
      "ControlCallReply",
      "LoadOrder",
      "LoadOrderReply",
      "SlotRequest",
      "SlotReply",
      "SlotRelease",
      "SlotsHeld",
      "ReplicaHello",
      "ControlQuery",
      "ControlMap",
      "FoundGroup",
      "JoinGroup",
      "TargetsHeard",
      "WorkAvailable",
      "Leading",
      "CrashReport",
      "CrashReportAck",
      "SuspectQuery",
      "StartedParts",
      "StreamsBegun",
      "OriginQuery",
      "OriginReply",
      "RateNotice",
      "StartTimeRequest",
      "StartTimeReply",
      "StartTimeRelease",
      "LeaveGroup",
      "MayLeave",
      "RolloutReport",
      "LoanRequest",
      "LoanReply",
    };
  return kNames[aMessage.index()];
}

std::string
EncodeMessage(const Message& aMessage)
{
  return EncodeWith(aMessage);
}

absl::StatusOr<Message>
DecodeMessage(std::string_view aBytes)
{
  return DecodeWith<Message>(aBytes);
}

std::string
EncodeChange(const ConfigChange& aChange)
{
  return EncodeWith(aChange);
}

absl::StatusOr<ConfigChange>
DecodeChange(std::string_view aBytes)
{
  return DecodeWith<ConfigChange>(aBytes);
}

} // namespace caraway
