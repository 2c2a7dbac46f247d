#pragma once
// Functions that the files of the node role share. Not part of the interface.

#include <string>
#include <string_view>
#include <vector>

#include "caraway/node/node.h"

namespace caraway {

using NodeActions = std::vector<NodeAction>;

// --- State of service (node_service.cpp)

// Why new work is refused now; eNone when it is taken.
ErrorKind
RefusalReason(const Node& aNode, MonoTime aNow);
bool
HasLease(const Node& aNode, MonoTime aNow);
bool
IsDraining(const Node& aNode);
std::string_view
StateName(const Node& aNode, MonoTime aNow);

// --- Directory (node_directory.cpp)

// True if the target is known from the configuration.
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
// Grant or refuse the slot of this work; false if it is no slot.
bool
GrantSlot(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut);
bool
RefuseSlot(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut);
void
DropEntrySlots(Node& aNode, MonoTime aNow, const PeerAddress& aEntry);
uint32_t
BatchCalls(const Node& aNode);

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
OnLoadAnswer(Node& aNode, MonoTime aNow, bool aWhole, NodeActions& aOut);
void
LogLimit(Node& aNode,
         LimitChange aChange,
         std::string_view aReason,
         NodeActions& aOut);

// Starts an HTTP call to the target and registers what it is for.
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

// Ends a waiting or running call with a refusal. A running call at the target
// is closed.
void
RefuseCall(Node& aNode,
           MonoTime aNow,
           NodeCall& aCall,
           ErrorKind aKind,
           Outcome aOutcome,
           std::string_view aMessage,
           Duration aRetryAfter,
           NodeActions& aOut);

// Ends the calls of an entry that is gone: idempotent ones are cancelled,
// waiting ones are dropped, others finish.
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

// Closes a running call at the target without an answer to the entry.
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
void
DropTasks(Node& aNode,
          MonoTime aNow,
          const JobId* aJob,
          const FencingToken* aToken,
          NodeActions& aOut);

// Stops all items and returns them to the ledger without counting an attempt.
void
ReturnAllItems(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
ReturnWaitingItems(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
ReturnOverdueItems(Node& aNode, MonoTime aNow, NodeActions& aOut);
void
StartBatchTask(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut);
void
PreemptTask(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut);
enum class BatchProgress : uint8_t
{
  eProgress,
  eNone,          // nothing whole came of them
  eLimitExceeded, // more than any answer has
};
BatchProgress
ConsumeBatchBytes(Node& aNode,
                  MonoTime aNow,
                  BatchTask& aTask,
                  std::string_view aBytes,
                  NodeActions& aOut);
void
FinishTask(Node& aNode, MonoTime aNow, WorkId aWork, NodeActions& aOut);
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

// --- Reports, orders, stop

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

// --- The scheduler's decisions, carried out (node_schedule.cpp)

void
RunSchedule(Node& aNode, MonoTime aNow, NodeActions& aOut);

// Calls waiting and running, as load reports and answers state them.
uint32_t
RunningCalls(const Node& aNode);
uint32_t
QueuedCalls(const Node& aNode);

} // namespace caraway
