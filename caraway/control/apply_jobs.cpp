// Judges submissions and cancellations of batch jobs by the configuration.

#include "caraway/control/apply_jobs.h"

#include <algorithm>

#include "caraway/ledger/ledger.h"

namespace caraway {

namespace {

const ConfigView&
ViewOf(const ControlState& aState)
{
  return aState.mConfig.mView;
}

// The workspace of the key; null if the key is not valid.
const WorkspaceId*
WorkspaceOf(const ConfigView& aView, const CallerKey& aKey)
{
  if (const auto* digest = std::get_if<KeyDigest>(&aKey)) {
    const auto key = aView.mPlanKeys.find(*digest);
    return key == aView.mPlanKeys.end() ? nullptr : &key->second;
  }
  const auto* id = std::get_if<KeyId>(&aKey);
  return id != nullptr && IsKeyValid(aView, *id)
           ? &aView.mKeys.at(*id).mWorkspace
           : nullptr;
}

const PlanRoute*
RouteOf(const ConfigView& aView, const SubmitJob& aSubmit)
{
  if (!aView.mPlan) {
    return nullptr;
  }
  const PlanRoute* route =
    aSubmit.mHost.empty()
      ? PlanRouteById(*aView.mPlan, aSubmit.mCreate.mRoute)
      : FindPlanRoute(*aView.mPlan, aSubmit.mHost, aSubmit.mPath);
  return route != nullptr && route->mKind == CallKind::eBatch ? route : nullptr;
}

bool
IsOfRoute(const SubmitJob& aSubmit)
{
  return !aSubmit.mHost.empty() || !aSubmit.mCreate.mRoute.Empty();
}

void
FillFromRoute(const PlanRoute& aRoute, CreateJob& aCreate)
{
  aCreate.mRoute = aRoute.mId;
  aCreate.mModel = ModelId(ChooseService(aRoute, 0).mValue);
  aCreate.mWindow = aRoute.mItemLifetime;
  aCreate.mGoal = aRoute.mCompletionGoal;
  aCreate.mMaxWaitingTokens = aRoute.mMaxWaitingTokens;
  aCreate.mMaxAttempts =
    static_cast<uint8_t>(std::clamp<uint32_t>(aRoute.mMaxAttempts, 1, 255));
}

// Fills in what the contract decides, or says why it does not allow the job.
std::optional<CallFailed>
FillFromContract(const ConfigView& aView,
                 const WorkspaceId& aWorkspace,
                 const SubmitJob& aSubmit,
                 CreateJob& aCreate)
{
  const auto found = aView.mContracts.find(aWorkspace);
  if (found == aView.mContracts.end() || found->second.mWithdrawn) {
    return CallFailed{ ErrorKind::eNotPermitted,
                       "the workspace has no contract in force; ask the "
                       "operator" };
  }
  const Contract& contract = found->second;
  const bool checksModel = std::holds_alternative<KeyId>(aSubmit.mKey);
  if (checksModel && std::find(contract.mModels.begin(),
                               contract.mModels.end(),
                               aCreate.mModel) == contract.mModels.end()) {
    return CallFailed{ ErrorKind::eNotPermitted,
                       "the contract does not allow the model of the input "
                       "file; use a model that GET /v1/models lists" };
  }
  aCreate.mMaxItems = contract.mMaxBatchItems;
  aCreate.mWeight = contract.mWeight;
  if (aCreate.mWindow <= Duration{}) {
    aCreate.mWindow = contract.mBatchWindow;
  }
  return std::nullopt;
}

bool
HasJob(const ControlState& aState,
       const WorkspaceId& aWorkspace,
       const CreateJob& aCreate)
{
  const auto space = aState.mLedger.mWorkspaces.find(aWorkspace);
  return space != aState.mLedger.mWorkspaces.end() &&
         space->second.mJobs.contains(aCreate.mJob);
}

} // namespace

std::optional<CallFailed>
CheckCallerKey(const ConfigView& aView,
               const CallerKey& aKey,
               const WorkspaceId& aWorkspace)
{
  if (std::holds_alternative<std::monostate>(aKey)) {
    return std::nullopt;
  }
  const WorkspaceId* workspace = WorkspaceOf(aView, aKey);
  if (workspace == nullptr) {
    return CallFailed{ ErrorKind::eUnauthenticated, "the key is unknown" };
  }
  if (*workspace != aWorkspace) {
    return CallFailed{ ErrorKind::eOverloaded,
                       "the key belongs to another workspace now; send the "
                       "request again" };
  }
  return std::nullopt;
}

CallReplyBody
ApplySubmitJob(ControlState& aState,
               LogIndex aIndex,
               int64_t aUnixSeconds,
               const ControlCall& aCall,
               const SubmitJob& aSubmit,
               std::vector<LedgerEffect>& aEffects)
{
  const ConfigView& view = ViewOf(aState);
  if (auto failed = CheckCallerKey(view, aSubmit.mKey, aCall.mWorkspace)) {
    return *failed;
  }
  CreateJob create = aSubmit.mCreate;
  const bool ofRoute = IsOfRoute(aSubmit);
  // One that was accepted stays so, also if its route has gone since.
  const bool accepted = ofRoute && HasJob(aState, aCall.mWorkspace, create);
  if (ofRoute && !accepted) {
    const PlanRoute* route = RouteOf(view, aSubmit);
    if (route == nullptr) {
      return CallFailed{ ErrorKind::eNotFound,
                         "no batch route has this path; check the host and "
                         "the path" };
    }
    FillFromRoute(*route, create);
  }
  if (!accepted) {
    if (auto failed =
          FillFromContract(view, aCall.mWorkspace, aSubmit, create)) {
      return *failed;
    }
  }
  ControlCall call = aCall;
  call.mBody = std::move(create);
  return ApplyCall(
    aState.mLedger, aIndex, aState.mLogical, aUnixSeconds, call, aEffects);
}

CallReplyBody
ApplyCancelJobByKey(ControlState& aState,
                    LogIndex aIndex,
                    int64_t aUnixSeconds,
                    const ControlCall& aCall,
                    const CancelJobByKey& aCancel,
                    std::vector<LedgerEffect>& aEffects)
{
  if (auto failed =
        CheckCallerKey(ViewOf(aState), aCancel.mKey, aCall.mWorkspace)) {
    return *failed;
  }
  ControlCall call = aCall;
  call.mBody = CancelJob{ aCancel.mJob };
  return ApplyCall(
    aState.mLedger, aIndex, aState.mLogical, aUnixSeconds, call, aEffects);
}

} // namespace caraway
