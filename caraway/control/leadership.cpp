// Beginning and end of a leadership, and the leader's periodic duties.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/admission/grantor.h"
#include "caraway/control/step.h"
#include "caraway/ledger/ledger.h"

namespace caraway {

namespace {

constexpr Duration kScanEvery = Millis(200);

// Logical time moves at least this often, so that a change of leader costs
// deadlines no more than this.
constexpr Duration kTickAtLeast = Seconds(5);
constexpr Duration kTickAtMost = Seconds(1);

void
EndLeadership(ControlStep& aStep)
{
  Leadership ended = std::move(aStep.mControl.mLeadership);
  aStep.mControl.mLeadership = Leadership{};
  for (const auto& [index, proposal] : ended.mProposals) {
    FailProposal(aStep, proposal.mWaiting);
  }
  aStep.mControl.mFetches = BlobFetches{ aStep.mControl.mFetches.mLastRead,
                                         aStep.mControl.mFetches.mLastFetch,
                                         {},
                                         {} };
}

void
BeginLeadership(ControlStep& aStep)
{
  Control& control = aStep.mControl;
  Leadership& leadership = control.mLeadership;
  leadership.mStarted = true;
  leadership.mTerm = TermOf(control.mRaft);
  leadership.mStartedAt = aStep.mNow;
  leadership.mLogicalBase = control.mState.mLogical;
  leadership.mNextScan = aStep.mNow + kScanEvery;
  leadership.mLastTick = aStep.mNow;
  const ConfigView& view = control.mState.mConfig.mView;
  for (const auto& [id, target] : view.mTargets) {
    leadership.mTargetHeard[id] = aStep.mNow;
  }
  StartSessions(
    leadership.mSessions, aStep.mNow, control.mSettings.mConfigLease, view);
  StartGrantor(leadership.mGrantor,
               aStep.mNow,
               view,
               control.mSettings.mGrantLease,
               control.mSettings.mConfigLease,
               TermOf(control.mRaft));
}

void
RemoveLostMembers(ControlStep& aStep)
{
  Control& control = aStep.mControl;
  const std::vector<LostMember> lost =
    LostMembers(control.mLeadership.mSessions,
                aStep.mNow,
                control.mSettings.mRemovalGrace,
                control.mState.mConfig.mView);
  for (const LostMember& member : lost) {
    Log(aStep,
        "remove_member",
        member.mInstance.mValue,
        absl::StrCat("no renewal in epoch ", member.mEpoch.mValue));
    (void)Propose(aStep, EndSession{ member.mInstance, member.mEpoch }, {});
  }
}

void
ProposeTick(ControlStep& aStep)
{
  Control& control = aStep.mControl;
  Leadership& leadership = control.mLeadership;
  const Duration since = aStep.mNow - leadership.mLastTick;
  const bool due = NextLedgerTick(control.mState.mLedger) <= LogicalNow(aStep);
  if (leadership.mTickOpen || since < kTickAtMost ||
      (!due && since < kTickAtLeast)) {
    return;
  }
  const LedgerTick tick{ control.mSettings.mResultRetention,
                         control.mSettings.mClaimRetention };
  if (Propose(aStep, tick, WaitingTick{}).ok()) {
    leadership.mTickOpen = true;
    leadership.mLastTick = aStep.mNow;
  }
}

} // namespace

void
UpdateLeadership(ControlStep& aStep)
{
  Control& control = aStep.mControl;
  Leadership& leadership = control.mLeadership;
  const bool leads = IsLeader(control.mRaft);
  if (leadership.mStarted &&
      (!leads || leadership.mTerm != TermOf(control.mRaft))) {
    EndLeadership(aStep);
  }
  if (leads && !leadership.mStarted &&
      HoldsLeaderLease(control.mRaft, aStep.mNow)) {
    BeginLeadership(aStep);
  }
}

void
RunLeaderDuties(ControlStep& aStep)
{
  Leadership& leadership = aStep.mControl.mLeadership;
  if (!leadership.mStarted || aStep.mNow < leadership.mNextScan) {
    return;
  }
  leadership.mNextScan = aStep.mNow + kScanEvery;
  if (MayServe(aStep)) {
    RemoveLostMembers(aStep);
    RemoveSilentTargets(aStep);
    CareForReplicas(aStep);
    ProposeTick(aStep);
  }
}

} // namespace caraway
