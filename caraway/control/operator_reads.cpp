// Serves operators' reads: contracts, keys, routes, status and the revision in
// force.

#include <algorithm>

#include <nlohmann/json.hpp>

#include "caraway/control/operator_http.h"
#include "caraway/control/operator_parse.h"
#include "caraway/control/status_page.h"

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr uint64_t kDefaultPage = 1000;

const ConfigView&
ViewOf(const ControlStep& aStep)
{
  return aStep.mControl.mState.mConfig.mView;
}

template<class Id>
Json
NamesJson(const std::vector<Id>& aNames)
{
  Json list = Json::array();
  for (const Id& name : aNames) {
    list.push_back(name.mValue);
  }
  return list;
}

Json
ContractJson(const ConfigView& aView, const Contract& aContract)
{
  Json json;
  json["workspace"] = aContract.mWorkspace.mValue;
  json["rate"] = aContract.mRate;
  json["burst"] = aContract.mBurst;
  json["weight"] = aContract.mWeight;
  json["latency"] = aContract.mLatency == LatencyClass::eInteractive
                      ? "interactive"
                      : "relaxed";
  json["batch_window_seconds"] = aContract.mBatchWindow.Seconds();
  json["max_batch_items"] = aContract.mMaxBatchItems;
  json["models"] = NamesJson(aContract.mModels);
  json["routes"] = NamesJson(aContract.mRoutes);
  json["withdrawn"] = aContract.mWithdrawn;
  json["revision"] =
    ObjectRevision(aView, "contract/" + aContract.mWorkspace.mValue).mValue;
  return json;
}

Json
RouteJson(const ConfigView& aView, const Route& aRoute)
{
  Json json;
  json["id"] = aRoute.mId.mValue;
  json["method"] = aRoute.mMethod;
  json["path_prefix"] = aRoute.mPathPrefix;
  json["service"] = aRoute.mService.mValue;
  json["idempotent"] = aRoute.mIdempotent;
  json["open"] = aRoute.mOpen;
  json["revision"] = ObjectRevision(aView, "route/" + aRoute.mId.mValue).mValue;
  return json;
}

absl::Status
NotFound(const std::string& aWhat)
{
  return MakeError(ErrorKind::eNotFound, aWhat, "check the name");
}

absl::StatusOr<Json>
ReadContract(const ControlStep& aStep, const std::string& aWorkspace)
{
  auto found = ViewOf(aStep).mContracts.find(WorkspaceId(aWorkspace));
  if (found == ViewOf(aStep).mContracts.end()) {
    return NotFound("there is no contract for this workspace");
  }
  return ContractJson(ViewOf(aStep), found->second);
}

// One page in the order of names: at most ?limit= contracts after the name
// ?after=.
absl::StatusOr<Json>
ListContracts(const ControlStep& aStep, const HttpRequest& aRequest)
{
  const WorkspaceId after(QueryValue(aRequest.mQuery, "after"));
  const std::string limitText = QueryValue(aRequest.mQuery, "limit");
  absl::StatusOr<uint64_t> limit = kDefaultPage;
  if (!limitText.empty()) {
    limit = ParseNumber("limit", limitText);
    if (!limit.ok()) {
      return limit.status();
    }
  }
  const size_t page = std::clamp<uint64_t>(*limit, 1, kDefaultPage);
  std::vector<const Contract*> contracts;
  for (const auto& [id, contract] : ViewOf(aStep).mContracts) {
    if (id > after) {
      contracts.push_back(&contract);
    }
  }
  const size_t shown = std::min(page, contracts.size());
  std::partial_sort(contracts.begin(),
                    contracts.begin() + static_cast<ptrdiff_t>(shown),
                    contracts.end(),
                    [](const Contract* aLeft, const Contract* aRight) {
                      return aLeft->mWorkspace < aRight->mWorkspace;
                    });
  Json json;
  json["contracts"] = Json::array();
  for (size_t at = 0; at < shown; ++at) {
    json["contracts"].push_back(ContractJson(ViewOf(aStep), *contracts[at]));
  }
  json["more"] = shown < contracts.size();
  return json;
}

absl::StatusOr<Json>
ListKeys(const ControlStep& aStep, const HttpRequest& aRequest)
{
  const std::string workspace = QueryValue(aRequest.mQuery, "workspace");
  absl::Status nameStatus = CheckName("workspace", workspace);
  if (!nameStatus.ok()) {
    return nameStatus;
  }
  std::vector<const ApiKey*> keys;
  for (const auto& [id, key] : ViewOf(aStep).mKeys) {
    if (key.mWorkspace.mValue == workspace) {
      keys.push_back(&key);
    }
  }
  std::sort(keys.begin(), keys.end(), [](const ApiKey* a1, const ApiKey* a2) {
    return a1->mId < a2->mId;
  });
  Json json;
  json["keys"] = Json::array();
  for (const ApiKey* key : keys) {
    json["keys"].push_back(
      { { "id", key->mId.mValue },
        { "workspace", workspace },
        { "withdrawn", key->mWithdrawn },
        { "revision",
          ObjectRevision(ViewOf(aStep), "key/" + key->mId.mValue).mValue } });
  }
  return json;
}

absl::StatusOr<Json>
ReadRoutes(const ControlStep& aStep, const std::vector<std::string>& aPath)
{
  const ConfigView& view = ViewOf(aStep);
  if (aPath.size() == 2) {
    auto found = view.mRoutes.find(RouteId(aPath[1]));
    if (found == view.mRoutes.end()) {
      return NotFound("there is no such route");
    }
    return RouteJson(view, found->second);
  }
  Json json;
  json["routes"] = Json::array();
  for (const auto& [id, route] : view.mRoutes) {
    json["routes"].push_back(RouteJson(view, route));
  }
  return json;
}

Json
ListInputBlocks(const ControlStep& aStep)
{
  const MonoTime now = LogicalNow(aStep);
  Json json;
  json["input_blocks"] = Json::array();
  for (const auto& [id, block] : ViewOf(aStep).mInputBlocks) {
    const Duration left = block.mLength - (now - block.mSince);
    json["input_blocks"].push_back(
      { { "id", FormatInputBlockId(id) },
        { "parts", FormatParts(block.mParts) },
        { "workspace", block.mWorkspace.mValue },
        { "crashes", block.mCrashes },
        { "state", block.mProbation ? "probation" : "blocked" },
        { "age_seconds", (now - block.mSince).Seconds() },
        { "seconds_left", std::max(Duration{}, left).Seconds() } });
  }
  return json;
}

absl::StatusOr<Json>
ReadInForce(ControlStep& aStep, const HttpRequest& aRequest)
{
  absl::StatusOr<uint64_t> revision =
    ParseNumber("revision", QueryValue(aRequest.mQuery, "revision"));
  if (!revision.ok()) {
    return revision.status();
  }
  const Revision inForce = ReportInForce(
    aStep.mControl.mLeadership.mSessions, aStep.mNow, ViewOf(aStep).mRevision);
  Json json;
  json["revision"] = *revision;
  json["in_force"] = inForce.mValue >= *revision;
  json["revision_in_force"] = inForce.mValue;
  return json;
}

std::optional<absl::StatusOr<Json>>
Read(ControlStep& aStep, const OperatorCall& aCall)
{
  const auto& path = aCall.mPath;
  if (path[0] == "contracts" && path.size() == 1) {
    return ListContracts(aStep, aCall.mRequest);
  }
  if (path[0] == "contracts" && path.size() == 2) {
    return ReadContract(aStep, path[1]);
  }
  if (path[0] == "keys" && path.size() == 1) {
    return ListKeys(aStep, aCall.mRequest);
  }
  if (path[0] == "routes" && path.size() <= 2) {
    return ReadRoutes(aStep, path);
  }
  if (path[0] == "input-blocks" && path.size() == 1) {
    return ListInputBlocks(aStep);
  }
  if (path[0] == "inforce" && path.size() == 1) {
    return ReadInForce(aStep, aCall.mRequest);
  }
  return std::nullopt;
}

} // namespace

bool
HandleOperatorRead(ControlStep& aStep, const OperatorCall& aCall)
{
  const HttpCallId call = aCall.mRequest.mCall;
  if (aCall.mPath.size() == 1 && aCall.mPath[0] == "status") {
    ReplyJson(aStep, call, 200, StatusJson(aStep));
    return true;
  }
  if (HandleRolloutRead(aStep, aCall)) {
    return true;
  }
  std::optional<absl::StatusOr<Json>> read = Read(aStep, aCall);
  if (!read) {
    return false;
  }
  if (read->ok()) {
    ReplyJson(aStep, call, 200, (*read)->dump());
  } else {
    ReplyFailure(aStep, call, FailureFrom(read->status()));
  }
  return true;
}

} // namespace caraway
