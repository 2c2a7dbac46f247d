// Starts and ends a leadership and runs the leader's periodic duties.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/admission/grantor.h"
#include "caraway/control/step.h"
#include "caraway/ledger/ledger.h"

namespace caraway {

namespace {

constexpr Duration kScanInterval = Millis(200);

// A ledger tick is proposed at least this often, which advances logical time,
// so that a change of leader delays deadlines by no more than this.
constexpr Duration kMaxTickInterval = Seconds(5);
// Ticks that are due earlier wait for this long after the last one.
constexpr Duration kMinTickInterval = Seconds(1);

void
EndLeadership(ControlStep& aStep)
{
  Leadership ended = std::move(aStep.mControl.mLeadership);
  aStep.mControl.mLeadership = Leadership{};
  for (const auto& [index, proposal] : ended.mProposals) {
    FailProposal(aStep, proposal.mPendingReply);
  }
  aStep.mControl.mFetches = BlobFetches{ aStep.mControl.mFetches.mLastRead,
                                         aStep.mControl.mFetches.mLastFetch,
                                         {},
                                         {} };
}

// The buckets of a new leader are empty, and nobody may know what was admitted
// before. Its part of the tolerance bridges the time until they have refilled.
void
AskForRateTolerance(ControlStep& aStep)
{
  const RateTolerance& tolerance = aStep.mControl.mSettings.mRateTolerance;
  if (tolerance.mWindow <= Duration{}) {
    return;
  }
  aStep.mControl.mLeadership.mToleranceAskedAt = aStep.mNow;
  // Logical time may lag behind the clock that ends the use, never run ahead.
  (void)Propose(
    aStep, UseRateTolerance{ tolerance.mWindow + kLeaderOverrunTime }, {});
}

void
BeginLeadership(ControlStep& aStep)
{
  Control& control = aStep.mControl;
  Leadership& leadership = control.mLeadership;
  leadership.mStarted = true;
  ForgetDecisions(control.mEvidence);
  leadership.mTerm = TermOf(control.mRaft);
  leadership.mStartedAt = aStep.mNow;
  leadership.mLogicalBase = control.mState.mLogical;
  leadership.mNextScan = aStep.mNow + kScanInterval;
  leadership.mLastTick = aStep.mNow;
  PlanApplied(aStep);
  const ConfigView& view = control.mState.mConfig.mView;
  for (const auto& [id, target] : view.mTargets) {
    leadership.mTargetHeardAt[id] = aStep.mNow;
  }
  StartSessions(
    leadership.mSessions, aStep.mNow, control.mSettings.mConfigLease, view);
  StartGrantor(leadership.mGrantor,
               aStep.mNow,
               view,
               control.mSettings.mGrantLease,
               control.mSettings.mConfigLease,
               TermOf(control.mRaft),
               control.mEntryLeft);
  UpdateRateShare(aStep);
  AskForRateTolerance(aStep);
  // Entries that waited for the former leader continue at once.
  for (const auto& [id, member] : view.mMembers) {
    if (member.mRole == MemberRole::eEntry) {
      Send(aStep, member.mAddress, Leading{ leadership.mTerm });
    }
  }
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
  if (leadership.mTickPending || since < kMinTickInterval ||
      (!due && since < kMaxTickInterval)) {
    return;
  }
  const LedgerTick tick{ control.mSettings.mResultRetention,
                         control.mSettings.mClaimRetention };
  if (Propose(aStep, tick, PendingTick{}).ok()) {
    leadership.mTickPending = true;
    leadership.mLastTick = aStep.mNow;
  }
}

} // namespace

// Entries that are cut off admit their share of each rate on their own, so the
// grantor distributes only the rest. That holds for entries that an earlier
// leader gave up as well.
//
// Where the deployment states a tolerance, lenders hold the shares instead, and
// the division of each workspace differs (admission/lending.h).
//
// Invariant, for N entries: mRateShare <= 1 - C / N, where C is the number of
// entries whose lease ended, by their own clocks, more than a scan and less
// than kExpiredEntryTtl ago.
void
UpdateRateShare(ControlStep& aStep)
{
  Leadership& leadership = aStep.mControl.mLeadership;
  if (!aStep.mControl.mSettings.mEntriesAdmitWhenCutOff) {
    return;
  }
  size_t present = 0;
  RateDivision division{ aStep.mControl.mSettings.mRateTolerance, {}, {} };
  for (const auto& [id, since] : aStep.mControl.mState.mExpiredEntries) {
    if (LogicalNow(aStep) - since < kExpiredEntryTtl) {
      division.mEntries.push_back(id);
      division.mAway.insert(id);
    }
  }
  const ConfigView& view = aStep.mControl.mState.mConfig.mView;
  for (const auto& [id, member] : view.mMembers) {
    if (member.mRole != MemberRole::eEntry) {
      continue;
    }
    auto session = leadership.mSessions.mSessions.find(id);
    // One that has not renewed under this leader may have been cut off before
    // its election.
    const bool holds = session != leadership.mSessions.mSessions.end() &&
                       session->second.mHoldsUntil > aStep.mNow;
    division.mEntries.push_back(id);
    if (holds) {
      ++present;
    } else {
      division.mAway.insert(id);
    }
  }
  leadership.mGrantor.mRateShare =
    division.mEntries.empty() ? 1.0
                              : static_cast<double>(present) /
                                  static_cast<double>(division.mEntries.size());
  if (division.mTolerance.mWindow > Duration{}) {
    DivideRates(leadership.mGrantor, aStep.mNow, view, std::move(division));
  }
}

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
  if (leadership.mStarted && MayServe(aStep)) {
    SendPlanReplies(aStep);
    if (aStep.mNow >= NextWakeup(aStep.mControl.mEvidence)) {
      DecideInputBlocks(aStep);
    }
  }
  if (!leadership.mStarted || aStep.mNow < leadership.mNextScan) {
    return;
  }
  leadership.mNextScan = aStep.mNow + kScanInterval;
  if (MayServe(aStep)) {
    RemoveLostMembers(aStep);
    UpdateRateShare(aStep);
    RemoveSilentTargets(aStep);
    ReconcileReplicas(aStep);
    DecideInputBlocks(aStep);
    ForgetUnusedVersions(aStep);
    RunRollouts(aStep);
    ProposeTick(aStep);
  }
}

} // namespace caraway
