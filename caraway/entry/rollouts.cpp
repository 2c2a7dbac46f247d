// Applies the phases of roll-outs to direct requests.

#include "caraway/entry/rollouts.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "caraway/config/target_use.h"
#include "caraway/entry/session.h"
#include "caraway/entry/targets.h"
#include "caraway/routing/hash.h"

namespace caraway {

namespace {

constexpr Duration kReportInterval = Millis(400);
// Each target is slow at first, whatever its version.
constexpr Duration kWarmUp = Seconds(2);
// Part of the time to return in which streams that began at a bad version may
// be taken up there.
constexpr int64_t kTakeUpDivisor = 4;

// The state of the roll-out, nullptr if this entry has not taken it over.
// Rollouts: EntryRollouts, const or not.
template<class Rollouts>
auto
FindState(Rollouts& aRollouts, const Rollout& aRollout)
  -> decltype(&aRollouts.mServices.begin()->second)
{
  auto state = aRollouts.mServices.find(aRollout.mService);
  return state == aRollouts.mServices.end() ||
             state->second.mNumber != aRollout.mNumber
           ? nullptr
           : &state->second;
}

ServiceRollout*
FindActive(EntryStep& aStep, const ServiceId& aService)
{
  const Rollout* rollout = FindRollout(aStep.mEntry.mConfig, aService);
  return rollout != nullptr && IsActive(*rollout)
           ? FindState(aStep.mEntry.mRollouts, *rollout)
           : nullptr;
}

bool
AcceptsOnTrial(const EntryStep& aStep,
               const Rollout& aRollout,
               const DirectCall& aDirect)
{
  const ServiceRollout* state =
    FindState(std::as_const(aStep.mEntry.mRollouts), aRollout);
  return state != nullptr && HasValidLease(aStep.mEntry, aStep.mNow) &&
         MayExpose(state->mExposure,
                   aStep.mEntry.mSettings.mExposure.mShare,
                   state->mSlack,
                   aDirect.mOrigin ? TrialUse::eResumedStream
                                   : TrialUse::eNewRequest);
}

// A stream that began at the version may be taken up there for a while.
bool
AcceptsAfterRollback(const EntryStep& aStep,
                     const Rollout& aRollout,
                     const DirectCall& aDirect)
{
  const ServiceRollout* state =
    FindState(std::as_const(aStep.mEntry.mRollouts), aRollout);
  const Duration takeUp =
    aStep.mEntry.mSettings.mExposure.mRollbackTime / kTakeUpDivisor;
  return aDirect.mOrigin && state != nullptr &&
         state->mRolledBackAt != kNever &&
         aStep.mNow - state->mRolledBackAt < takeUp;
}

void
ChooseTrialTargets(EntryStep& aStep,
                   const Rollout& aRollout,
                   ServiceRollout& aState)
{
  Entry& entry = aStep.mEntry;
  if (aState.mTopology == entry.mTopologyVersion) {
    return;
  }
  aState.mTopology = entry.mTopologyVersion;
  std::vector<std::pair<uint64_t, TargetId>> trial;
  size_t old = 0;
  for (const auto& [id, target] : entry.mConfig.mTargets) {
    if (!TakesWork(entry.mConfig, target)) {
      continue;
    }
    old += IsOldVersion(aRollout, target) ? 1 : 0;
    if (IsTrialVersion(aRollout, target)) {
      trial.emplace_back(RendezvousScore(aRollout.mNumber, id.mValue), id);
    }
  }
  std::sort(trial.rbegin(), trial.rend());
  trial.resize(std::min(trial.size(),
                        TrialTargets(entry.mSettings.mExposure.mShare, old)));
  aState.mTrialTargets.clear();
  for (auto& [score, id] : trial) {
    aState.mTrialTargets.push_back(std::move(id));
  }
  std::sort(aState.mTrialTargets.begin(), aState.mTrialTargets.end());
}

// Keeps the candidates for which aKeep holds, if there are any.
template<class Keep>
bool
KeepIfAny(std::vector<PlacementCandidate>& aCandidates, Keep aKeep)
{
  if (std::none_of(aCandidates.begin(), aCandidates.end(), aKeep)) {
    return false;
  }
  std::erase_if(aCandidates,
                [&](const auto& aCandidate) { return !aKeep(aCandidate); });
  return true;
}

uint64_t
CallsAtOld(const Entry& aEntry, const Rollout& aRollout)
{
  uint64_t calls = 0;
  for (const auto& [serial, request] : aEntry.mRequests) {
    if (request.mDirect.mService != aRollout.mService) {
      continue;
    }
    for (const DirectAttempt& attempt : request.mDirect.mAttempts) {
      calls += !attempt.mEnded && std::binary_search(aRollout.mFrom.begin(),
                                                     aRollout.mFrom.end(),
                                                     attempt.mTargetVersion)
                 ? 1
                 : 0;
    }
  }
  return calls;
}

RolloutReport
MakeReport(const EntryStep& aStep,
           const Rollout& aRollout,
           const ServiceRollout& aState)
{
  const Entry& entry = aStep.mEntry;
  RolloutReport report;
  report.mEntry = entry.mSettings.mInstance;
  report.mService = aRollout.mService;
  report.mNumber = aRollout.mNumber;
  report.mRevision = entry.mConfig.mRevision;
  report.mRequests = aState.mExposure.mRequests;
  report.mTrial = aState.mExposure.mTrial;
  report.mCallsAtOld = CallsAtOld(entry, aRollout);
  for (const auto& [route, counts] : aState.mEvidence.mBeside) {
    report.mAnswers.push_back({ route, {}, counts });
  }
  for (const auto& [route, targets] : aState.mEvidence.mTrial) {
    for (const auto& [target, counts] : targets) {
      report.mAnswers.push_back({ route, target, counts });
    }
  }
  return report;
}

void
LogPhase(EntryStep& aStep,
         const Rollout& aRollout,
         const ServiceRollout& aState)
{
  DecisionLog log;
  log.mEvent = "rollout";
  log.mChoice = std::string(RolloutPhaseName(aRollout.mPhase));
  log.mReason = "by the configuration";
  log.mExtra = {
    { "service", aRollout.mService.mValue },
    { "to", aRollout.mTo },
    { "requests", absl::StrCat(aState.mExposure.mRequests) },
    { "trial_requests", absl::StrCat(aState.mExposure.mTrial) },
    { "slack", absl::StrCat(aState.mSlack) },
  };
  aStep.mOut.emplace_back(std::move(log));
}

} // namespace

void
RolloutsChanged(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  EntryRollouts& rollouts = entry.mRollouts;
  const bool configured = std::exchange(rollouts.mConfigured, true);
  std::erase_if(rollouts.mServices, [&](const auto& aEntry) {
    return !entry.mConfig.mRollouts.contains(aEntry.first);
  });
  rollouts.mReportAt = kNever;
  for (const auto& [service, rollout] : entry.mConfig.mRollouts) {
    ServiceRollout& state = rollouts.mServices[service];
    if (state.mNumber != rollout.mNumber) {
      state = {};
      state.mNumber = rollout.mNumber;
      if (configured && IsActive(rollout)) {
        state.mSlack = entry.mSettings.mExposure.mSlack /
                       std::max<uint32_t>(1, EntriesKnown(entry));
      }
      LogPhase(aStep, rollout, state);
    }
    if (rollout.mPhase == RolloutPhase::eRolledBack &&
        state.mRolledBackAt == kNever) {
      state.mRolledBackAt = aStep.mNow;
      LogPhase(aStep, rollout, state);
    }
    if (IsActive(rollout)) {
      rollouts.mReportAt = aStep.mNow; // the leader waits for the new revision
    }
  }
}

bool
RolloutAccepts(const EntryStep& aStep,
               const DirectCall& aDirect,
               const Target& aTarget)
{
  const Rollout* rollout = FindRollout(aStep.mEntry.mConfig, aTarget.mService);
  if (rollout == nullptr) {
    return true;
  }
  if (IsWithdrawnVersion(*rollout, aTarget.mVersion)) {
    return false;
  }
  switch (rollout->mPhase) {
    case RolloutPhase::eTrial:
      return !IsTrialVersion(*rollout, aTarget) ||
             AcceptsOnTrial(aStep, *rollout, aDirect);
    case RolloutPhase::eMoving:
      return true;
    case RolloutPhase::eDraining:
      return aDirect.mOrigin || !IsOldVersion(*rollout, aTarget);
    case RolloutPhase::eCompleted:
      return !IsOldVersion(*rollout, aTarget);
    case RolloutPhase::eRolledBack:
      return !IsTrialVersion(*rollout, aTarget) ||
             AcceptsAfterRollback(aStep, *rollout, aDirect);
  }
  return true;
}

void
PreferByRollout(EntryStep& aStep,
                const DirectCall& aDirect,
                std::vector<PlacementCandidate>& aCandidates)
{
  const ConfigView& view = aStep.mEntry.mConfig;
  const Rollout* rollout = FindRollout(view, aDirect.mService);
  ServiceRollout* state = FindActive(aStep, aDirect.mService);
  if (state == nullptr || aDirect.mOrigin) {
    return;
  }
  const bool first = aDirect.mSlotRequests.empty() && aDirect.mTried.empty();
  const auto onTrial = [&](const PlacementCandidate& aCandidate) {
    return IsTrialVersion(*rollout, view.mTargets.at(aCandidate.mTarget));
  };
  if (rollout->mPhase == RolloutPhase::eMoving) {
    if (first) {
      KeepIfAny(aCandidates, onTrial);
    }
    return;
  }
  if (rollout->mPhase != RolloutPhase::eTrial) {
    return;
  }
  ChooseTrialTargets(aStep, *rollout, *state);
  const auto inTrial = [&](const PlacementCandidate& aCandidate) {
    return std::binary_search(state->mTrialTargets.begin(),
                              state->mTrialTargets.end(),
                              aCandidate.mTarget);
  };
  if (first && KeepIfAny(aCandidates, inTrial)) {
    return;
  }
  std::erase_if(aCandidates, onTrial);
}

void
RecordRolloutCall(EntryStep& aStep, const Target& aTarget)
{
  if (ServiceRollout* state = FindActive(aStep, aTarget.mService)) {
    const Rollout& rollout =
      aStep.mEntry.mConfig.mRollouts.at(aTarget.mService);
    ++state->mExposure.mRequests;
    state->mExposure.mTrial += IsTrialVersion(rollout, aTarget) ? 1 : 0;
  }
}

void
RecordRolloutAnswer(EntryStep& aStep,
                    const CallerRequest& aRequest,
                    const DirectAttempt& aAttempt,
                    bool aGood)
{
  const DirectCall& direct = aRequest.mDirect;
  ServiceRollout* state = FindActive(aStep, direct.mService);
  if (state == nullptr) {
    return;
  }
  const Rollout& rollout = aStep.mEntry.mConfig.mRollouts.at(direct.mService);
  if (IsWithdrawnVersion(rollout, aAttempt.mTargetVersion)) {
    return;
  }
  AnswerCounts& counts =
    aAttempt.mTargetVersion == rollout.mTo
      ? state->mEvidence.mTrial[direct.mRoute][aAttempt.mTarget]
      : state->mEvidence.mBeside[direct.mRoute];
  ++counts.mAnswers;
  counts.mFailures += aGood ? 0 : 1;
  auto load = aStep.mEntry.mPlacement.find(aAttempt.mTarget);
  if (aGood && load != aStep.mEntry.mPlacement.end() &&
      aAttempt.mStartedAt - load->second.mSeenAt >= kWarmUp) {
    ++counts.mTimes[TimeBucket(aStep.mNow - aAttempt.mStartedAt)];
  }
}

void
TickRollouts(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  if (aStep.mNow < entry.mRollouts.mReportAt) {
    return;
  }
  entry.mRollouts.mReportAt = aStep.mNow + kReportInterval;
  for (const auto& [service, rollout] : entry.mConfig.mRollouts) {
    const ServiceRollout* state =
      FindState(std::as_const(entry.mRollouts), rollout);
    if (IsActive(rollout) && state != nullptr &&
        !entry.mSession.mLeader.Empty()) {
      Send(aStep, entry.mSession.mLeader, MakeReport(aStep, rollout, *state));
    }
  }
}

} // namespace caraway
