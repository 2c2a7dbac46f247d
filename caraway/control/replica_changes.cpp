// Handles operators' changes of the replica set, one replica at a time.

#include <algorithm>

#include <nlohmann/json.hpp>

#include "caraway/control/operator_http.h"
#include "caraway/control/operator_parse.h"

namespace caraway {

namespace {

constexpr size_t kMaxReplicas = 7;

absl::Status
Invalid(const std::string& aWhat, const std::string& aRemedy)
{
  return MakeError(ErrorKind::eInvalidArgument, aWhat, aRemedy);
}

// Returns the replica set after the request. A request that has already taken
// effect gives the same set, so a resend is harmless.
absl::StatusOr<ReplicaSet>
ChangedSet(ReplicaSet aSet, const ReplicaRequest& aRequest)
{
  auto& replicas = aSet.mReplicas;
  auto present =
    std::find_if(replicas.begin(), replicas.end(), [&](const Replica& aOne) {
      return aOne.mId == aRequest.mId;
    });
  switch (aRequest.mAction) {
    case ReplicaAction::eAdd:
      if (present != replicas.end()) {
        if (present->mAddress != aRequest.mAddress) {
          return Invalid("the replica id is in use at another address",
                         "give the new replica an id that was never used");
        }
        return aSet;
      }
      if (replicas.size() >= kMaxReplicas) {
        return Invalid("there are 7 replicas already", "remove one first");
      }
      replicas.push_back({ aRequest.mId, aRequest.mAddress, false });
      return aSet;
    case ReplicaAction::ePromote:
      if (present == replicas.end()) {
        return Invalid("there is no such replica", "add it first");
      }
      present->mVoter = true;
      return aSet;
    case ReplicaAction::eRemove:
      if (present != replicas.end()) {
        replicas.erase(present);
      }
      return aSet;
  }
  return aSet;
}

bool
SameSet(const ReplicaSet& aOne, const ReplicaSet& aOther)
{
  return std::equal(aOne.mReplicas.begin(),
                    aOne.mReplicas.end(),
                    aOther.mReplicas.begin(),
                    aOther.mReplicas.end(),
                    [](const Replica& aLeft, const Replica& aRight) {
                      return aLeft.mId == aRight.mId &&
                             aLeft.mAddress == aRight.mAddress &&
                             aLeft.mVoter == aRight.mVoter;
                    });
}

absl::Status
ProposeReplicas(ControlStep& aStep, const OperatorCall& aCall)
{
  Control& control = aStep.mControl;
  const HttpRequest& request = aCall.mRequest;
  absl::Status nameStatus = CheckName(
    "header X-Operation-Id", HeaderValue(request.mHeaders, "X-Operation-Id"));
  if (!nameStatus.ok()) {
    return nameStatus;
  }
  absl::StatusOr<ReplicaRequest> change = ParseReplicaRequest(request.mBody);
  if (!change.ok()) {
    return change.status();
  }
  absl::StatusOr<ReplicaSet> wanted =
    ChangedSet(ReplicasOf(control.mRaft), *change);
  if (!wanted.ok()) {
    return wanted.status();
  }
  if (SameSet(*wanted, control.mAppliedReplicas)) {
    ReplyReplicas(aStep, request.mCall);
    return absl::OkStatus();
  }
  absl::StatusOr<LogIndex> index =
    RaftChangeReplicas(control.mRaft, aStep.mNow, *wanted, aStep.mRaft);
  if (!index.ok()) {
    return index.status();
  }
  control.mLeadership.mProposals[*index] = {
    TermOf(control.mRaft), PendingReplicasReply{ request.mCall }
  };
  return absl::OkStatus();
}

} // namespace

void
HandleReplicaChange(ControlStep& aStep, const OperatorCall& aCall)
{
  const absl::Status status = ProposeReplicas(aStep, aCall);
  if (!status.ok()) {
    ReplyFailure(aStep, aCall.mRequest.mCall, FailureFrom(status));
  }
}

void
ReplyReplicas(ControlStep& aStep, HttpCallId aCall)
{
  const Control& control = aStep.mControl;
  nlohmann::json body;
  body["revision"] = control.mState.mConfig.mView.mRevision.mValue;
  body["replicas"] = nlohmann::json::array();
  for (const Replica& replica : control.mAppliedReplicas.mReplicas) {
    body["replicas"].push_back({ { "id", replica.mId.mValue },
                                 { "address", replica.mAddress },
                                 { "voter", replica.mVoter } });
  }
  ReplyJson(aStep, aCall, 200, body.dump());
}

} // namespace caraway
