// Explains where a request or job would go, by the decisions of real requests.

#include "caraway/entry/where.h"

#include <algorithm>

#include "caraway/control/key_secret.h"
#include "caraway/entry/attempts.h"
#include "caraway/entry/direct_internal.h"
#include "caraway/entry/forward.h"
#include "caraway/entry/input_crashes.h"
#include "caraway/entry/reply.h"
#include "caraway/entry/rollouts.h"
#include "caraway/entry/session.h"
#include "caraway/entry/start_times.h"
#include "caraway/entry/targets.h"

namespace caraway {

namespace {

const char*
KindName(CallKind aKind)
{
  switch (aKind) {
    case CallKind::eStream:
      return "stream";
    case CallKind::eBatch:
      return "batch";
    default:
      return "request";
  }
}

void
SetAdmission(WhereReport& aReport, const char* aVerdict, std::string aReason)
{
  aReport.mAdmission = aVerdict;
  aReport.mAdmissionReason = std::move(aReason);
}

// Tokens of the workspace that this entry holds at aNow.
double
TokensHeld(const HeldTokens& aTokens, MonoTime aNow)
{
  return (aNow < aTokens.mEnds ? aTokens.mHeld : 0) +
         (aNow < aTokens.mBriefEnds ? aTokens.mBrief : 0);
}

// What admission would do, without spending a token.
void
ExplainAdmission(const EntryStep& aStep,
                 const WorkspaceId& aWorkspace,
                 WhereReport& aReport)
{
  const Entry& entry = aStep.mEntry;
  auto contract = entry.mConfig.mContracts.find(aWorkspace);
  if (contract == entry.mConfig.mContracts.end()) {
    if (aWorkspace.Empty()) {
      SetAdmission(aReport, "admitted", "the route needs no key");
    } else {
      SetAdmission(aReport, "refused", "there is no such workspace");
    }
    return;
  }
  if (contract->second.mRate <= 0) {
    SetAdmission(aReport, "admitted", "the workspace has no limit");
    return;
  }
  if (!aReport.mHasLease) {
    if (entry.mSettings.mServeWithoutLease) {
      SetAdmission(
        aReport, "waits", "no lease: this entry's share of the rate decides");
    } else {
      SetAdmission(aReport, "refused", "this entry has no lease");
    }
    return;
  }
  auto tokens = entry.mTokens.mTokens.find(aWorkspace);
  if (tokens != entry.mTokens.mTokens.end() &&
      TokensHeld(tokens->second, aStep.mNow) >= 1) {
    SetAdmission(aReport, "admitted", "a token is held here");
  } else if (tokens != entry.mTokens.mTokens.end() && tokens->second.mScarce &&
             tokens->second.mRetryAt > aStep.mNow) {
    SetAdmission(
      aReport,
      "waits",
      "tokens are scarce; the next is expected in " +
        std::to_string((tokens->second.mRetryAt - aStep.mNow).Millis()) +
        " ms");
  } else {
    SetAdmission(aReport, "waits", "control is asked for a token");
  }
}

// Why the target is no candidate; empty if it is one.
std::string
ExclusionOf(const EntryStep& aStep,
            const DirectCall& aDirect,
            const Target& aTarget)
{
  const Entry& entry = aStep.mEntry;
  if (aTarget.mDraining) {
    return "draining";
  }
  if (!ZoneInService(entry.mConfig, aTarget.mZone)) {
    return "its zone is out of service";
  }
  if (!TargetInService(entry.mConfig, aTarget.mId)) {
    return "taken out of service";
  }
  if (!AcceptsNewWork(entry, aTarget)) {
    return "it has left";
  }
  return RolloutAccepts(aStep, aDirect, aTarget)
           ? ""
           : "its version gets no such request in this phase of the roll-out";
}

WhereCandidate
CandidateOf(std::string aName, const ZoneId& aZone, DecisionLog aLog)
{
  return { std::move(aName),
           aZone.mValue,
           std::move(aLog.mReason),
           std::move(aLog.mExtra) };
}

// The targets in the order in which the request would ask them.
WhereService
ExplainPlanService(EntryStep& aStep,
                   const WhereQuery& aQuery,
                   const RouteShare& aShare)
{
  const Entry& entry = aStep.mEntry;
  WhereService result;
  result.mService = aShare.mService;
  result.mWeight = aShare.mWeight;
  DirectCall direct;
  direct.mRoute = aQuery.mRoute;
  direct.mService = aShare.mService;
  std::vector<PlacementCandidate> candidates;
  for (const auto& [id, target] : entry.mConfig.mTargets) {
    if (target.mService != aShare.mService) {
      continue;
    }
    const std::string excluded = ExclusionOf(aStep, direct, target);
    if (excluded.empty()) {
      candidates.push_back({ id, target.mZone, target.mSlots });
    } else {
      result.mExcluded.emplace_back(id, excluded);
    }
  }
  PlacementQuery query;
  query.mWorkspace = aQuery.mWorkspace;
  query.mLocalZone = entry.mSettings.mZone;
  Random random = entry.mRandom; // real requests draw as if nobody had asked
  while (result.mCandidates.size() < kMaxWhereCandidates) {
    Placement next =
      ChoosePlacement(candidates, entry.mPlacement, query, aStep.mNow, random);
    if (!next.mIndex) {
      break;
    }
    const PlacementCandidate& chosen = candidates[*next.mIndex];
    const Member* node =
      NodeOfTarget(entry, entry.mConfig.mTargets.at(chosen.mTarget));
    next.mLog.mExtra.push_back(
      { "node", node == nullptr ? "none" : node->mInstance.mValue });
    result.mCandidates.push_back(
      CandidateOf(chosen.mTarget.mValue, chosen.mZone, std::move(next.mLog)));
    query.mExclude.push_back(chosen.mTarget);
  }
  return result;
}

// The nodes in the order in which a request of the product's own interface
// would be dispatched to them.
WhereService
ExplainNodes(EntryStep& aStep,
             const WhereQuery& aQuery,
             const TargetCall& aCall)
{
  const Entry& entry = aStep.mEntry;
  WhereService result;
  result.mService =
    aCall.mModel.Empty() ? aCall.mService : ServiceId(aCall.mModel.mValue);
  const std::vector<RouteCandidate> candidates = CandidatesFor(aStep, aCall);
  RouteQuery query;
  query.mWorkspace = aQuery.mWorkspace;
  query.mLocalZone = entry.mSettings.mZone;
  query.mAffinityBound = entry.mSettings.mAffinityBound;
  query.mSpillThreshold = entry.mSettings.mSpillThreshold;
  query.mPolicy = entry.mSettings.mPolicy;
  Random random = entry.mRandom;
  while (result.mCandidates.size() < kMaxWhereCandidates) {
    RouteChoice next =
      ChooseTarget(candidates, entry.mTargets, query, aStep.mNow, random);
    if (!next.mNode) {
      break;
    }
    const auto chosen = std::find_if(
      candidates.begin(), candidates.end(), [&](const RouteCandidate& aOne) {
        return aOne.mNode == *next.mNode;
      });
    result.mCandidates.push_back(
      CandidateOf(next.mNode->mValue, chosen->mZone, std::move(next.mLog)));
    query.mExclude.push_back(*next.mNode);
  }
  return result;
}

// Requests at this entry that wait for a target of one of the services.
size_t
WaitingForTargets(const Entry& aEntry,
                  const std::vector<WhereService>& aServices)
{
  return static_cast<size_t>(std::count_if(
    aEntry.mRequests.begin(), aEntry.mRequests.end(), [&](const auto& aOne) {
      const CallerRequest& request = aOne.second;
      return request.mPhase == RequestPhase::eDirect &&
             request.mDirect.mAttempts.empty() &&
             std::any_of(aServices.begin(),
                         aServices.end(),
                         [&](const WhereService& aService) {
                           return aService.mService == request.mDirect.mService;
                         });
    }));
}

} // namespace

WhereReport
ExplainWhere(EntryStep& aStep, const WhereQuery& aQuery)
{
  const Entry& entry = aStep.mEntry;
  WhereReport report;
  report.mHasLease = HasValidLease(entry, aStep.mNow);
  report.mRevision = entry.mConfig.mRevision;
  report.mWaitingForTokens = entry.mWaitingForGrant.size();
  const PlanRoute* route =
    entry.mConfig.mPlan ? PlanRouteById(*entry.mConfig.mPlan, aQuery.mRoute)
                        : nullptr;
  TargetCall call;
  call.mModel = aQuery.mModel;
  report.mFound = true;
  if (route != nullptr) {
    report.mKind = KindName(route->mKind);
    for (const RouteShare& share : route->mShares) {
      if (share.mWeight > 0) {
        report.mServices.push_back(ExplainPlanService(aStep, aQuery, share));
      }
    }
  } else if (auto own = entry.mConfig.mRoutes.find(aQuery.mRoute);
             own != entry.mConfig.mRoutes.end()) {
    report.mKind = "request";
    call.mService = own->second.mService;
    report.mServices.push_back(ExplainNodes(aStep, aQuery, call));
  } else if (!aQuery.mModel.Empty()) {
    report.mKind = "stream";
    report.mServices.push_back(ExplainNodes(aStep, aQuery, call));
  } else {
    report.mFound = false;
    SetAdmission(report, "refused", "there is no such route");
    return report;
  }
  report.mWaitingForTargets = WaitingForTargets(entry, report.mServices);
  const InputBlock* block =
    FindInputBlock(entry.mConfig, aQuery.mWorkspace, aQuery.mParts);
  if (block != nullptr) {
    SetAdmission(report, "refused", InputBlockedMessage(*block));
  } else if (route != nullptr && route->mKind == CallKind::eBatch) {
    SetAdmission(report, "admitted", "control keeps jobs, no token is needed");
  } else {
    ExplainAdmission(aStep, aQuery.mWorkspace, report);
  }
  return report;
}

void
HandleWhereQuery(EntryStep& aStep, const WhereQuery& aQuery)
{
  const WhereReport report = ExplainWhere(aStep, aQuery);
  ReplyToHttpCall(aStep,
                  aQuery.mCall,
                  report.mFound ? 200 : 404,
                  { { "Content-Type", "application/json" } },
                  WhereJson(report));
}

bool
ServeWhere(EntryStep& aStep, const HttpRequest& aHttp)
{
  constexpr std::string_view kBearer = "Bearer ";
  const std::string& digest = aStep.mEntry.mSettings.mOperatorTokenDigest;
  const std::optional<WhereQuery> query = ReadWhereQuery(aHttp);
  if (!query || digest.empty()) {
    return false;
  }
  const std::string token = HeaderValue(aHttp.mHeaders, "Authorization");
  if (!token.starts_with(kBearer) ||
      !TokenMatches(std::string_view(token).substr(kBearer.size()), digest)) {
    CallerError error;
    error.mKind = ErrorKind::eUnauthenticated;
    error.mMessage = "the operators' token is missing or wrong";
    RefuseHttpCall(aStep, aHttp.mCall, error);
    return true;
  }
  HandleWhereQuery(aStep, *query);
  return true;
}

} // namespace caraway
