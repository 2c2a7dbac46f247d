#pragma once
// Functions shared between the source files of the node role. Not part of its
// interface.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "caraway/node/node.h"

namespace caraway {

using NodeActions = std::vector<NodeAction>;

// --- State of service (node_service.cpp)

// Reason for refusing new work at present; eNone if it is accepted.
ErrorKind
RefusalReason(const Node& aNode, MonoTime aNow);
bool
HasLease(const Node& aNode, MonoTime aNow);
bool
IsDraining(const Node& aNode);
std::string_view
StateName(const Node& aNode, MonoTime aNow);

// --- Directory (node_directory.cpp)

// True if the target is found in the configuration instead of announcing itself
// to the node.
bool
UsesDirectory(const Node& aNode);
void
UpdateTargetFromDirectory(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
OnControlMap(Node& aNode, MonoTime aNow, const ControlMap& aMap);
void
QueryControlMap(Node& aNode, MonoTime aNow, NodeActions& aOut);

// --- Slots (node_slots.cpp)

void
OnSlotRequest(Node& aNode,
              MonoTime aNow,
              const PeerAddress& aFrom,
              const SlotRequest& aRequest,
              NodeActions& aOut);
void
OnSlotRelease(Node& aNode,
              MonoTime aNow,
              const PeerAddress& aFrom,
              const SlotRelease& aRelease);
void
OnSlotsHeld(Node& aNode,
            MonoTime aNow,
            const PeerAddress& aFrom,
            const SlotsHeld& aHeld);
// Grants or refuses the slot of this work. Returns false if the work is not a
// slot.
bool
GrantSlot(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut);
bool
RefuseSlot(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut);
void
DropEntrySlots(Node& aNode, MonoTime aNow, const PeerAddress& aEntry);
// Number of batch calls running at the target.
uint32_t
BatchCalls(const Node& aNode);
// Of the target; 0 before the first answer that told.
double
KnownPace(const Node& aNode);

// --- Rate that the target states (node_rate.cpp)

// Records what another process has heard from the target.
void
OnHeardRate(Node& aNode,
            MonoTime aNow,
            const HeardRate& aHeard,
            NodeActions& aOut);
// Records what an answer to a call of this node states.
void
OnStatedRate(Node& aNode,
             MonoTime aNow,
             const TargetCallBegan& aAnswer,
             NodeActions& aOut);
void
ForgetStatedRate(Node& aNode, MonoTime aNow);
// Slots that calls can fill on average at the stated rate, for the placement at
// entries.
uint32_t
UsableSlots(const Node& aNode);
std::optional<HeardRate>
HeardRateOfTarget(const Node& aNode, MonoTime aNow);
// Time until the rate allows one more online start behind those that wait.
Duration
RateWait(const Node& aNode, MonoTime aNow);

// --- Local HTTP (node_http.cpp)

void
OnHttp(Node& aNode,
       MonoTime aNow,
       const HttpRequest& aRequest,
       NodeActions& aOut);

// --- Target (node_target.cpp, node_target_calls.cpp)

void
OnAnnouncement(Node& aNode,
               MonoTime aNow,
               const Announcement& aAnnouncement,
               NodeActions& aOut);
void
OnTargetLeave(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
OnTargetLost(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
PollLoad(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
OnLoadAnswer(Node& aNode, MonoTime aNow, bool aComplete, NodeActions& aOut);
void
LogLimit(Node& aNode,
         LimitChange aChange,
         std::string_view aReason,
         NodeActions& aOut);

// Starts an HTTP call to the target and records its purpose.
TargetCallId
CallTarget(Node& aNode,
           MonoTime aNow,
           const TargetCallInfo& aInfo,
           StartTargetCall aCall,
           NodeActions& aOut);
void
CloseTargetCall(Node& aNode, TargetCallId aCall, NodeActions& aOut);
void
OnTargetBegan(Node& aNode,
              MonoTime aNow,
              const TargetCallBegan& aEvent,
              NodeActions& aOut);
void
OnTargetBytes(Node& aNode,
              MonoTime aNow,
              const TargetCallBytes& aEvent,
              NodeActions& aOut);
void
OnTargetEnded(Node& aNode,
              MonoTime aNow,
              const TargetCallEnded& aEvent,
              NodeActions& aOut);
void
OnTargetFailed(Node& aNode,
               MonoTime aNow,
               const TargetCallFailed& aEvent,
               NodeActions& aOut);

// Ends a call whose connection closed as the end of the answer, once it is
// known how the target responds to a new connection.
void
OnEndChecked(Node& aNode,
             MonoTime aNow,
             TargetCallId aCall,
             TargetReach aReach,
             NodeActions& aOut);

// --- Session (node_session.cpp, node_config.cpp)

void
SendToLeader(Node& aNode, Message aMessage, NodeActions& aOut);
void
MaintainSession(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
SendRenew(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
OnRegisterReply(Node& aNode,
                MonoTime aNow,
                const RegisterReply& aReply,
                NodeActions& aOut);
void
OnRenewReply(Node& aNode,
             MonoTime aNow,
             const RenewReply& aReply,
             NodeActions& aOut);
void
OnNotLeader(Node& aNode,
            MonoTime aNow,
            const NotLeader& aReply,
            NodeActions& aOut);
void
EndSession(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
FetchConfig(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
OnConfigDelta(Node& aNode,
              MonoTime aNow,
              const ConfigDelta& aDelta,
              NodeActions& aOut);
void
OnSnapshotPart(Node& aNode,
               MonoTime aNow,
               const ConfigSnapshotPart& aPart,
               NodeActions& aOut);

// --- Online calls (node_dispatch.cpp, node_calls.cpp, node_answers.cpp)

void
OnDispatch(Node& aNode,
           MonoTime aNow,
           const PeerAddress& aFrom,
           const Dispatch& aDispatch,
           NodeActions& aOut);
void
OnOutcomeQuery(Node& aNode,
               MonoTime aNow,
               const PeerAddress& aFrom,
               const OutcomeQuery& aQuery,
               NodeActions& aOut);
void
OnCancelRequest(Node& aNode,
                MonoTime aNow,
                const CancelRequest& aCancel,
                NodeActions& aOut);
void
StartOnline(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut);

// Ends a queued or running call with a refusal. A running call is cancelled at
// the target.
void
RefuseCall(Node& aNode,
           MonoTime aNow,
           NodeCall& aCall,
           ErrorKind aKind,
           Outcome aOutcome,
           std::string_view aMessage,
           Duration aRetryAfter,
           NodeActions& aOut);

// Ends the calls of a lost entry connection (aEntry) or of the sessions of
// aInstance that are older than aNewest. Queued and idempotent calls are
// refused; running calls that are not idempotent finish.
void
DropEntryCalls(Node& aNode,
               MonoTime aNow,
               const PeerAddress& aEntry,
               const InstanceId& aInstance,
               Epoch aNewest,
               NodeActions& aOut);
void
RefuseWithdrawnCalls(Node& aNode,
                     MonoTime aNow,
                     const KeyId& aKey,
                     const WorkspaceId& aWorkspace,
                     NodeActions& aOut);
void
RefuseQueuedCalls(Node& aNode,
                  MonoTime aNow,
                  ErrorKind aKind,
                  std::string_view aMessage,
                  NodeActions& aOut);
// Ends the running calls with the outcome unknown.
void
EndRunningCalls(Node& aNode,
                MonoTime aNow,
                ErrorKind aKind,
                const std::string& aMessage,
                NodeActions& aOut);
NodeCall*
FindCallByWork(Node& aNode, WorkId aWork);
void
RelayBytes(Node& aNode,
           MonoTime aNow,
           NodeCall& aCall,
           std::string_view aBytes,
           NodeActions& aOut);
void
FinishCall(Node& aNode, MonoTime aNow, NodeCall& aCall, NodeActions& aOut);
void
ResendParts(Node& aNode,
            const NodeCall& aCall,
            uint32_t aFrom,
            NodeActions& aOut);

// Removes a queued call from the scheduler, or cancels a running call at the
// target. Sends nothing to the entry.
void
AbortCall(Node& aNode, MonoTime aNow, NodeCall& aCall, NodeActions& aOut);
void
ExpireKeptAnswers(Node& aNode, MonoTime aNow);
void
EvictKeptAnswers(Node& aNode);

// --- Batch (node_batch.cpp, node_batch_run.cpp, node_batch_results.cpp)

void
RequestItems(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
OnItemBatch(Node& aNode,
            MonoTime aNow,
            const ItemBatch& aBatch,
            NodeActions& aOut);
void
OnItemsRevoked(Node& aNode,
               MonoTime aNow,
               const ItemsRevoked& aRevoked,
               NodeActions& aOut);
// Cancels and forgets the items of a job and lease without reporting results.
// nullptr matches any job or lease.
void
DropTasks(Node& aNode,
          MonoTime aNow,
          const JobId* aJob,
          const FencingToken* aToken,
          NodeActions& aOut);

// Stops all items and returns them to the ledger. This does not count as an
// attempt.
void
ReturnAllItems(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
ReturnWaitingItems(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
ReturnOverdueItems(Node& aNode, MonoTime aNow, NodeActions& aOut);
// The leases of all items here, waiting or running.
std::vector<FencingToken>
HeldLeases(const Node& aNode);
// Stops the items of leases that have ended.
void
OnLeasesChecked(Node& aNode,
                MonoTime aNow,
                const RenewReply& aReply,
                NodeActions& aOut);
// Returns waiting items whose job has moved to a service that the target does
// not run.
void
ReturnMovedItems(Node& aNode, MonoTime aNow);
// False while control may have ended or moved the items without this node
// knowing it.
bool
MayStartItems(const Node& aNode, MonoTime aNow);
void
StartBatchTask(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut);
void
PreemptTask(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut);
// Result of receiving bytes of an item's answer.
enum class BatchProgress : uint8_t
{
  eProgress,
  eNone,          // the bytes completed no event
  eLimitExceeded, // the answer exceeds a size limit
};
BatchProgress
ConsumeBatchBytes(Node& aNode,
                  MonoTime aNow,
                  BatchTask& aTask,
                  std::string_view aBytes,
                  NodeActions& aOut);
// Returns why the events of a raw item that ended are not the whole answer,
// nullptr if they may be.
const char*
IncompleteItemReason(const BatchTask& aTask, bool aByClose);
void
FinishTask(Node& aNode,
           MonoTime aNow,
           WorkId aWork,
           bool aByClose,
           NodeActions& aOut);
void
FailTask(Node& aNode,
         MonoTime aNow,
         WorkId aWork,
         Outcome aOutcome,
         std::string_view aReason,
         NodeActions& aOut);
void
AddResult(Node& aNode,
          MonoTime aNow,
          const BatchTask& aTask,
          ItemVerdict aVerdict,
          std::string aBody);
void
SendResults(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
OnResultsAck(Node& aNode,
             MonoTime aNow,
             const ItemResultsAck& aAck,
             NodeActions& aOut);
MonoTime
NextBatchWakeup(const Node& aNode);

// --- Input that crashes targets (node_input_crashes.cpp)

void
RecordAnsweredItem(Node& aNode,
                   MonoTime aNow,
                   BatchTask& aTask,
                   NodeActions& aOut);
void
OnSuspectQuery(Node& aNode,
               MonoTime aNow,
               const PeerAddress& aFrom,
               const SuspectQuery& aQuery,
               NodeActions& aOut);
// --- Load reports, orders, stop (node_reports.cpp, node_orders.cpp,
// node_stop.cpp)

void
OnWatch(Node& aNode, MonoTime aNow, const Watch& aWatch);
void
SendReports(Node& aNode, MonoTime aNow, NodeActions& aOut);
MonoTime
NextReport(const Node& aNode);
void
OnLoadOrder(Node& aNode,
            MonoTime aNow,
            const PeerAddress& aFrom,
            const LoadOrder& aOrder,
            NodeActions& aOut);
void
FinishOrder(Node& aNode,
            const TargetCallInfo& aInfo,
            bool aAccepted,
            std::string_view aReason,
            NodeActions& aOut);
void
OnStop(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
ContinueStop(Node& aNode, MonoTime aNow, NodeActions& aOut);
// When ContinueStop is due next; kNever before a stop.
MonoTime
StopWakeup(const Node& aNode);

// --- Scheduling (node_schedule.cpp)

// Carries out the decisions of the scheduler.
void
RunSchedule(Node& aNode, MonoTime aNow, NodeActions& aOut);

// Running and queued calls, as stated in load reports and answers.
uint32_t
RunningCalls(const Node& aNode);
uint32_t
QueuedCalls(const Node& aNode);

} // namespace caraway
