#pragma once
// Internal: the context of one step of the control role, and what its parts
// share.

#include <optional>
#include <string>
#include <vector>

#include "caraway/consensus/raft_api.h"
#include "caraway/control/control_io.h"
#include "caraway/control/control_state.h"

namespace caraway {

struct ControlStep
{
  Control& mControl;
  MonoTime mNow;
  int64_t mUnixSeconds = 0;
  std::vector<ControlAction>& mOut;
  std::vector<RaftAction> mRaft; // agreement actions not carried out yet
};

void
Send(ControlStep& aStep, const PeerAddress& aTo, Message aMessage);

// Appends one decision line.
void
Log(ControlStep& aStep,
    std::string aEvent,
    std::string aChoice,
    std::string aReason);

// True while this replica may serve reads, leases and grants.
bool
MayServe(const ControlStep& aStep);

// For messages that only the leader answers. False: the sender was told where
// the leader is, or is left to send again because this leader just started.
bool
CheckLeader(ControlStep& aStep, const PeerAddress& aFrom);

PeerAddress
LeaderAddress(const Control& aControl);

// Logical time now; only meaningful on a leader that has started.
MonoTime
LogicalNow(const ControlStep& aStep);

// Proposes a command. aPendingReply is kept until the entry is applied or lost.
// On failure returns the reason and keeps nothing.
absl::Status
Propose(ControlStep& aStep, CommandBody aBody, PendingReply aPendingReply);

// control.cpp parts.
void
RunRaftActions(ControlStep& aStep); // raft_adapter.cpp
// Halts a replica whose vote is bound to a data folder that it lost.
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
// The replica of the group that runs on the instance, if known.
std::optional<ReplicaId>
ReplicaOfInstance(const Control& aControl, const InstanceId& aInstance);
bool
MayRetireInstance(const ControlStep& aStep, const InstanceId& aInstance);

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const TargetsHeard& aMessage); // config_calls.cpp
// Answers a call of an operator or target at once, if it needs no log entry.
std::optional<CallReplyBody>
AnswerConfigCall(ControlStep& aStep, const CallBody& aBody);
void
RemoveSilentTargets(ControlStep& aStep);

void
SendItemBatch(ControlStep& aStep,
              const PeerAddress& aTo,
              const InstanceId& aNode,
              ItemBatch aBatch); // item_bodies.cpp
// aRanges must not be empty.
void
StartReads(ControlStep& aStep,
           FetchPurpose aPurpose,
           bool aReadsIndexRecords,
           const std::vector<BlobRange>& aRanges);
void
HandleBlobRead(ControlStep& aStep, const BlobRead& aRead);

void
HandleHttp(ControlStep& aStep,
           const HttpRequest& aRequest); // operator_http.cpp

} // namespace caraway
