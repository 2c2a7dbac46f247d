// Handles operators' writes: contracts, keys, routes, zones and targets.

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "caraway/control/key_secret.h"
#include "caraway/control/operator_http.h"
#include "caraway/control/operator_parse.h"

namespace caraway {

namespace {

// Hash of the request. Using an operation id again for another request is a
// mistake of the operator and must not be answered with the first result.
uint64_t
Fingerprint(const HttpRequest& aRequest)
{
  const std::string text =
    absl::StrCat(aRequest.mMethod, "\n", aRequest.mPath, "\n", aRequest.mBody);
  return XXH3_64bits(text.data(), text.size());
}

absl::StatusOr<ConfigOperation>
ParseOperation(const HttpRequest& aRequest)
{
  ConfigOperation operation;
  operation.mId = OperationId(HeaderValue(aRequest.mHeaders, "X-Operation-Id"));
  absl::Status nameStatus =
    CheckName("header X-Operation-Id", operation.mId.mValue);
  if (!nameStatus.ok()) {
    return nameStatus;
  }
  operation.mFingerprint = Fingerprint(aRequest);
  const std::string expected =
    HeaderValue(aRequest.mHeaders, "X-Expected-Revision");
  if (!expected.empty()) {
    absl::StatusOr<uint64_t> number =
      ParseNumber("the header X-Expected-Revision", expected);
    if (!number.ok()) {
      return number.status();
    }
    operation.mExpected = Revision(*number);
  }
  return operation;
}

struct Write
{
  ConfigChange mChange;
  std::string mKeyText; // text of a new key; empty for other writes
};

absl::StatusOr<Write>
ParseContractWrite(const OperatorCall& aCall)
{
  const std::string& workspace = aCall.mPath[1];
  if (aCall.mRequest.mMethod == "PUT") {
    absl::StatusOr<Contract> contract =
      ParseContract(workspace, aCall.mRequest.mBody);
    if (!contract.ok()) {
      return contract.status();
    }
    return Write{ SetContract{ *std::move(contract) }, {} };
  }
  absl::Status nameStatus = CheckName("workspace", workspace);
  if (!nameStatus.ok()) {
    return nameStatus;
  }
  return Write{ WithdrawContract{ WorkspaceId(workspace) }, {} };
}

absl::StatusOr<Write>
ParseRouteWrite(const OperatorCall& aCall)
{
  const std::string& id = aCall.mPath[1];
  if (aCall.mRequest.mMethod == "PUT") {
    absl::StatusOr<Route> route = ParseRoute(id, aCall.mRequest.mBody);
    if (!route.ok()) {
      return route.status();
    }
    return Write{ SetRoute{ *std::move(route) }, {} };
  }
  absl::Status nameStatus = CheckName("route", id);
  if (!nameStatus.ok()) {
    return nameStatus;
  }
  return Write{ RemoveRoute{ RouteId(id) }, {} };
}

absl::StatusOr<Write>
PrepareKeyCreation(ControlStep& aStep, const OperatorCall& aCall)
{
  Control& control = aStep.mControl;
  absl::StatusOr<WorkspaceId> workspace = ParseKeyRequest(aCall.mRequest.mBody);
  if (!workspace.ok()) {
    return workspace.status();
  }
  if (control.mSettings.mKeySeed.empty()) {
    return MakeError(ErrorKind::eUnavailable,
                     "this replica has no random seed for keys",
                     "start it with one");
  }
  NewKey key =
    DeriveKey(control.mSettings.mKeySeed, ++control.mKeyNumber, *workspace);
  return Write{ CreateKey{ key.mKey }, std::move(key.mText) };
}

absl::StatusOr<Write>
ParseServiceWrite(const OperatorCall& aCall)
{
  const std::string& name = aCall.mPath[1];
  const bool zone = aCall.mPath[0] == "zones";
  absl::Status nameStatus = CheckName(zone ? "zone" : "target", name);
  if (!nameStatus.ok()) {
    return nameStatus;
  }
  const bool in = aCall.mPath[2] == "in";
  if (zone) {
    return Write{ SetZoneService{ ZoneId(name), in }, {} };
  }
  return Write{ SetTargetService{ TargetId(name), in }, {} };
}

absl::StatusOr<Write>
ParseBlockLift(const OperatorCall& aCall)
{
  uint64_t id = 0;
  if (!absl::SimpleHexAtoi(aCall.mPath[1], &id)) {
    return MakeError(ErrorKind::eInvalidArgument,
                     "the id of an input block is a hexadecimal number",
                     "take it from the list of input blocks");
  }
  return Write{ RemoveInputBlock{ InputBlockId(id) }, {} };
}

// Parses the write that the path and method name; nullopt if they name none.
std::optional<absl::StatusOr<Write>>
ParseWrite(ControlStep& aStep, const OperatorCall& aCall)
{
  const auto& path = aCall.mPath;
  const std::string& method = aCall.mRequest.mMethod;
  const bool putOrDelete = method == "PUT" || method == "DELETE";
  if (path.size() == 2 && path[0] == "contracts" && putOrDelete) {
    return ParseContractWrite(aCall);
  }
  if (path.size() == 2 && path[0] == "routes" && putOrDelete) {
    return ParseRouteWrite(aCall);
  }
  if (path.size() == 1 && path[0] == "keys" && method == "POST") {
    return PrepareKeyCreation(aStep, aCall);
  }
  if (path.size() == 2 && path[0] == "keys" && method == "DELETE") {
    absl::Status nameStatus = CheckName("key", path[1]);
    if (!nameStatus.ok()) {
      return nameStatus;
    }
    return Write{ WithdrawKey{ KeyId(path[1]) }, {} };
  }
  if (path.size() == 2 && path[0] == "input-blocks" && method == "DELETE") {
    return ParseBlockLift(aCall);
  }
  if (path.size() == 3 && (path[0] == "zones" || path[0] == "targets") &&
      (path[2] == "in" || path[2] == "out") && method == "POST") {
    return ParseServiceWrite(aCall);
  }
  return std::nullopt;
}

void
ReplyKey(ControlStep& aStep,
         const PendingWriteReply& aPendingReply,
         const OperationResult& aResult)
{
  nlohmann::json body;
  body["revision"] = aResult.mRevision.mValue;
  body["id"] = std::string(absl::StripPrefix(aResult.mObject, "key/"));
  if (aResult.mRepeated) {
    body["note"] = "the secret was shown once, in the first answer; if it was "
                   "lost, withdraw this key and create another";
  } else {
    body["key"] = aPendingReply.mKeyText;
  }
  ReplyJson(aStep, aPendingReply.mCall, 200, body.dump());
}

std::string
RemedyFor(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::eRevisionConflict:
      return "read the object again and repeat the change on top of it";
    case ErrorKind::eConflict:
      return "use a new X-Operation-Id";
    default:
      return "check the name";
  }
}

} // namespace

bool
HandleOperatorWrite(ControlStep& aStep, const OperatorCall& aCall)
{
  const HttpCallId call = aCall.mRequest.mCall;
  if (aCall.mPath.size() == 1 && aCall.mPath[0] == "replicas" &&
      aCall.mRequest.mMethod == "POST") {
    HandleReplicaChange(aStep, aCall);
    return true;
  }
  if (HandleRolloutOrder(aStep, aCall)) {
    return true;
  }
  std::optional<absl::StatusOr<Write>> write = ParseWrite(aStep, aCall);
  if (!write) {
    return false;
  }
  absl::StatusOr<ConfigOperation> operation = ParseOperation(aCall.mRequest);
  absl::Status status = write->ok() ? operation.status() : write->status();
  if (status.ok()) {
    operation->mChange = std::move((*write)->mChange);
    Log(aStep,
        "operator_write",
        ObjectName(operation->mChange),
        operation->mId.mValue);
    status = Propose(aStep,
                     *std::move(operation),
                     PendingWriteReply{ call, std::move((*write)->mKeyText) });
  }
  if (!status.ok()) {
    ReplyFailure(aStep, call, FailureFrom(status));
  }
  return true;
}

void
ReplyWrite(ControlStep& aStep,
           const PendingWriteReply& aPendingReply,
           const OperationResult& aResult)
{
  if (aResult.mError != ErrorKind::eNone) {
    HttpFailure failure;
    failure.mKind = aResult.mError;
    failure.mWhat = aResult.mMessage;
    failure.mRemedy = RemedyFor(aResult.mError);
    if (aResult.mError == ErrorKind::eRevisionConflict) {
      failure.mRevision = aResult.mRevision;
    }
    ReplyFailure(aStep, aPendingReply.mCall, failure);
    return;
  }
  if (!aPendingReply.mKeyText.empty()) {
    ReplyKey(aStep, aPendingReply, aResult);
    return;
  }
  nlohmann::json body;
  body["revision"] = aResult.mRevision.mValue;
  ReplyJson(aStep, aPendingReply.mCall, 200, body.dump());
}

} // namespace caraway
