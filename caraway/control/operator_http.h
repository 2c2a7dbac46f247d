#pragma once
// Internal: the operators' HTTP API. Bodies are JSON.

#include <string>
#include <vector>

#include "caraway/base/outcome.h"
#include "caraway/control/step.h"

namespace caraway {

struct HttpFailure
{
  ErrorKind mKind = ErrorKind::eInvalidArgument;
  std::string mWhat;
  std::string mRemedy;
  Outcome mOutcome = Outcome::eNotRun;
  std::optional<Revision> mRevision;  // the current one, on a revision conflict
  std::optional<PeerAddress> mLeader; // the leader, if it is another replica
};

// A request with its path split into segments.
struct OperatorCall
{
  const HttpRequest& mRequest;
  std::vector<std::string> mPath; // segments after "/admin"
};

void
ReplyJson(ControlStep& aStep, HttpCallId aCall, int aStatus, std::string aBody);

void
ReplyFailure(ControlStep& aStep, HttpCallId aCall, const HttpFailure& aFailure);

// For a status made by MakeError, whose message is "<what>; <remedy>".
HttpFailure
FailureFrom(const absl::Status& aStatus);

// Replies to an applied write.
void
ReplyWrite(ControlStep& aStep,
           const PendingWriteReply& aPendingReply,
           const OperationResult& aResult);

// Replies to an applied change of the replica set.
void
ReplyReplicas(ControlStep& aStep, HttpCallId aCall);

// rollout_orders.cpp; false if the path and method name no roll-out.
bool
HandleRolloutOrder(ControlStep& aStep, const OperatorCall& aCall);
bool
HandleRolloutRead(ControlStep& aStep, const OperatorCall& aCall);
// Replies to an applied call that an operator made at this replica.
void
ReplyOperatorCall(ControlStep& aStep,
                  HttpCallId aCall,
                  const CallReplyBody& aBody);

// operator_writes.cpp; false if the path and method name no write.
bool
HandleOperatorWrite(ControlStep& aStep, const OperatorCall& aCall);

// operator_reads.cpp; false if the path names no read.
bool
HandleOperatorRead(ControlStep& aStep, const OperatorCall& aCall);

// replica_changes.cpp
void
HandleReplicaChange(ControlStep& aStep, const OperatorCall& aCall);

// First value of a query parameter, undecoded; empty if absent.
std::string
QueryValue(const std::string& aQuery, const std::string& aName);

} // namespace caraway
