// Applies changes to a copy of the configuration and rebuilds one from a
// snapshot.

#include "caraway/config/config_view.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/base/error.h"
#include "caraway/base/visitor.h"

namespace caraway {

namespace {

Contract
ContractOf(const ServingPlan& aPlan, const PlanWorkspace& aWorkspace)
{
  Contract contract;
  contract.mWorkspace = aWorkspace.mId;
  contract.mRate = aWorkspace.mRate;
  contract.mBurst = aWorkspace.mBurst;
  for (const PlanRoute& route : aPlan.mRoutes) {
    if (route.mKind == CallKind::eBatch) {
      contract.mBatchWindow = route.mItemLifetime;
    }
  }
  return contract;
}

// Workspaces of the previous plan that are not in this one lose their contract.
void
ApplyPlan(ConfigView& aView, const ServingPlan& aPlan)
{
  if (aView.mPlan) {
    for (const PlanWorkspace& former : aView.mPlan->mWorkspaces) {
      aView.mContracts.erase(former.mId);
    }
  }
  aView.mPlanKeys.clear();
  aView.mPlanRanks.clear();
  for (const PlanWorkspace& workspace : aPlan.mWorkspaces) {
    aView.mContracts[workspace.mId] = ContractOf(aPlan, workspace);
    if (workspace.mHasPriority) {
      aView.mPlanRanks[workspace.mId] = workspace.mPriority;
    }
    for (const KeyDigest& key : workspace.mKeys) {
      aView.mPlanKeys[key] = workspace.mId;
    }
  }
  std::erase_if(aView.mRollouts, [&](const auto& aEntry) {
    return PlanServiceById(aPlan, aEntry.first) == nullptr;
  });
  aView.mPlan = std::make_shared<const ServingPlan>(aPlan);
}

void
ApplyContent(ConfigView& aView, Revision aRevision, const ConfigChange& aChange)
{
  std::visit(
    Visitor{
      [&](const SetContract& aSet) {
        aView.mContracts[aSet.mContract.mWorkspace] = aSet.mContract;
      },
      [&](const WithdrawContract& aWithdraw) {
        auto contract = aView.mContracts.find(aWithdraw.mWorkspace);
        if (contract != aView.mContracts.end()) {
          contract->second.mWithdrawn = true;
        }
        for (auto& [id, key] : aView.mKeys) {
          if (key.mWorkspace == aWithdraw.mWorkspace) {
            key.mWithdrawn = true;
          }
        }
      },
      [&](const CreateKey& aCreate) {
        // A withdrawn key is never restored under the same id.
        aView.mKeys.try_emplace(aCreate.mKey.mId, aCreate.mKey);
      },
      [&](const WithdrawKey& aWithdraw) {
        // Holders without the key (nodes) record the withdrawal, so that they
        // can cancel its requests.
        ApiKey& key = aView.mKeys[aWithdraw.mKey];
        key.mId = aWithdraw.mKey;
        key.mWithdrawn = true;
      },
      [&](const SetRoute& aSet) {
        aView.mRoutes[aSet.mRoute.mId] = aSet.mRoute;
      },
      [&](const RemoveRoute& aRemove) { aView.mRoutes.erase(aRemove.mRoute); },
      [&](const SetZoneService& aSet) {
        aView.mZoneInService[aSet.mZone] = aSet.mInService;
      },
      [&](const SetTargetService& aSet) {
        aView.mTargetInService[aSet.mTarget] = aSet.mInService;
      },
      [&](const SetMember& aSet) {
        aView.mMembers[aSet.mMember.mInstance] = aSet.mMember;
      },
      [&](const RemoveMember& aRemove) {
        auto member = aView.mMembers.find(aRemove.mInstance);
        if (member != aView.mMembers.end() &&
            member->second.mEpoch == aRemove.mEpoch) {
          aView.mMembers.erase(member);
        }
      },
      [&](const SetPlan& aSet) { ApplyPlan(aView, aSet.mPlan); },
      [&](const SetTarget& aSet) {
        aView.mTargets[aSet.mTarget.mId] = aSet.mTarget;
        aView.mVersions[aSet.mTarget.mService].insert(aSet.mTarget.mVersion);
      },
      [&](const RemoveTarget& aRemove) {
        auto target = aView.mTargets.find(aRemove.mTarget);
        if (target != aView.mTargets.end() &&
            target->second.mStartedAt == aRemove.mStartedAt) {
          aView.mTargets.erase(target);
        }
      },
      [&](const SetInputBlock& aSet) {
        aView.mInputBlocks[aSet.mBlock.mId] = aSet.mBlock;
      },
      [&](const RemoveInputBlock& aRemove) {
        aView.mInputBlocks.erase(aRemove.mBlock);
      },
      [&](const RememberVersion& aRemember) {
        aView.mVersions[aRemember.mService].insert(aRemember.mVersion);
      },
      [&](const ForgetVersion& aForget) {
        auto versions = aView.mVersions.find(aForget.mService);
        if (versions != aView.mVersions.end()) {
          versions->second.erase(aForget.mVersion);
          if (versions->second.empty()) {
            aView.mVersions.erase(versions);
          }
        }
      },
      [&](const SetRollout& aSet) {
        aView.mRollouts[aSet.mRollout.mService] = aSet.mRollout;
      },
    },
    aChange);
  if (std::holds_alternative<RememberVersion>(aChange) ||
      std::holds_alternative<ForgetVersion>(aChange)) {
    return; // no object that operators write
  }
  if (const auto* lifted = std::get_if<RemoveInputBlock>(&aChange)) {
    // Ids of blocks come without end and are not used again.
    aView.mObjectRevisions.erase(ObjectName(*lifted));
    return;
  }
  aView.mObjectRevisions[ObjectName(aChange)] = aRevision;
}

bool
FlagOf(const std::map<ZoneId, bool>& aFlags, const ZoneId& aId)
{
  auto flag = aFlags.find(aId);
  return flag == aFlags.end() || flag->second;
}

std::string
InputBlockName(InputBlockId aBlock)
{
  return absl::StrCat("input-block/", FormatInputBlockId(aBlock));
}

} // namespace

void
ApplyChange(ConfigView& aView, const RevisedChange& aChange)
{
  if (aChange.mRevision <= aView.mRevision) {
    return;
  }
  ApplyContent(aView, aChange.mRevision, aChange.mChange);
  aView.mRevision = aChange.mRevision;
}

bool
IsKeyValid(const ConfigView& aView, const KeyId& aKey)
{
  const auto key = aView.mKeys.find(aKey);
  if (key == aView.mKeys.end() || key->second.mWithdrawn) {
    return false;
  }
  const auto contract = aView.mContracts.find(key->second.mWorkspace);
  return contract != aView.mContracts.end() && !contract->second.mWithdrawn;
}

bool
ZoneInService(const ConfigView& aView, const ZoneId& aZone)
{
  return FlagOf(aView.mZoneInService, aZone);
}

bool
TargetInService(const ConfigView& aView, const TargetId& aTarget)
{
  auto flag = aView.mTargetInService.find(aTarget);
  return flag == aView.mTargetInService.end() || flag->second;
}

bool
HasTargetOf(const ConfigView& aView,
            const ServiceId& aService,
            const std::string& aVersion)
{
  return std::any_of(
    aView.mTargets.begin(), aView.mTargets.end(), [&](const auto& aEntry) {
      return aEntry.second.mService == aService &&
             aEntry.second.mVersion == aVersion;
    });
}

bool
HasSeveralVersions(const ConfigView& aView, const ServiceId& aService)
{
  auto versions = aView.mVersions.find(aService);
  return versions != aView.mVersions.end() && versions->second.size() > 1;
}

const Rollout*
FindRollout(const ConfigView& aView, const ServiceId& aService)
{
  auto rollout = aView.mRollouts.find(aService);
  return rollout == aView.mRollouts.end() ? nullptr : &rollout->second;
}

const InputBlock*
FindInputBlock(const ConfigView& aView,
               const WorkspaceId& aWorkspace,
               const InputParts& aParts)
{
  for (const auto& [id, block] : aView.mInputBlocks) {
    if (!block.mProbation && Covers(block, aWorkspace, aParts)) {
      return &block;
    }
  }
  return nullptr;
}

std::string
ObjectName(const ConfigChange& aChange)
{
  return std::visit(
    Visitor{
      [](const SetContract& aSet) {
        return absl::StrCat("contract/", aSet.mContract.mWorkspace.mValue);
      },
      [](const WithdrawContract& aWithdraw) {
        return absl::StrCat("contract/", aWithdraw.mWorkspace.mValue);
      },
      [](const CreateKey& aCreate) {
        return absl::StrCat("key/", aCreate.mKey.mId.mValue);
      },
      [](const WithdrawKey& aWithdraw) {
        return absl::StrCat("key/", aWithdraw.mKey.mValue);
      },
      [](const SetRoute& aSet) {
        return absl::StrCat("route/", aSet.mRoute.mId.mValue);
      },
      [](const RemoveRoute& aRemove) {
        return absl::StrCat("route/", aRemove.mRoute.mValue);
      },
      [](const SetZoneService& aSet) {
        return absl::StrCat("zone/", aSet.mZone.mValue);
      },
      [](const SetTargetService& aSet) {
        return absl::StrCat("target/", aSet.mTarget.mValue);
      },
      [](const SetMember& aSet) {
        return absl::StrCat("member/", aSet.mMember.mInstance.mValue);
      },
      [](const RemoveMember& aRemove) {
        return absl::StrCat("member/", aRemove.mInstance.mValue);
      },
      [](const SetPlan&) { return std::string("plan"); },
      [](const SetTarget& aSet) {
        return absl::StrCat("target-record/", aSet.mTarget.mId.mValue);
      },
      [](const RemoveTarget& aRemove) {
        return absl::StrCat("target-record/", aRemove.mTarget.mValue);
      },
      [](const SetInputBlock& aSet) { return InputBlockName(aSet.mBlock.mId); },
      [](const RemoveInputBlock& aRemove) {
        return InputBlockName(aRemove.mBlock);
      },
      [](const RememberVersion& aRemember) {
        return absl::StrCat("version/", aRemember.mService.mValue);
      },
      [](const ForgetVersion& aForget) {
        return absl::StrCat("version/", aForget.mService.mValue);
      },
      [](const SetRollout& aSet) {
        return absl::StrCat("rollout/", aSet.mRollout.mService.mValue);
      },
    },
    aChange);
}

bool
InScope(const ConfigChange& aChange, ConfigScope aScope)
{
  if (aScope == ConfigScope::eAll) {
    return true;
  }
  return !std::holds_alternative<SetContract>(aChange) &&
         !std::holds_alternative<CreateKey>(aChange) &&
         !std::holds_alternative<SetPlan>(aChange);
}

std::vector<ConfigChange>
SnapshotChanges(const ConfigView& aView, ConfigScope aScope)
{
  std::vector<ConfigChange> changes;
  auto add = [&](ConfigChange aChange) {
    if (InScope(aChange, aScope)) {
      changes.push_back(std::move(aChange));
    }
  };
  // Contracts of the plan are rebuilt from it.
  for (const auto& [id, contract] : aView.mContracts) {
    if (aView.mPlan && PlanWorkspaceById(*aView.mPlan, id) != nullptr) {
      continue;
    }
    add(SetContract{ contract });
    if (contract.mWithdrawn) {
      add(WithdrawContract{ id });
    }
  }
  // Holders that get no keys need the withdrawals to cancel running requests.
  for (const auto& [id, key] : aView.mKeys) {
    add(CreateKey{ key });
    if (key.mWithdrawn) {
      add(WithdrawKey{ id });
    }
  }
  for (const auto& [id, route] : aView.mRoutes) {
    add(SetRoute{ route });
  }
  for (const auto& [id, inService] : aView.mZoneInService) {
    add(SetZoneService{ id, inService });
  }
  for (const auto& [id, inService] : aView.mTargetInService) {
    add(SetTargetService{ id, inService });
  }
  for (const auto& [id, member] : aView.mMembers) {
    add(SetMember{ member });
  }
  if (aView.mPlan) {
    add(SetPlan{ *aView.mPlan });
  }
  for (const auto& [id, target] : aView.mTargets) {
    add(SetTarget{ target });
  }
  for (const auto& [id, block] : aView.mInputBlocks) {
    add(SetInputBlock{ block });
  }
  // After the plan, which drops those of services that it lacks.
  for (const auto& [service, rollout] : aView.mRollouts) {
    add(SetRollout{ rollout });
  }
  for (const auto& [service, versions] : aView.mVersions) {
    for (const std::string& version : versions) {
      add(RememberVersion{ service, version });
    }
  }
  return changes;
}

absl::Status
ApplySnapshot(ConfigView& aView,
              Revision aRevision,
              const std::vector<ConfigChange>& aChanges)
{
  if (aRevision < aView.mRevision) {
    return MakeError(ErrorKind::eStaleEpoch,
                     "configuration snapshot is older than the copy held",
                     "fetch again from another replica");
  }
  ConfigView fresh;
  for (const ConfigChange& change : aChanges) {
    ApplyContent(fresh, aRevision, change);
  }
  fresh.mRevision = aRevision;
  aView = std::move(fresh);
  return absl::OkStatus();
}

} // namespace caraway
