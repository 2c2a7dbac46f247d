// Parses and validates operators' JSON. Each error names the field and the
// values that are allowed.

#include "caraway/control/operator_parse.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "caraway/base/error.h"
#include "caraway/base/json_text.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxNameLength = 128;
constexpr size_t kMaxListLength = 1000;
constexpr double kMaxRate = 1e6;            // requests/s
constexpr double kMaxWindow = 30.0 * 86400; // seconds

absl::Status
Invalid(const std::string& aWhat, const std::string& aRemedy)
{
  return MakeError(ErrorKind::eInvalidArgument, aWhat, aRemedy);
}

// Reads fields of one JSON object and keeps the first error.
struct FieldReader
{
  Json mObject;
  absl::Status mStatus = absl::OkStatus();

  void Fail(const std::string& aField, const std::string& aRemedy)
  {
    if (mStatus.ok()) {
      mStatus =
        Invalid(absl::StrCat("the field ", aField, " is not valid"), aRemedy);
    }
  }

  const Json* Find(const std::string& aField) const
  {
    auto found = mObject.find(aField);
    return found == mObject.end() ? nullptr : &*found;
  }

  double Number(const std::string& aField,
                double aDefault,
                double aLow,
                double aHigh)
  {
    const Json* value = Find(aField);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_number() || !std::isfinite(value->get<double>()) ||
        value->get<double>() < aLow || value->get<double>() > aHigh) {
      Fail(aField, absl::StrCat("send a number from ", aLow, " to ", aHigh));
      return aDefault;
    }
    return value->get<double>();
  }

  uint64_t Integer(const std::string& aField,
                   uint64_t aDefault,
                   uint64_t aLow,
                   uint64_t aHigh)
  {
    const Json* value = Find(aField);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_number_unsigned() || value->get<uint64_t>() < aLow ||
        value->get<uint64_t>() > aHigh) {
      Fail(aField,
           absl::StrCat("send a whole number from ", aLow, " to ", aHigh));
      return aDefault;
    }
    return value->get<uint64_t>();
  }

  bool Flag(const std::string& aField)
  {
    const Json* value = Find(aField);
    if (value == nullptr) {
      return false;
    }
    if (!value->is_boolean()) {
      Fail(aField, "send true or false");
      return false;
    }
    return value->get<bool>();
  }

  std::string String(const std::string& aField, const std::string& aDefault)
  {
    const Json* value = Find(aField);
    if (value == nullptr) {
      return aDefault;
    }
    if (!value->is_string() ||
        value->get_ref<const std::string&>().size() > kMaxNameLength) {
      Fail(aField, "send a string of at most 128 characters");
      return aDefault;
    }
    return value->get<std::string>();
  }

  template<class Id>
  std::vector<Id> Names(const std::string& aField)
  {
    std::vector<Id> names;
    const Json* value = Find(aField);
    if (value == nullptr) {
      return names;
    }
    if (!value->is_array() || value->size() > kMaxListLength) {
      Fail(aField, "send a list of at most 1000 names");
      return names;
    }
    for (const Json& element : *value) {
      if (!element.is_string() ||
          !CheckName(aField, element.get<std::string>()).ok()) {
        Fail(aField, "use names of 1 to 128 characters of [A-Za-z0-9._-]");
        return names;
      }
      names.push_back(Id(element.get<std::string>()));
    }
    return names;
  }

  void Name(const std::string& aField, const std::string& aValue)
  {
    if (!CheckName(aField, aValue).ok()) {
      Fail(aField, "use 1 to 128 characters of [A-Za-z0-9._-]");
    }
  }
};

// Refuses unknown fields, so that a misspelt field is not taken for an absent
// one.
absl::StatusOr<FieldReader>
OpenObject(const std::string& aBody, std::initializer_list<const char*> aFields)
{
  Json object = ParseJson(aBody);
  if (!object.is_object()) {
    return Invalid("the body is not a JSON object", "send one JSON object");
  }
  for (const auto& [name, value] : object.items()) {
    if (std::find(aFields.begin(), aFields.end(), name) == aFields.end()) {
      std::string allowed;
      for (const char* field : aFields) {
        absl::StrAppend(&allowed, allowed.empty() ? "" : ", ", field);
      }
      return Invalid(absl::StrCat("the field ", name, " is unknown"),
                     absl::StrCat("use only ", allowed));
    }
  }
  return FieldReader{ std::move(object) };
}

} // namespace

absl::Status
CheckName(const std::string& aWhat, const std::string& aName)
{
  const bool valid =
    !aName.empty() && aName.size() <= kMaxNameLength &&
    std::all_of(aName.begin(), aName.end(), [](unsigned char aChar) {
      return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
             (aChar >= '0' && aChar <= '9') || aChar == '.' || aChar == '_' ||
             aChar == '-';
    });
  if (valid) {
    return absl::OkStatus();
  }
  return Invalid(absl::StrCat("the ", aWhat, " is not a valid name"),
                 "use 1 to 128 characters of [A-Za-z0-9._-]");
}

absl::StatusOr<uint64_t>
ParseNumber(const std::string& aWhat, const std::string& aText)
{
  uint64_t number = 0;
  const bool digits =
    !aText.empty() && std::all_of(aText.begin(), aText.end(), [](char aChar) {
      return aChar >= '0' && aChar <= '9';
    });
  if (!digits || !absl::SimpleAtoi(aText, &number)) {
    return Invalid(absl::StrCat(aWhat, " is not a number"),
                   "send a whole number of at least 0");
  }
  return number;
}

absl::StatusOr<Contract>
ParseContract(const std::string& aWorkspace, const std::string& aBody)
{
  absl::Status nameStatus = CheckName("workspace", aWorkspace);
  if (!nameStatus.ok()) {
    return nameStatus;
  }
  absl::StatusOr<FieldReader> reader = OpenObject(aBody,
                                                  { "rate",
                                                    "burst",
                                                    "weight",
                                                    "latency",
                                                    "batch_window_seconds",
                                                    "max_batch_items",
                                                    "models",
                                                    "routes" });
  if (!reader.ok()) {
    return reader.status();
  }
  Contract contract;
  contract.mWorkspace = WorkspaceId(aWorkspace);
  contract.mRate = reader->Number("rate", 0, 0, kMaxRate);
  contract.mBurst = reader->Number("burst", contract.mRate, 0, kMaxRate * 60);
  contract.mWeight =
    static_cast<uint32_t>(reader->Integer("weight", 1, 1, 1000));
  contract.mBatchWindow = Micros(static_cast<int64_t>(
    1e6 * reader->Number("batch_window_seconds", 86400, 1, kMaxWindow)));
  contract.mMaxBatchItems =
    reader->Integer("max_batch_items", 750000, 1, 750000);
  contract.mModels = reader->Names<ModelId>("models");
  contract.mRoutes = reader->Names<RouteId>("routes");
  const std::string latency = reader->String("latency", "interactive");
  if (latency == "relaxed") {
    contract.mLatency = LatencyClass::eRelaxed;
  } else if (latency != "interactive") {
    reader->Fail("latency", "send interactive or relaxed");
  }
  if (contract.mRate > 0 && contract.mBurst < 1) {
    reader->Fail("burst", "send at least 1, or a rate of 0");
  }
  if (!reader->mStatus.ok()) {
    return reader->mStatus;
  }
  return contract;
}

absl::StatusOr<Route>
ParseRoute(const std::string& aId, const std::string& aBody)
{
  absl::Status nameStatus = CheckName("route", aId);
  if (!nameStatus.ok()) {
    return nameStatus;
  }
  absl::StatusOr<FieldReader> reader = OpenObject(
    aBody, { "method", "path_prefix", "service", "idempotent", "open" });
  if (!reader.ok()) {
    return reader.status();
  }
  Route route;
  route.mId = RouteId(aId);
  route.mMethod = reader->String("method", "*");
  route.mPathPrefix = reader->String("path_prefix", "");
  route.mService = ServiceId(reader->String("service", ""));
  route.mIdempotent = reader->Flag("idempotent");
  route.mOpen = reader->Flag("open");
  const auto methods = { "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };
  if (std::find(methods.begin(), methods.end(), route.mMethod) ==
      methods.end()) {
    reader->Fail("method", "send *, GET, HEAD, POST, PUT, PATCH or DELETE");
  }
  const bool reserved =
    route.mPathPrefix == "/" || route.mPathPrefix.compare(0, 4, "/v1/") == 0;
  if (route.mPathPrefix.empty() || route.mPathPrefix[0] != '/' || reserved) {
    reader->Fail("path_prefix",
                 "send a path that begins with / and is neither / nor below "
                 "/v1/");
  }
  reader->Name("service", route.mService.mValue);
  if (!reader->mStatus.ok()) {
    return reader->mStatus;
  }
  return route;
}

absl::StatusOr<WorkspaceId>
ParseKeyRequest(const std::string& aBody)
{
  absl::StatusOr<FieldReader> reader = OpenObject(aBody, { "workspace" });
  if (!reader.ok()) {
    return reader.status();
  }
  const std::string workspace = reader->String("workspace", "");
  reader->Name("workspace", workspace);
  if (!reader->mStatus.ok()) {
    return reader->mStatus;
  }
  return WorkspaceId(workspace);
}

absl::StatusOr<RolloutRequest>
ParseRolloutRequest(const std::string& aBody)
{
  constexpr uint64_t kMostSeconds = 24 * 3600;
  absl::StatusOr<FieldReader> reader =
    OpenObject(aBody, { "to", "duration_s" });
  if (!reader.ok()) {
    return reader.status();
  }
  RolloutRequest request;
  request.mTo = reader->String("to", "");
  request.mDuration = Seconds(
    static_cast<int64_t>(reader->Integer("duration_s", 0, 1, kMostSeconds)));
  if (request.mTo.empty()) {
    reader->Fail("to", "send the software version that its targets state");
  }
  if (request.mDuration <= Duration{}) {
    reader->Fail("duration_s", "send the seconds to complete in, at least 1");
  }
  if (!reader->mStatus.ok()) {
    return reader->mStatus;
  }
  return request;
}

absl::StatusOr<ReplicaRequest>
ParseReplicaRequest(const std::string& aBody)
{
  absl::StatusOr<FieldReader> reader =
    OpenObject(aBody, { "action", "id", "address" });
  if (!reader.ok()) {
    return reader.status();
  }
  ReplicaRequest request;
  request.mId = ReplicaId(reader->Integer("id", 0, 1, UINT64_MAX));
  request.mAddress = reader->String("address", "");
  const std::string action = reader->String("action", "");
  if (action == "promote") {
    request.mAction = ReplicaAction::ePromote;
  } else if (action == "remove") {
    request.mAction = ReplicaAction::eRemove;
  } else if (action != "add") {
    reader->Fail("action", "send add, promote or remove");
  }
  if (request.mId.IsNone()) {
    reader->Fail("id", "send the replica's number, at least 1");
  }
  if (request.mAction == ReplicaAction::eAdd &&
      request.mAddress.find(':') == std::string::npos) {
    reader->Fail("address", "send the replica's peer address as ip:port");
  }
  if (!reader->mStatus.ok()) {
    return reader->mStatus;
  }
  return request;
}

} // namespace caraway
