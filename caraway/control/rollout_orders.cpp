// Operators' calls about roll-outs: begin, read and abort.

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "caraway/control/operator_http.h"
#include "caraway/control/operator_parse.h"

namespace caraway {

namespace {

nlohmann::json
RolloutJson(const Rollout& aRollout)
{
  return { { "service", aRollout.mService.mValue },
           { "to", aRollout.mTo },
           { "from", aRollout.mFrom },
           { "withdrawn", aRollout.mWithdrawn },
           { "state", std::string(RolloutPhaseName(aRollout.mPhase)) },
           { "duration_s", aRollout.mDuration.Seconds() } };
}

absl::StatusOr<CallBody>
ParseRolloutOrder(const OperatorCall& aCall)
{
  const ServiceId service(aCall.mPath[1]);
  if (aCall.mRequest.mMethod == "DELETE") {
    return AbortRollout{ service };
  }
  absl::StatusOr<RolloutRequest> request =
    ParseRolloutRequest(aCall.mRequest.mBody);
  if (!request.ok()) {
    return request.status();
  }
  return BeginRollout{ service, request->mTo, request->mDuration };
}

} // namespace

bool
HandleRolloutOrder(ControlStep& aStep, const OperatorCall& aCall)
{
  const HttpCallId call = aCall.mRequest.mCall;
  const std::string& method = aCall.mRequest.mMethod;
  if (aCall.mPath.size() != 2 || aCall.mPath[0] != "rollouts" ||
      (method != "PUT" && method != "DELETE")) {
    return false;
  }
  absl::StatusOr<CallBody> order = ParseRolloutOrder(aCall);
  absl::Status status = order.status();
  if (status.ok()) {
    Log(aStep,
        "operator_write",
        absl::StrCat("rollout/", aCall.mPath[1]),
        method == "PUT" ? "begin" : "abort");
    ControlCall control;
    control.mBody = *std::move(order);
    status = Propose(aStep, std::move(control), PendingOperatorCall{ call });
  }
  if (!status.ok()) {
    ReplyFailure(aStep, call, FailureFrom(status));
  }
  return true;
}

bool
HandleRolloutRead(ControlStep& aStep, const OperatorCall& aCall)
{
  if (aCall.mPath.empty() || aCall.mPath[0] != "rollouts" ||
      aCall.mPath.size() > 2) {
    return false;
  }
  const auto& rollouts = aStep.mControl.mState.mConfig.mView.mRollouts;
  nlohmann::json json;
  json["rollouts"] = nlohmann::json::array();
  for (const auto& [service, rollout] : rollouts) {
    if (aCall.mPath.size() == 1 || aCall.mPath[1] == service.mValue) {
      json["rollouts"].push_back(RolloutJson(rollout));
    }
  }
  ReplyJson(aStep, aCall.mRequest.mCall, 200, json.dump());
  return true;
}

void
ReplyOperatorCall(ControlStep& aStep,
                  HttpCallId aCall,
                  const CallReplyBody& aBody)
{
  const auto* failed = std::get_if<CallFailed>(&aBody);
  if (failed == nullptr) {
    const Revision revision = aStep.mControl.mState.mConfig.mView.mRevision;
    ReplyJson(aStep,
              aCall,
              200,
              nlohmann::json{ { "revision", revision.mValue } }.dump());
    return;
  }
  HttpFailure failure;
  failure.mKind = failed->mKind;
  failure.mWhat = failed->mMessage;
  failure.mRemedy = "read the roll-outs and send a changed order";
  ReplyFailure(aStep, aCall, failure);
}

} // namespace caraway
