// Applies committed entries: updates the durable state and the leader's soft
// state, executes effects and replies to proposals.

#include "absl/strings/str_cat.h"
#include "caraway/admission/grantor.h"
#include "caraway/base/absl_view.h"
#include "caraway/consensus/replica_codec.h"
#include "caraway/control/step.h"

namespace caraway {

namespace {

void
SendRevocations(ControlStep& aStep, const JobRevokedEffect& aRevoked)
{
  const auto& members = aStep.mControl.mState.mConfig.mView.mMembers;
  for (const InstanceId& node : aRevoked.mNodes) {
    auto member = members.find(node);
    if (member != members.end()) {
      Send(aStep,
           member->second.mAddress,
           ItemsRevoked{ GroupId(), aRevoked.mJob });
    }
  }
}

// Every replica writes the blobs; only the leader sends messages to nodes.
void
ExecuteEffects(ControlStep& aStep, std::vector<LedgerEffect>& aEffects)
{
  for (LedgerEffect& effect : aEffects) {
    if (auto* write = std::get_if<BlobWriteEffect>(&effect)) {
      aStep.mOut.emplace_back(WriteBlob{
        std::move(write->mName), write->mOffset, std::move(write->mBytes) });
    } else if (auto* remove = std::get_if<BlobRemoveEffect>(&effect)) {
      aStep.mOut.emplace_back(RemoveBlob{ std::move(remove->mName) });
    } else if (auto* leased = std::get_if<ItemsLeasedEffect>(&effect)) {
      aStep.mControl.mCounters.mItemsLeased += leased->mItems.size();
    } else if (auto* revoked = std::get_if<JobRevokedEffect>(&effect)) {
      if (IsLeader(aStep.mControl.mRaft)) {
        SendRevocations(aStep, *revoked);
      }
    }
  }
}

// Returns the proposal that this leader made for the entry, if index and term
// match. Other proposals at or below the index are lost.
std::optional<Proposal>
TakeProposal(ControlStep& aStep, LogIndex aIndex, Term aTerm)
{
  auto& proposals = aStep.mControl.mLeadership.mProposals;
  std::optional<Proposal> taken;
  while (!proposals.empty() && proposals.begin()->first <= aIndex) {
    auto first = proposals.extract(proposals.begin());
    if (first.key() == aIndex && first.mapped().mTerm == aTerm) {
      taken = std::move(first.mapped());
    } else {
      FailProposal(aStep, first.mapped().mPendingReply);
    }
  }
  return taken;
}

struct StateBefore
{
  Revision mRevision;
  LogIndex mIndex;
  uint64_t mPlanVersion = 0; // 0: no plan
};

// Updates sessions, grants and in-force tracking after a command.
void
UpdateSoftState(ControlStep& aStep,
                const StateBefore& aBefore,
                const CommandOutcome& aOutcome,
                const ControlCommand& aCommand,
                bool aLeft)
{
  Leadership& leadership = aStep.mControl.mLeadership;
  if (!leadership.mStarted) {
    return;
  }
  for (const FinishedSession& ended : aOutcome.mEnded) {
    SessionEnded(leadership.mSessions,
                 aStep.mNow,
                 ended.mInstance,
                 ended.mEpoch,
                 aLeft && !ended.mReplaced);
    if (ended.mReplaced) {
      ReplaceGrantorSession(leadership.mGrantor, aStep.mNow, ended.mEpoch);
    } else {
      EndGrantorSession(leadership.mGrantor, ended.mInstance, ended.mEpoch);
    }
    aStep.mControl.mCounters.mRemoved += ended.mReplaced || aLeft ? 0 : 1;
  }
  const auto* registered = std::get_if<RegisterResult>(&aOutcome.mReply);
  if (registered != nullptr &&
      registered->mEpoch == Epoch(aBefore.mIndex.mValue)) {
    SessionStarted(leadership.mSessions,
                   aStep.mNow,
                   std::get<RegisterMember>(aCommand.mBody).mMember.mInstance,
                   registered->mEpoch,
                   aStep.mControl.mState.mConfig.mView.mRevision);
  }
  if (aOutcome.mMayOverrun) {
    AllowOverrun(leadership.mGrantor,
                 aStep.mControl.mSettings.mRateTolerance,
                 leadership.mToleranceAskedAt + kLeaderOverrunTime);
  }
  const auto& plan = aStep.mControl.mState.mConfig.mView.mPlan;
  if (plan && plan->mVersion != aBefore.mPlanVersion) {
    PlanApplied(aStep);
  }
  const Revision newest = aStep.mControl.mState.mConfig.mView.mRevision;
  if (newest != aBefore.mRevision) {
    RevisionApplied(leadership.mSessions, aStep.mNow, newest);
  }
}

// Notifies nodes that found no work before, so that their free capacity does
// not wait for their next lease request.
void
NotifyIdleNodes(ControlStep& aStep)
{
  constexpr size_t kMaxNotified = 32; // nodes in one step
  auto& idle = aStep.mControl.mLeadership.mIdleNodes;
  if (idle.empty() || aStep.mControl.mState.mLedger.mReady.empty()) {
    return;
  }
  for (size_t notified = 0; notified < kMaxNotified && !idle.empty();
       ++notified) {
    Send(aStep, *idle.begin(), WorkAvailable{});
    idle.erase(idle.begin());
  }
}

void
ApplyCommandEntry(ControlStep& aStep,
                  const LogEntry& aEntry,
                  std::optional<Proposal> aProposal)
{
  Control& control = aStep.mControl;
  absl::StatusOr<ControlCommand> command = DecodeCommand(aEntry.mPayload);
  if (!command.ok()) {
    control.mHalted = true;
    aStep.mOut.emplace_back(Halt{ absl::StrCat("log entry ",
                                               aEntry.mIndex.mValue,
                                               " cannot be decoded: ",
                                               command.status().message()) });
    return;
  }
  const ConfigView& view = control.mState.mConfig.mView;
  const StateBefore before{ view.mRevision,
                            aEntry.mIndex,
                            view.mPlan ? view.mPlan->mVersion : 0 };
  PardonLiftedInput(aStep, command->mBody);
  CommandOutcome outcome =
    ApplyCommand(control.mState, aEntry.mIndex, *command);
  const bool left = aProposal && std::holds_alternative<PendingLeaveReply>(
                                   aProposal->mPendingReply);
  for (const FinishedSession& ended : outcome.mEnded) {
    if (ended.mEntry && !ended.mReplaced) {
      control.mEntryLeft = aStep.mNow;
    }
  }
  UpdateSoftState(aStep, before, outcome, *command, left);
  ExecuteEffects(aStep, outcome.mEffects);
  const auto* call = std::get_if<ControlCall>(&command->mBody);
  const auto* to = aProposal
                     ? std::get_if<PendingCallReply>(&aProposal->mPendingReply)
                     : nullptr;
  const bool held =
    call != nullptr && to != nullptr && HoldPlanReply(aStep, *to, call->mBody);
  if (aProposal && !held) {
    AnswerProposal(aStep, aProposal->mPendingReply, std::move(outcome.mReply));
  }
  NotifyIdleNodes(aStep);
}

} // namespace

void
ApplyEntries(ControlStep& aStep, const std::vector<LogEntry>& aEntries)
{
  Control& control = aStep.mControl;
  for (const LogEntry& entry : aEntries) {
    if (control.mHalted) {
      return;
    }
    // An installed snapshot may already contain the entry.
    if (entry.mIndex <= control.mState.mApplied) {
      continue;
    }
    std::optional<Proposal> proposal =
      TakeProposal(aStep, entry.mIndex, entry.mTerm);
    if (entry.mKind == LogEntryKind::eCommand) {
      ApplyCommandEntry(aStep, entry, std::move(proposal));
    } else {
      control.mState.mApplied = entry.mIndex;
      if (entry.mKind == LogEntryKind::eMembership) {
        absl::StatusOr<ReplicaSet> replicas = DecodeReplicaSet(entry.mPayload);
        if (replicas.ok()) {
          control.mAppliedReplicas = *std::move(replicas);
        }
      }
      if (proposal) {
        AnswerProposal(aStep, proposal->mPendingReply, {});
      }
    }
  }
}

} // namespace caraway
