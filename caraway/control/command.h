#pragma once
// The commands of the replicated log and the durable state that results from
// them.
//
// Every replica applies the same commands in log order and must reach the same
// state, so nothing here depends on the clock, the settings or the iteration
// order of a hash table.

#include <deque>
#include <map>
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
  Member mMember; // mEpoch is assigned when the command is applied
};

// Sets a node's target and a member's draining flag.
struct UpdateMember
{
  InstanceId mInstance;
  Epoch mEpoch;
  TargetInfo mTarget;
  bool mDraining = false;
};

// Ends the session of a member that left or whose lease expired.
struct EndSession
{
  InstanceId mInstance;
  Epoch mEpoch;
};

// Processes deadlines and retention in the ledger. The command carries the
// retention periods, so that replicas with different settings compute the same
// state.
struct LedgerTick
{
  Duration mResultRetention;
  Duration mClaimRetention;
};

// Removes targets whose heartbeats are missing. A later heartbeat adds them
// again.
struct RemoveTargets
{
  std::vector<EndedTarget> mTargets;
};

// A target is told apart from another writer's that uses the same id.
struct UnlistedTargetKey
{
  TargetId mTarget;
  ServiceId mService;

  auto operator<=>(const UnlistedTargetKey&) const = default;
};

// A start of a target whose service the serving plan does not list.
struct UnlistedTarget
{
  Target mTarget;
  MonoTime mColdUntil; // logical time
};

struct UnlistedTargetStart
{
  UnlistedTargetKey mKey;
  int64_t mStartedAt = 0; // Unix milliseconds
};

// Removes unlisted targets whose heartbeats are missing.
struct RemoveUnlistedTargets
{
  std::vector<UnlistedTargetStart> mTargets;
};

// Sets and removes blocks that the leader decided on.
struct ChangeInputBlocks
{
  std::vector<InputBlock> mSet;
  std::vector<InputBlockId> mRemove;
};

// Drops software versions that no target has had for so long that no stream
// which began at them goes on. A version that a target has by now stays.
struct ForgetVersions
{
  std::vector<ForgetVersion> mVersions;
};

// Takes a roll-out from one phase to the next. Changes nothing if it has left
// the phase already.
struct AdvanceRollout
{
  ServiceId mService;
  uint64_t mNumber = 0; // of the roll-out
  RolloutPhase mFrom = RolloutPhase::eTrial;
  RolloutPhase mTo = RolloutPhase::eTrial;
};

// Asks that the leader may grant above the contracts for a while. Granted at
// most once in mInterval, whoever leads.
struct UseRateTolerance
{
  Duration mInterval;
};

using CommandBody = std::variant<ConfigOperation,
                                 RegisterMember,
                                 UpdateMember,
                                 EndSession,
                                 ControlCall,
                                 LeaseItems,
                                 ItemResults,
                                 LedgerTick,
                                 RemoveTargets,
                                 ChangeInputBlocks,
                                 ForgetVersions,
                                 AdvanceRollout,
                                 UseRateTolerance,
                                 RemoveUnlistedTargets>;

struct ControlCommand
{
  MonoTime mLogical;        // leader's logical time: time since the group began
  int64_t mUnixSeconds = 0; // for display only
  CommandBody mBody;
};

constexpr MonoTime kToleranceUnused{ -Seconds(24 * 3600).mMicros };

struct ControlState
{
  LogIndex mApplied; // last log entry applied
  MonoTime mLogical; // never decreases
  ConfigHistory mConfig;
  Ledger mLedger;
  // The incarnation that the current one of an instance replaced. A late
  // duplicate of its Register must not end the new session.
  std::map<InstanceId, uint64_t> mReplaced;
  // Starts of targets that announced their end, oldest first. A late heartbeat
  // of such a start is ignored.
  std::deque<EndedTarget> mGoneTargets;
  // Targets that no plan has listed since they were reported. They are not part
  // of the configuration, so they neither replace a target at their address nor
  // reach the members, until a plan lists their service.
  std::map<UnlistedTargetKey, UnlistedTarget> mUnlistedTargets;
  // Services that a plan removed while targets of them had a record. Work may
  // still run there, so a late report of an earlier start does not replace such
  // a record.
  std::set<ServiceId> mWithdrawnServices;
  std::set<InstanceId> mRetiring; // instances whose control replica is to be
                                  // removed from the group
  // Entries whose session expired, and the logical time of that. They may be
  // cut off and still admit their share of each rate.
  std::map<InstanceId, MonoTime> mExpiredEntries;
  // Logical time of the last UseRateTolerance that was granted.
  MonoTime mToleranceUsedAt = kToleranceUnused;
};

// An entry that has been absent for this long is taken to have stopped.
constexpr Duration kExpiredEntryTtl = Seconds(60);

// An order for the same version is taken for a resent one for this long after
// the end of the roll-out.
constexpr Duration kRolloutResend = Seconds(10);

struct RegisterResult
{
  Epoch mEpoch; // none: refused because the incarnation was replaced
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
  bool mMayOverrun = false; // a UseRateTolerance was granted
};

CommandOutcome
ApplyCommand(ControlState& aState,
             LogIndex aIndex,
             const ControlCommand& aCommand);

// True if aEpoch is the current session of the instance.
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
// Empty input decodes to an empty state.
absl::StatusOr<ControlState>
DecodeControlState(std::string_view aBytes);

} // namespace caraway
