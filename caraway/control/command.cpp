// Applies commands to the durable state.

#include "caraway/control/command.h"

#include <algorithm>
#include <memory>

#include "caraway/control/apply_jobs.h"
#include "caraway/control/apply_rollouts.h"
#include "caraway/control/apply_targets.h"
#include "caraway/ledger/ledger.h"

namespace caraway {

namespace {

struct Applier
{
  ControlState& mState;
  LogIndex mIndex;
  const ControlCommand& mCommand;
  CommandOutcome& mOutcome;

  void EndMemberSession(const Member& aMember, bool aReplaced)
  {
    ApplySessionEnd(mState.mLedger,
                    mIndex,
                    mState.mLogical,
                    aMember.mInstance,
                    aMember.mEpoch,
                    mOutcome.mEffects);
    mOutcome.mEnded.push_back({ aMember.mInstance,
                                aMember.mEpoch,
                                aReplaced,
                                aMember.mRole == MemberRole::eEntry });
  }

  bool IsCurrent(const InstanceId& aInstance, Epoch aEpoch) const
  {
    return IsCurrentSession(mState.mConfig.mView, aInstance, aEpoch);
  }

  // Cancels the running jobs of a workspace whose contract is withdrawn.
  void CancelJobs(const WorkspaceId& aWorkspace)
  {
    const auto workspace = mState.mLedger.mWorkspaces.find(aWorkspace);
    if (workspace == mState.mLedger.mWorkspaces.end()) {
      return;
    }
    std::vector<JobId> running;
    for (const auto& [job, work] : workspace->second.mWork) {
      running.push_back(job);
    }
    for (const JobId& job : running) {
      ControlCall cancel;
      cancel.mWorkspace = aWorkspace;
      cancel.mBody = CancelJob{ job };
      ApplyCall(mState.mLedger,
                mIndex,
                mState.mLogical,
                mCommand.mUnixSeconds,
                cancel,
                mOutcome.mEffects);
    }
  }

  void operator()(const ConfigOperation& aOperation)
  {
    const OperationResult result = ApplyOperation(mState.mConfig, aOperation);
    const auto* withdrawn = std::get_if<WithdrawContract>(&aOperation.mChange);
    if (withdrawn != nullptr && result.mError == ErrorKind::eNone &&
        !result.mRepeated) {
      CancelJobs(withdrawn->mWorkspace);
    }
    mOutcome.mReply = result;
  }

  void operator()(const RegisterMember& aRegister)
  {
    const InstanceId& instance = aRegister.mMember.mInstance;
    const auto& members = mState.mConfig.mView.mMembers;
    auto present = members.find(instance);
    if (present != members.end()) {
      if (present->second.mIncarnation == aRegister.mMember.mIncarnation) {
        mOutcome.mReply = RegisterResult{ present->second.mEpoch };
        return;
      }
      auto replaced = mState.mReplaced.find(instance);
      if (replaced != mState.mReplaced.end() &&
          replaced->second == aRegister.mMember.mIncarnation) {
        mOutcome.mReply = RegisterResult{};
        return;
      }
      mState.mReplaced[instance] = present->second.mIncarnation;
      EndMemberSession(present->second, true);
    }
    mState.mExpiredEntries.erase(instance);
    Member member = aRegister.mMember;
    member.mEpoch = Epoch(mIndex.mValue);
    AppendChange(mState.mConfig, SetMember{ std::move(member) });
    mOutcome.mReply = RegisterResult{ Epoch(mIndex.mValue) };
  }

  void operator()(const UpdateMember& aUpdate)
  {
    if (!IsCurrent(aUpdate.mInstance, aUpdate.mEpoch)) {
      return;
    }
    Member member = mState.mConfig.mView.mMembers.at(aUpdate.mInstance);
    if (member.mTarget == aUpdate.mTarget &&
        member.mDraining == aUpdate.mDraining) {
      return;
    }
    member.mTarget = aUpdate.mTarget;
    member.mDraining = aUpdate.mDraining;
    AppendChange(mState.mConfig, SetMember{ std::move(member) });
  }

  void operator()(const EndSession& aEnd)
  {
    if (!IsCurrent(aEnd.mInstance, aEnd.mEpoch)) {
      return;
    }
    const Member member = mState.mConfig.mView.mMembers.at(aEnd.mInstance);
    AppendChange(mState.mConfig, RemoveMember{ aEnd.mInstance, aEnd.mEpoch });
    mState.mReplaced.erase(aEnd.mInstance);
    std::erase_if(mState.mExpiredEntries, [&](const auto& aExpired) {
      return mState.mLogical - aExpired.second >= kExpiredEntryTtl;
    });
    // An entry that leaves on purpose has drained first.
    if (member.mRole == MemberRole::eEntry && !member.mDraining) {
      mState.mExpiredEntries[aEnd.mInstance] = mState.mLogical;
    }
    EndMemberSession(member, false);
  }

  void ApplyPlan(const ReplacePlan& aReplace)
  {
    const auto& held = mState.mConfig.mView.mPlan;
    if (held && aReplace.mPlan.mVersion <= held->mVersion) {
      return;
    }
    // Copied, since the view replaces it.
    const std::shared_ptr<const ServingPlan> former = held;
    AppendChange(mState.mConfig, SetPlan{ aReplace.mPlan });
    ApplyPlanToTargets(mState, former.get());
    ApplyPlanToJobs(mState.mLedger,
                    mIndex,
                    mState.mLogical,
                    mCommand.mUnixSeconds,
                    aReplace.mPlan,
                    mOutcome.mEffects);
  }

  void ApplyZone(const SetZone& aSet)
  {
    if (ZoneInService(mState.mConfig.mView, aSet.mZone) != aSet.mInService) {
      AppendChange(mState.mConfig,
                   SetZoneService{ aSet.mZone, aSet.mInService });
    }
  }

  CallReplyBody ApplyZoneOrder(const OrderZone& aOrder)
  {
    const ConfigView& view = mState.mConfig.mView;
    const SetZoneService change{ aOrder.mSet.mZone, aOrder.mSet.mInService };
    const auto changed = view.mObjectRevisions.find(ObjectName(change));
    const bool overtaken =
      changed != view.mObjectRevisions.end() && changed->second > aOrder.mSeen;
    if (overtaken && ZoneInService(view, change.mZone) != change.mInService) {
      return CallFailed{ ErrorKind::eRevisionConflict,
                         "the zone was changed since this entry last heard "
                         "from control; send the order again if it holds" };
    }
    ApplyZone(aOrder.mSet);
    return CallDone{};
  }

  void operator()(const UseRateTolerance& aUse)
  {
    if (mState.mLogical - mState.mToleranceUsedAt >= aUse.mInterval) {
      mState.mToleranceUsedAt = mState.mLogical;
      mOutcome.mMayOverrun = true;
    }
  }

  void operator()(const AdvanceRollout& aAdvance)
  {
    ApplyAdvance(mState, aAdvance);
  }

  // Applies calls of operators and targets, which belong to no workspace. False
  // if the call is another one.
  bool ApplyConfigCall(const CallBody& aBody)
  {
    if (const auto* plan = std::get_if<ReplacePlan>(&aBody)) {
      ApplyPlan(*plan);
    } else if (const auto* zone = std::get_if<SetZone>(&aBody)) {
      ApplyZone(*zone);
    } else if (const auto* order = std::get_if<OrderZone>(&aBody)) {
      mOutcome.mReply = ApplyZoneOrder(*order);
      return true;
    } else if (const auto* report = std::get_if<ReportTargets>(&aBody)) {
      for (const Target& target : report->mSeen) {
        ApplyTargetSeen(mState, target);
      }
      for (const EndedTarget& gone : report->mDeregistered) {
        ApplyTargetGone(mState, gone);
      }
    } else if (const auto* retire = std::get_if<RetireReplica>(&aBody)) {
      mState.mRetiring.insert(retire->mInstance);
    } else if (const auto* begin = std::get_if<BeginRollout>(&aBody)) {
      mOutcome.mReply = ApplyBegin(mState, mIndex, *begin);
      return true;
    } else if (const auto* abort = std::get_if<AbortRollout>(&aBody)) {
      mOutcome.mReply = ApplyAbort(mState, *abort);
      return true;
    } else {
      return false;
    }
    mOutcome.mReply = CallReplyBody(CallDone{});
    return true;
  }

  void operator()(const RemoveTargets& aRemove)
  {
    for (const EndedTarget& silent : aRemove.mTargets) {
      RemoveSilentTarget(mState, silent);
    }
  }

  void operator()(const RemoveUnlistedTargets& aRemove)
  {
    for (const UnlistedTargetStart& silent : aRemove.mTargets) {
      RemoveUnlistedTarget(mState, silent);
    }
  }

  void operator()(const ChangeInputBlocks& aChange)
  {
    const auto& blocks = mState.mConfig.mView.mInputBlocks;
    for (const InputBlockId& id : aChange.mRemove) {
      if (blocks.contains(id)) {
        AppendChange(mState.mConfig, RemoveInputBlock{ id });
      }
    }
    for (const InputBlock& block : aChange.mSet) {
      auto known = blocks.find(block.mId);
      if (known == blocks.end() || known->second != block) {
        AppendChange(mState.mConfig, SetInputBlock{ block });
      }
    }
  }

  void operator()(const ForgetVersions& aForget)
  {
    for (const ForgetVersion& forget : aForget.mVersions) {
      const ConfigView& view = mState.mConfig.mView;
      auto versions = view.mVersions.find(forget.mService);
      if (versions != view.mVersions.end() &&
          versions->second.contains(forget.mVersion) &&
          !HasTargetOf(view, forget.mService, forget.mVersion)) {
        AppendChange(mState.mConfig, forget);
      }
    }
  }

  void operator()(const ControlCall& aCall)
  {
    if (ApplyConfigCall(aCall.mBody)) {
      return;
    }
    if (!IsCurrent(aCall.mEntry, aCall.mEntryEpoch)) {
      mOutcome.mReply =
        CallReplyBody(CallFailed{ ErrorKind::eStaleEpoch,
                                  "the session of the entry has ended; the "
                                  "entry registers and calls again" });
      return;
    }
    if (const auto* submit = std::get_if<SubmitJob>(&aCall.mBody)) {
      mOutcome.mReply = ApplySubmitJob(mState,
                                       mIndex,
                                       mCommand.mUnixSeconds,
                                       aCall,
                                       *submit,
                                       mOutcome.mEffects);
      return;
    }
    if (const auto* cancel = std::get_if<CancelJobByKey>(&aCall.mBody)) {
      mOutcome.mReply = ApplyCancelJobByKey(mState,
                                            mIndex,
                                            mCommand.mUnixSeconds,
                                            aCall,
                                            *cancel,
                                            mOutcome.mEffects);
      return;
    }
    mOutcome.mReply = ApplyCall(mState.mLedger,
                                mIndex,
                                mState.mLogical,
                                mCommand.mUnixSeconds,
                                aCall,
                                mOutcome.mEffects);
  }

  // A session that has ended must get no lease: nothing would ever release its
  // items.
  void operator()(const LeaseItems& aLease)
  {
    if (!IsCurrent(aLease.mNode, aLease.mNodeEpoch)) {
      ItemBatch none;
      none.mGroup = aLease.mGroup;
      none.mNodeEpoch = aLease.mNodeEpoch;
      none.mSequence = aLease.mSequence;
      none.mRetryAfter = Seconds(1);
      mOutcome.mReply = none;
      return;
    }
    mOutcome.mReply =
      ApplyLease(mState.mLedger, mIndex, mState.mLogical, aLease);
  }

  void operator()(const ItemResults& aResults)
  {
    if (!IsCurrent(aResults.mNode, aResults.mNodeEpoch)) {
      mOutcome.mReply = ItemResultsAck{
        aResults.mGroup, aResults.mNodeEpoch, aResults.mSequence, true
      };
      return;
    }
    mOutcome.mReply = ApplyResults(mState.mLedger,
                                   mIndex,
                                   mState.mLogical,
                                   mCommand.mUnixSeconds,
                                   aResults,
                                   mOutcome.mEffects);
  }

  void operator()(const LedgerTick& aTick)
  {
    ApplyLedgerTick(mState.mLedger,
                    mIndex,
                    mState.mLogical,
                    mCommand.mUnixSeconds,
                    aTick.mResultRetention,
                    aTick.mClaimRetention,
                    mOutcome.mEffects);
  }
};

} // namespace

CommandOutcome
ApplyCommand(ControlState& aState,
             LogIndex aIndex,
             const ControlCommand& aCommand)
{
  CommandOutcome outcome;
  aState.mLogical = std::max(aState.mLogical, aCommand.mLogical);
  std::visit(Applier{ aState, aIndex, aCommand, outcome }, aCommand.mBody);
  aState.mApplied = aIndex;
  return outcome;
}

bool
IsCurrentSession(const ConfigView& aView,
                 const InstanceId& aInstance,
                 Epoch aEpoch)
{
  auto member = aView.mMembers.find(aInstance);
  return member != aView.mMembers.end() && member->second.mEpoch == aEpoch;
}

} // namespace caraway
