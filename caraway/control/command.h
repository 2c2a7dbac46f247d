#pragma once
// The commands of the replicated log and the durable state they build.
//
// Every replica applies the same commands in log order, so nothing here depends
// on the clock, the settings or the order of a hash table.

#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "caraway/config/operations.h"
#include "caraway/ledger/effects.h"
#include "caraway/ledger/ledger_state.h"
#include "caraway/wire/session_messages.h"

namespace caraway {

struct RegisterMember
{
  Member mMember; // mEpoch is set when applied
};

// A node's target or its drain changed.
struct UpdateMember
{
  InstanceId mInstance;
  Epoch mEpoch;
  TargetInfo mTarget;
  bool mDraining = false;
};

// A member left or its lease ran out.
struct EndSession
{
  InstanceId mInstance;
  Epoch mEpoch;
};

// Deadlines and retention. The periods travel with the command, so that
// replicas with different settings compute the same state.
struct LedgerTick
{
  Duration mResultRetention;
  Duration mClaimRetention;
};

// Targets whose heartbeats stayed away. They may come back.
struct RemoveTargets
{
  std::vector<EndedTarget> mTargets;
};

using CommandBody = std::variant<ConfigOperation,
                                 RegisterMember,
                                 UpdateMember,
                                 EndSession,
                                 ControlCall,
                                 LeaseItems,
                                 ItemResults,
                                 LedgerTick,
                                 RemoveTargets>;

struct ControlCommand
{
  MonoTime mLogical;        // leader's time since the group began
  int64_t mUnixSeconds = 0; // for display only
  CommandBody mBody;
};

struct ControlState
{
  LogIndex mApplied; // last log entry applied
  MonoTime mLogical; // never decreases
  ConfigHistory mConfig;
  Ledger mLedger;
  // The incarnation that the present one of an instance replaced. A late
  // duplicate of its Register must not end the new session.
  std::map<InstanceId, uint64_t> mReplaced;
  // Starts of targets that ended by their own word, oldest first. A heartbeat
  // of such a start that comes late names no target.
  std::deque<EndedTarget> mGoneTargets;
  std::set<InstanceId> mRetiring; // control replicas to be emptied
};

struct RegisterResult
{
  Epoch mEpoch; // none: refused, the incarnation was replaced
};

using CommandReply = std::variant<std::monostate,
                                  OperationResult,
                                  RegisterResult,
                                  CallReplyBody,
                                  ItemBatch,
                                  ItemResultsAck>;

struct FinishedSession
{
  InstanceId mInstance;
  Epoch mEpoch;
  bool mReplaced = false; // by a newer incarnation
  bool mEntry = false;    // the member was an entry
};

struct CommandOutcome
{
  CommandReply mReply;
  std::vector<LedgerEffect> mEffects;
  std::vector<FinishedSession> mEnded;
};

CommandOutcome
ApplyCommand(ControlState& aState,
             LogIndex aIndex,
             const ControlCommand& aCommand);

// True if aEpoch is the present session of the instance.
bool
IsCurrentSession(const ConfigView& aView,
                 const InstanceId& aInstance,
                 Epoch aEpoch);

std::string
EncodeCommand(const ControlCommand& aCommand);
absl::StatusOr<ControlCommand>
DecodeCommand(std::string_view aBytes);

std::string
EncodeControlState(const ControlState& aState);
// An empty input gives the empty state.
absl::StatusOr<ControlState>
DecodeControlState(std::string_view aBytes);

} // namespace caraway
