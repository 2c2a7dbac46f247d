// Applies reports of targets, and serving plans, to the records of targets.

#include "caraway/control/apply_targets.h"

#include <algorithm>
#include <optional>

namespace caraway {

namespace {

// Starts of targets; late heartbeats are only seconds old.
constexpr size_t kMaxGoneTargets = 1000;

// More than the targets of the largest fleet that may start before its first
// plan. One that finds no room is kept when it reports again and others have
// fallen silent.
constexpr size_t kMaxUnlistedTargets = 4096;
// An address has one target; a few more let its own be kept beside those that
// other writers report there.
constexpr size_t kMaxUnlistedAtAddress = 4;
// Of them: a target and the one that takes its place. So a writer that names
// one service leaves room for the target, however many ids it uses.
constexpr size_t kMaxUnlistedOfService = 2;

const ConfigView&
ViewOf(const ControlState& aState)
{
  return aState.mConfig.mView;
}

const PlanService*
FindService(const ControlState& aState, const ServiceId& aService)
{
  const auto& plan = ViewOf(aState).mPlan;
  return plan ? PlanServiceById(*plan, aService) : nullptr;
}

bool
IsGone(const ControlState& aState, const Target& aTarget)
{
  return std::any_of(aState.mGoneTargets.begin(),
                     aState.mGoneTargets.end(),
                     [&](const EndedTarget& aGone) {
                       return aGone.mTarget == aTarget.mId &&
                              aGone.mStartedAt >= aTarget.mStartedAt;
                     });
}

// True if a target that started later has a record at the address.
bool
IsReplaced(const ControlState& aState, const Target& aTarget)
{
  const auto& targets = ViewOf(aState).mTargets;
  return std::any_of(targets.begin(), targets.end(), [&](const auto& aEntry) {
    const Target& other = aEntry.second;
    return other.mAddress == aTarget.mAddress && other.mId != aTarget.mId &&
           IsLaterStart(other, aTarget) && !IsStrayRecord(aState, other);
  });
}

// True if the target updates its own record, although no plan lists its service
// at the moment.
bool
HasRecord(const ControlState& aState, const Target& aTarget)
{
  const auto& targets = ViewOf(aState).mTargets;
  const auto known = targets.find(aTarget.mId);
  return known != targets.end() && known->second.mService == aTarget.mService &&
         known->second.mAddress == aTarget.mAddress &&
         !IsStrayRecord(aState, known->second);
}

double
ColdRateOf(const ControlState& aState, const Target& aTarget)
{
  const PlanService* service = FindService(aState, aTarget.mService);
  // If the plan lacks the service, no new requests go to the target, and those
  // that may still run keep the previous rate.
  return service == nullptr ? aTarget.mColdRate : service->mColdRate;
}

// The record that the report leads to; none if it changes nothing.
std::optional<Target>
NewRecord(const ControlState& aState, Target aTarget)
{
  aTarget.mColdRate = ColdRateOf(aState, aTarget);
  const auto& targets = ViewOf(aState).mTargets;
  const auto known = targets.find(aTarget.mId);
  if (IsGone(aState, aTarget) || IsReplaced(aState, aTarget)) {
    return std::nullopt;
  }
  if (known == targets.end() || IsStrayRecord(aState, known->second)) {
    return aTarget;
  }
  if (IsLaterStart(known->second, aTarget)) {
    return std::nullopt;
  }
  if (known->second.mStartedAt == aTarget.mStartedAt) {
    // Draining is final for one start of a target.
    aTarget.mDraining = aTarget.mDraining || known->second.mDraining;
    if (known->second == aTarget) {
      return std::nullopt;
    }
  }
  return aTarget;
}

// Removes the targets that aNewcomer replaces at its address.
void
RemoveOthersAtAddress(ControlState& aState, const Target& aNewcomer)
{
  std::vector<RemoveTarget> replaced;
  for (const auto& [id, target] : ViewOf(aState).mTargets) {
    if (target.mAddress == aNewcomer.mAddress && id != aNewcomer.mId) {
      replaced.push_back({ id, target.mStartedAt });
    }
  }
  for (RemoveTarget& remove : replaced) {
    AppendChange(aState.mConfig, std::move(remove));
  }
}

bool
HasRoomForUnlisted(const ControlState& aState, const Target& aTarget)
{
  size_t atAddress = 0;
  size_t ofService = 0; // of those
  for (const auto& [key, held] : aState.mUnlistedTargets) {
    if (held.mTarget.mAddress == aTarget.mAddress) {
      ++atAddress;
      ofService += key.mService == aTarget.mService ? 1 : 0;
    }
  }
  return aState.mUnlistedTargets.size() < kMaxUnlistedTargets &&
         atAddress < kMaxUnlistedAtAddress && ofService < kMaxUnlistedOfService;
}

// What is kept of an unlisted target after the report; none if it changes
// nothing. Within one start only the end of its work and a new cold period
// count, so that a writer can't change the state with each of its reports.
std::optional<UnlistedTarget>
NewUnlisted(const ControlState& aState, const Target& aTarget)
{
  if (IsGone(aState, aTarget)) {
    return std::nullopt;
  }
  UnlistedTarget kept{ aTarget, aState.mLogical + aTarget.mColdFor };
  const auto known =
    aState.mUnlistedTargets.find({ aTarget.mId, aTarget.mService });
  if (known == aState.mUnlistedTargets.end()) {
    return HasRoomForUnlisted(aState, aTarget) ? std::optional(kept)
                                               : std::nullopt;
  }
  const UnlistedTarget& held = known->second;
  if (held.mTarget.mStartedAt != aTarget.mStartedAt) {
    return IsLaterStart(aTarget, held.mTarget) ? std::optional(kept)
                                               : std::nullopt;
  }
  const bool drains = aTarget.mDraining && !held.mTarget.mDraining;
  const bool turnsCold =
    aTarget.mColdFor > Duration{} && held.mColdUntil <= aState.mLogical;
  if (!drains && !turnsCold) {
    return std::nullopt;
  }
  kept.mTarget.mDraining = aTarget.mDraining || held.mTarget.mDraining;
  kept.mColdUntil = std::max(kept.mColdUntil, held.mColdUntil);
  return kept;
}

// Targets of services that the plan does not list now keep their rate.
void
UpdateColdRates(ControlState& aState)
{
  std::vector<SetTarget> changed;
  for (const auto& [id, target] : ViewOf(aState).mTargets) {
    if (ColdRateOf(aState, target) != target.mColdRate) {
      changed.push_back({ target });
      changed.back().mTarget.mColdRate = ColdRateOf(aState, target);
      // The cold period was not reported anew.
      changed.back().mTarget.mColdFor = {};
    }
  }
  for (SetTarget& change : changed) {
    AppendChange(aState.mConfig, std::move(change));
  }
}

void
UpdateWithdrawnServices(ControlState& aState, const ServingPlan* aFormer)
{
  auto& withdrawn = aState.mWithdrawnServices;
  if (aFormer != nullptr) {
    for (const PlanService& service : aFormer->mServices) {
      withdrawn.insert(service.mId);
    }
  }
  std::erase_if(withdrawn, [&](const ServiceId& aService) {
    const auto& targets = ViewOf(aState).mTargets;
    return ListsService(aState, aService) ||
           std::none_of(
             targets.begin(), targets.end(), [&](const auto& aEntry) {
               return aEntry.second.mService == aService;
             });
  });
}

// Makes records of the unlisted targets that the plan lists, in the order of
// their starts, since a later one replaces an earlier one at its address.
void
RecordListedTargets(ControlState& aState)
{
  std::vector<UnlistedTarget> listed;
  std::erase_if(aState.mUnlistedTargets, [&](const auto& aEntry) {
    const bool isListed = ListsService(aState, aEntry.first.mService);
    if (isListed) {
      listed.push_back(aEntry.second);
    }
    return isListed;
  });
  std::stable_sort(listed.begin(),
                   listed.end(),
                   [](const UnlistedTarget& aOne, const UnlistedTarget& aTwo) {
                     return IsLaterStart(aTwo.mTarget, aOne.mTarget);
                   });
  for (UnlistedTarget& one : listed) {
    one.mTarget.mColdFor =
      std::max(Duration{}, one.mColdUntil - aState.mLogical);
    ApplyTargetSeen(aState, one.mTarget);
  }
}

// Removes the record unless the target has started again.
void
RemoveTargetRecord(ControlState& aState, const EndedTarget& aGone)
{
  const auto& targets = ViewOf(aState).mTargets;
  const auto known = targets.find(aGone.mTarget);
  if (known != targets.end() && known->second.mStartedAt <= aGone.mStartedAt) {
    AppendChange(aState.mConfig,
                 RemoveTarget{ aGone.mTarget, known->second.mStartedAt });
  }
}

} // namespace

bool
ListsService(const ControlState& aState, const ServiceId& aService)
{
  return FindService(aState, aService) != nullptr;
}

bool
IsStrayRecord(const ControlState& aState, const Target& aRecord)
{
  return !ListsService(aState, aRecord.mService) &&
         !aState.mWithdrawnServices.contains(aRecord.mService);
}

bool
IsUnlisted(const ControlState& aState, const Target& aTarget)
{
  return !ListsService(aState, aTarget.mService) && !HasRecord(aState, aTarget);
}

bool
ChangesTargets(const ControlState& aState, const Target& aTarget)
{
  return IsUnlisted(aState, aTarget) ? NewUnlisted(aState, aTarget).has_value()
                                     : NewRecord(aState, aTarget).has_value();
}

void
ApplyTargetSeen(ControlState& aState, const Target& aTarget)
{
  if (IsUnlisted(aState, aTarget)) {
    if (std::optional<UnlistedTarget> kept = NewUnlisted(aState, aTarget)) {
      aState.mUnlistedTargets.insert_or_assign(
        { aTarget.mId, aTarget.mService }, *std::move(kept));
    }
    return;
  }
  if (std::optional<Target> record = NewRecord(aState, aTarget)) {
    RemoveOthersAtAddress(aState, *record);
    AppendChange(aState.mConfig, SetTarget{ *std::move(record) });
  }
}

void
ApplyTargetGone(ControlState& aState, const EndedTarget& aGone)
{
  aState.mGoneTargets.push_back(aGone);
  while (aState.mGoneTargets.size() > kMaxGoneTargets) {
    aState.mGoneTargets.pop_front();
  }
  RemoveTargetRecord(aState, aGone);
  std::erase_if(aState.mUnlistedTargets, [&](const auto& aEntry) {
    return IsGone(aState, aEntry.second.mTarget);
  });
}

void
RemoveSilentTarget(ControlState& aState, const EndedTarget& aSilent)
{
  const auto& targets = ViewOf(aState).mTargets;
  const auto known = targets.find(aSilent.mTarget);
  if (known != targets.end() && known->second.mDraining &&
      known->second.mStartedAt <= aSilent.mStartedAt) {
    // Draining is final for one start of a target. Without its record, a late
    // report from before would put it back to use.
    ApplyTargetGone(aState, { aSilent.mTarget, known->second.mStartedAt });
  } else {
    RemoveTargetRecord(aState, aSilent);
  }
}

void
RemoveUnlistedTarget(ControlState& aState, const UnlistedTargetStart& aSilent)
{
  const auto known = aState.mUnlistedTargets.find(aSilent.mKey);
  if (known != aState.mUnlistedTargets.end() &&
      known->second.mTarget.mStartedAt <= aSilent.mStartedAt) {
    aState.mUnlistedTargets.erase(known);
  }
}

void
ApplyPlanToTargets(ControlState& aState, const ServingPlan* aFormer)
{
  UpdateWithdrawnServices(aState, aFormer);
  UpdateColdRates(aState);
  RecordListedTargets(aState);
}

} // namespace caraway
