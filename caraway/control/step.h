#pragma once
// Internal: the context of one step of the control role, and the functions that
// its source files share.

#include <optional>
#include <string>
#include <vector>

#include "caraway/consensus/raft_api.h"
#include "caraway/control/control_io.h"
#include "caraway/control/control_state.h"
#include "caraway/membership/replica_steps.h"

namespace caraway {

struct ControlStep
{
  Control& mControl;
  MonoTime mNow;
  int64_t mUnixSeconds = 0;
  std::vector<ControlAction>& mOut;
  std::vector<RaftAction> mRaft; // consensus actions that are not executed yet
};

void
Send(ControlStep& aStep, const PeerAddress& aTo, Message aMessage);

// Appends a line to the decision log.
void
Log(ControlStep& aStep,
    std::string aEvent,
    std::string aChoice,
    std::string aReason);

// True while this replica may serve reads, leases and grants: it holds the
// leader lease and is not stopping.
bool
MayServe(const ControlStep& aStep);

// For messages that only the leader answers. If false, the sender has been sent
// NotLeader, or has to retransmit because this leader does not hold its lease
// yet.
bool
CheckLeader(ControlStep& aStep, const PeerAddress& aFrom);

PeerAddress
LeaderAddress(const Control& aControl);

// The current logical time; valid only on a leader that has started.
MonoTime
LogicalNow(const ControlStep& aStep);

// Proposes a command and keeps aPendingReply until the entry is applied or
// lost. On failure returns the reason and keeps nothing.
absl::Status
Propose(ControlStep& aStep, CommandBody aBody, PendingReply aPendingReply);

// The functions below are grouped by the source file that defines them; a
// comment at the first one names the file.
void
RunRaftActions(ControlStep& aStep); // raft_adapter.cpp
// Halts a replica that has lost the data folder to which its vote is bound.
void
CheckDisk(ControlStep& aStep);
void
HandleRaftEvent(ControlStep& aStep, const LogWritten& aEvent);
void
HandleRaftEvent(ControlStep& aStep, const SnapshotSaved& aEvent);
void
HandleRaftEvent(ControlStep& aStep, const SnapshotPartRead& aEvent);
void
HandleRaftEvent(ControlStep& aStep, const SnapshotPartStored& aEvent);
void
HandleRaftEvent(ControlStep& aStep, const StorageFailed& aEvent);

void
ApplyEntries(ControlStep& aStep,
             const std::vector<LogEntry>& aEntries); // apply_entries.cpp
void
AnswerProposal(ControlStep& aStep,
               const PendingReply& aPendingReply,
               CommandReply aReply); // answers.cpp
void
FailProposal(ControlStep& aStep, const PendingReply& aPendingReply);

void
UpdateLeadership(ControlStep& aStep); // leadership.cpp
// Sets the share of each rate that the leader grants, by the entries that hold
// a lease now.
void
UpdateRateShare(ControlStep& aStep);
void
RunLeaderDuties(ControlStep& aStep);

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const Register& aMessage); // member_messages.cpp
void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const Renew& aMessage);
void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const Leave& aMessage);
void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const GrantRequest& aMessage);

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const ControlCall& aMessage); // ledger_messages.cpp
void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const LeaseItems& aMessage);
void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const ItemResults& aMessage);

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const ControlMap& aMap); // discovery.cpp
void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const JoinGroup& aMessage);
void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const FoundGroup& aMessage);
void
TickDiscovery(ControlStep& aStep);
void
ReconcileReplicas(ControlStep& aStep);
// The group as this leader sees it.
ReplicaGroupStatus
ObserveReplicaGroup(const ControlStep& aStep);

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const LeaveGroup& aMessage); // departure.cpp
void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const MayLeave& aMessage);
// What a replica that stops does for its group. True once nothing is left to
// do.
bool
Depart(ControlStep& aStep);

// Whether a replica of the group runs on an instance.
enum class Presence : uint8_t
{
  eAbsent,  // each replica is known to run on another instance
  eUnknown, // some replica has not told its instance since the election
  ePresent,
};

struct InstanceReplica
{
  Presence mPresence = Presence::eAbsent;
  ReplicaId mId; // with ePresent
};

InstanceReplica
ReplicaOfInstance(const Control& aControl, const InstanceId& aInstance);
bool
MayRetireInstance(const ControlStep& aStep, const InstanceId& aInstance);

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const TargetsHeard& aMessage); // config_calls.cpp
// Returns the reply to a configuration call that needs no log entry; nullopt
// for other calls.
std::optional<CallReplyBody>
AnswerConfigCall(ControlStep& aStep, const CallBody& aBody);
void
RemoveSilentTargets(ControlStep& aStep);

void
SendItemBatch(ControlStep& aStep, ItemBodies aBodies); // item_bodies.cpp
// aRanges must not be empty.
void
StartReads(ControlStep& aStep,
           FetchPurpose aPurpose,
           bool aReadsIndexRecords,
           const std::vector<BlobRange>& aRanges);
void
HandleBlobRead(ControlStep& aStep, const BlobRead& aRead);

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const CrashReport& aMessage); // input_blocks.cpp
void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const StartedParts& aMessage);
// True if the call hands in a plan that is applied already. Its reply waits
// like that of the call that brought the plan.
bool
HoldPlanReply(ControlStep& aStep,
              const PendingCallReply& aTo,
              const CallBody& aBody); // plan_replies.cpp
// Records the revision of a plan that was just applied.
void
PlanApplied(ControlStep& aStep);
// Acknowledges the plans that are in force.
void
SendPlanReplies(ControlStep& aStep);

// Forgets the evidence against input whose block the command lifts; it would
// block the input again. Call this on every replica, before the command is
// applied.
void
PardonLiftedInput(ControlStep& aStep, const CommandBody& aCommand);
void
DecideInputBlocks(ControlStep& aStep);

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const StreamsBegun& aMessage); // stream_versions.cpp
void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const OriginQuery& aMessage);
void
ForgetUnusedVersions(ControlStep& aStep);

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const RolloutReport& aMessage); // rollouts.cpp
// Over all entries, by their last reports.
Exposure
SumExposure(const RolloutWatch& aWatch);
RolloutEvidence
SumEvidence(const RolloutWatch& aWatch);
// Judges the active roll-outs and proposes their next phases.
void
RunRollouts(ControlStep& aStep);
// How many of the wanted items the node may lease, by the roll-out of the
// service of its target.
uint32_t
ItemsForRollout(ControlStep& aStep, const InstanceId& aNode, uint32_t aWanted);
// Counts the node's next lease towards the share of the version on trial until
// it is applied.
void
ReserveItems(ControlStep& aStep, const InstanceId& aNode);
// Counts items that a node has got, or has reported results of.
void
CountLeasedItems(ControlStep& aStep,
                 const InstanceId& aNode,
                 const ItemBatch& aBatch);
void
CountItemResults(ControlStep& aStep, const ItemResults& aResults);

// For leaders: logs voters that fall silent or are heard again, each change of
// the losses that the group bears, and proposals that are not committed.
void
WatchGroup(ControlStep& aStep); // group_watch.cpp
// For all replicas: logs that no leader has been known for long, and its end.
void
WatchLeader(ControlStep& aStep);
// For all replicas: logs when the commit index is known after the start.
void
WatchCommit(ControlStep& aStep);

void
HandleHttp(ControlStep& aStep,
           const HttpRequest& aRequest); // operator_http.cpp

} // namespace caraway
