#pragma once
// The variant of all messages between the system's processes, and its codec.
//
// The *_messages.h files of this folder declare the messages, grouped by
// protocol. Delivery is unreliable: a message may be lost, delayed, duplicated
// or reordered.

#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include "absl/status/statusor.h"
#include "caraway/wire/batch_messages.h"
#include "caraway/wire/call_messages.h"
#include "caraway/wire/discovery_messages.h"
#include "caraway/wire/dispatch_messages.h"
#include "caraway/wire/grant_messages.h"
#include "caraway/wire/order_messages.h"
#include "caraway/wire/poison_messages.h"
#include "caraway/wire/raft_messages.h"
#include "caraway/wire/rate_messages.h"
#include "caraway/wire/rollout_messages.h"
#include "caraway/wire/session_messages.h"
#include "caraway/wire/slot_messages.h"
#include "caraway/wire/stream_messages.h"

namespace caraway {

using MessageVariant = std::variant<RaftMessage,
                                    Register,
                                    RegisterReply,
                                    Renew,
                                    RenewReply,
                                    NotLeader,
                                    ConfigFetch,
                                    ConfigDelta,
                                    ConfigSnapshotPart,
                                    Leave,
                                    GrantRequest,
                                    GrantReply,
                                    Dispatch,
                                    AnswerPart,
                                    Refusal,
                                    CancelRequest,
                                    OutcomeQuery,
                                    OutcomeReply,
                                    Watch,
                                    LoadReport,
                                    LeaseItems,
                                    ItemBatch,
                                    ItemResults,
                                    ItemResultsAck,
                                    ItemsRevoked,
                                    ControlCall,
                                    ControlCallReply,
                                    LoadOrder,
                                    LoadOrderReply,
                                    SlotRequest,
                                    SlotReply,
                                    SlotRelease,
                                    SlotsHeld,
                                    ReplicaHello,
                                    ControlQuery,
                                    ControlMap,
                                    FoundGroup,
                                    JoinGroup,
                                    TargetsHeard,
                                    WorkAvailable,
                                    Leading,
                                    CrashReport,
                                    CrashReportAck,
                                    SuspectQuery,
                                    StartedParts,
                                    StreamsBegun,
                                    OriginQuery,
                                    OriginReply,
                                    RateNotice,
                                    StartTimeRequest,
                                    StartTimeReply,
                                    StartTimeRelease,
                                    LeaveGroup,
                                    MayLeave,
                                    RolloutReport,
                                    LoanRequest,
                                    LoanReply>;

// Its special members are compiled in messages.cpp only: each file that
// moves or drops one would compile them for all of its types.
struct Message : MessageVariant
{
  Message();
  template<class T>
  requires(!std::is_base_of_v<MessageVariant, std::remove_cvref_t<T>>)
    // NOLINTNEXTLINE(bugprone-forwarding-reference-overload): it is constrained
    Message(T&& aOne)
    : MessageVariant(std::in_place_type<std::remove_cvref_t<T>>,
                     std::forward<T>(aOne))
  {
  }
  Message(const Message& aOther);
  Message(Message&& aOther) noexcept;
  Message& operator=(const Message& aOther);
  Message& operator=(Message&& aOther) noexcept;
  ~Message();
};

constexpr size_t kMaxFrameBytes = 1 << 20; // length of one encoded message

// The message's type name, for logs and metrics.
std::string_view
MessageName(const Message& aMessage);

std::string
EncodeMessage(const Message& aMessage);

// Fails with eCorruptData unless the bytes are exactly one message. Allocates
// at most a small multiple of the input size.
absl::StatusOr<Message>
DecodeMessage(std::string_view aBytes);

// The same codec for configuration changes, which are also stored and nested
// separately.
std::string
EncodeChange(const ConfigChange& aChange);
absl::StatusOr<ConfigChange>
DecodeChange(std::string_view aBytes);

} // namespace caraway
