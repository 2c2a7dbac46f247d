// The leader's part in roll-outs: sums up the evidence of entries and nodes,
// judges the version on trial, and proposes the next phase.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/config/stream_versions.h"
#include "caraway/config/target_use.h"
#include "caraway/control/step.h"
#include "caraway/rollout/progress.h"

namespace caraway {

namespace {

// A step that was not applied by then is proposed again.
constexpr Duration kProposeAgain = Seconds(1);
constexpr Duration kLineInterval = Seconds(5);
constexpr size_t kEntriesInLine = 3; // with the most trial requests

const ConfigView&
ViewOf(const ControlStep& aStep)
{
  return aStep.mControl.mState.mConfig.mView;
}

// The watch of the roll-out; a new one if it has just begun.
RolloutWatch&
WatchOf(ControlStep& aStep, const Rollout& aRollout)
{
  RolloutWatch& watch = aStep.mControl.mLeadership.mRollouts[aRollout.mService];
  if (watch.mNumber != aRollout.mNumber) {
    watch = {};
    watch.mNumber = aRollout.mNumber;
  }
  return watch;
}

void
AddSlots(const ConfigView& aView,
         const Rollout& aRollout,
         RolloutStatus& aStatus)
{
  for (const auto& [id, target] : aView.mTargets) {
    if (!TakesWork(aView, target)) {
      continue;
    }
    if (IsTrialVersion(aRollout, target)) {
      aStatus.mTrialSlots += target.mSlots;
    } else if (IsOldVersion(aRollout, target)) {
      aStatus.mOldSlots += target.mSlots;
    }
  }
}

// True if the entry may have calls in progress or begin new ones: it may hold a
// lease, also one of a former leader or session.
bool
MayHaveCalls(const ControlStep& aStep, const InstanceId& aEntry)
{
  const Sessions& sessions = aStep.mControl.mLeadership.mSessions;
  auto session = sessions.mSessions.find(aEntry);
  return session != sessions.mSessions.end() &&
         aStep.mNow <
           std::max(session->second.mLeaseEnd,
                    GrantorLeaseEnd(session->second.mStarted, sessions.mLease));
}

// Adds what entries report of calls at the old versions.
void
AddCallsAtOld(const ControlStep& aStep,
              const Rollout& aRollout,
              const RolloutWatch& aWatch,
              RolloutStatus& aStatus)
{
  const ConfigView& view = ViewOf(aStep);
  const Revision changed =
    ObjectRevision(view, ObjectName(SetRollout{ aRollout }));
  aStatus.mAllReported = true;
  for (const auto& [id, member] : view.mMembers) {
    if (member.mRole != MemberRole::eEntry || !MayHaveCalls(aStep, id)) {
      continue;
    }
    auto report = aWatch.mReports.find(id);
    if (report == aWatch.mReports.end() || report->second.mRevision < changed) {
      aStatus.mAllReported = false;
    } else {
      aStatus.mCallsAtOld += report->second.mCallsAtOld;
    }
  }
}

RolloutStatus
StatusOf(const ControlStep& aStep,
         const Rollout& aRollout,
         const RolloutWatch& aWatch)
{
  RolloutStatus status;
  status.mJudgement = JudgeRollout(SumEvidence(aWatch));
  AddSlots(ViewOf(aStep), aRollout, status);
  status.mStreamTime = LongestStream(ViewOf(aStep));
  AddCallsAtOld(aStep, aRollout, aWatch, status);
  return status;
}

// The entries with the most trial requests, as "NAME:TRIAL/REQUESTS".
std::string
MostExposed(const RolloutWatch& aWatch)
{
  std::vector<const RolloutReport*> reports;
  for (const auto& [entry, report] : aWatch.mReports) {
    reports.push_back(&report);
  }
  const size_t count = std::min(kEntriesInLine, reports.size());
  std::partial_sort(
    reports.begin(),
    reports.begin() + static_cast<ptrdiff_t>(count),
    reports.end(),
    [](const RolloutReport* aLeft, const RolloutReport* aRight) {
      return aLeft->mTrial > aRight->mTrial;
    });
  std::string text;
  for (size_t at = 0; at < count; ++at) {
    absl::StrAppend(&text,
                    at > 0 ? "," : "",
                    reports[at]->mEntry.mValue,
                    ":",
                    reports[at]->mTrial,
                    "/",
                    reports[at]->mRequests);
  }
  return text;
}

void
LogRollout(ControlStep& aStep,
           const Rollout& aRollout,
           const RolloutWatch& aWatch,
           const RolloutStatus& aStatus,
           LogLevel aLevel,
           std::string aChoice,
           std::string aReason)
{
  const Exposure exposure = SumExposure(aWatch);
  DecisionLog log;
  log.mLevel = aLevel;
  log.mEvent = "rollout";
  log.mChoice = std::move(aChoice);
  log.mReason = std::move(aReason);
  log.mExtra = {
    { "service", aRollout.mService.mValue },
    { "to", aRollout.mTo },
    { "phase", std::string(RolloutPhaseName(aRollout.mPhase)) },
    { "age_ms",
      absl::StrCat((LogicalNow(aStep) - aRollout.mBegunAt).Millis()) },
    { "duration_ms", absl::StrCat(aRollout.mDuration.Millis()) },
    { "entries", absl::StrCat(aWatch.mReports.size()) },
    { "requests", absl::StrCat(exposure.mRequests) },
    { "trial_requests", absl::StrCat(exposure.mTrial) },
    { "most_exposed", MostExposed(aWatch) },
    { "trial_answers", absl::StrCat(aStatus.mJudgement.mAnswers) },
    { "trial_failures", absl::StrCat(aStatus.mJudgement.mFailures) },
    { "items", absl::StrCat(aWatch.mItemsLeased) },
    { "trial_items", absl::StrCat(aWatch.mTrialItemsLeased) },
    { "calls_at_old", absl::StrCat(aStatus.mCallsAtOld) },
  };
  aStep.mOut.emplace_back(std::move(log));
}

void
RunRollout(ControlStep& aStep, const Rollout& aRollout)
{
  RolloutWatch& watch = WatchOf(aStep, aRollout);
  const RolloutStatus status = StatusOf(aStep, aRollout, watch);
  const MonoTime logical = LogicalNow(aStep);
  const std::optional<RolloutStep> step =
    NextRolloutStep(aRollout, status, logical);
  if (!step) {
    if (aStep.mNow >= watch.mNextLine) {
      watch.mNextLine = aStep.mNow + kLineInterval;
      const std::string alarm = RolloutAlarm(aRollout, status, logical);
      LogRollout(aStep,
                 aRollout,
                 watch,
                 status,
                 alarm.empty() ? LogLevel::eInfo : LogLevel::eWarning,
                 alarm.empty() ? "waits" : "late",
                 alarm.empty() ? status.mJudgement.mReason : alarm);
    }
    return;
  }
  if (aStep.mNow - watch.mProposedAt < kProposeAgain) {
    return;
  }
  watch.mProposedAt = aStep.mNow;
  ++aStep.mControl.mCounters.mRolloutSteps;
  LogRollout(aStep,
             aRollout,
             watch,
             status,
             LogLevel::eInfo,
             std::string(RolloutPhaseName(step->mNext)),
             step->mReason);
  (void)Propose(
    aStep,
    AdvanceRollout{
      aRollout.mService, aRollout.mNumber, aRollout.mPhase, step->mNext },
    {});
}

// The target beside a node and the roll-out of its service; nullptr where there
// is none.
struct NodeRollout
{
  const Target* mTarget = nullptr;
  const Rollout* mRollout = nullptr;
};

NodeRollout
RolloutAtNode(const ControlStep& aStep, const InstanceId& aNode)
{
  const ConfigView& view = ViewOf(aStep);
  auto member = view.mMembers.find(aNode);
  if (member == view.mMembers.end()) {
    return {};
  }
  auto target = view.mTargets.find(member->second.mTarget.mId);
  if (target == view.mTargets.end()) {
    return {};
  }
  return { &target->second, FindRollout(view, target->second.mService) };
}

} // namespace

RolloutEvidence
SumEvidence(const RolloutWatch& aWatch)
{
  RolloutEvidence evidence;
  for (const auto& [entry, report] : aWatch.mReports) {
    for (const RouteAnswers& answers : report.mAnswers) {
      AddCounts(answers.mTarget.Empty()
                  ? evidence.mBeside[answers.mRoute]
                  : evidence.mTrial[answers.mRoute][answers.mTarget],
                answers.mCounts);
    }
  }
  if (aWatch.mItemsBeside.mAnswers > 0) {
    evidence.mBeside[kBatchItems] = aWatch.mItemsBeside;
  }
  if (!aWatch.mTrialItems.empty()) {
    evidence.mTrial[kBatchItems] = aWatch.mTrialItems;
  }
  return evidence;
}

Exposure
SumExposure(const RolloutWatch& aWatch)
{
  Exposure sum;
  for (const auto& [entry, report] : aWatch.mReports) {
    sum.mRequests += report.mRequests;
    sum.mTrial += report.mTrial;
  }
  return sum;
}

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const RolloutReport& aMessage)
{
  if (!CheckLeader(aStep, aFrom)) {
    return;
  }
  const Rollout* rollout = FindRollout(ViewOf(aStep), aMessage.mService);
  if (rollout == nullptr || rollout->mNumber != aMessage.mNumber ||
      !ViewOf(aStep).mMembers.contains(aMessage.mEntry)) {
    return;
  }
  RolloutReport& last = WatchOf(aStep, *rollout).mReports[aMessage.mEntry];
  // An entry that has restarted begins with lower counts and, mostly, a later
  // revision; a report that was overtaken has an earlier one.
  if (aMessage.mRevision >= last.mRevision) {
    last = aMessage;
  }
}

void
RunRollouts(ControlStep& aStep)
{
  const auto& rollouts = ViewOf(aStep).mRollouts;
  std::erase_if(aStep.mControl.mLeadership.mRollouts, [&](const auto& aWatch) {
    auto rollout = rollouts.find(aWatch.first);
    return rollout == rollouts.end() || !IsActive(rollout->second);
  });
  for (const auto& [service, rollout] : rollouts) {
    if (IsActive(rollout)) {
      RunRollout(aStep, rollout);
    }
  }
}

uint32_t
ItemsForRollout(ControlStep& aStep, const InstanceId& aNode, uint32_t aWanted)
{
  const auto [target, rollout] = RolloutAtNode(aStep, aNode);
  if (rollout == nullptr) {
    return aWanted;
  }
  if (IsOutOfUse(ViewOf(aStep), *target) ||
      (rollout->mPhase == RolloutPhase::eMoving &&
       IsOldVersion(*rollout, *target))) {
    return 0;
  }
  if (rollout->mPhase != RolloutPhase::eTrial ||
      !IsTrialVersion(*rollout, *target)) {
    return aWanted;
  }
  const RolloutWatch& watch = WatchOf(aStep, *rollout);
  const Exposure items{ watch.mItemsLeased,
                        watch.mTrialItemsLeased + watch.mTrialLeases.size() -
                          watch.mTrialLeases.count(aNode) };
  return MayExpose(items,
                   aStep.mControl.mSettings.mExposure.mShare,
                   0,
                   TrialUse::eNewRequest)
           ? 1
           : 0;
}

void
ReserveItems(ControlStep& aStep, const InstanceId& aNode)
{
  const auto [target, rollout] = RolloutAtNode(aStep, aNode);
  if (rollout != nullptr && IsActive(*rollout) &&
      IsTrialVersion(*rollout, *target)) {
    WatchOf(aStep, *rollout).mTrialLeases.insert(aNode);
  }
}

void
CountLeasedItems(ControlStep& aStep,
                 const InstanceId& aNode,
                 const ItemBatch& aBatch)
{
  const auto [target, rollout] = RolloutAtNode(aStep, aNode);
  if (rollout == nullptr || !IsActive(*rollout)) {
    return;
  }
  RolloutWatch& watch = WatchOf(aStep, *rollout);
  watch.mTrialLeases.erase(aNode);
  watch.mItemsLeased += aBatch.mItems.size();
  if (IsTrialVersion(*rollout, *target)) {
    watch.mTrialItemsLeased += aBatch.mItems.size();
  }
}

void
CountItemResults(ControlStep& aStep, const ItemResults& aResults)
{
  const auto [target, rollout] = RolloutAtNode(aStep, aResults.mNode);
  if (rollout == nullptr || !IsActive(*rollout)) {
    return;
  }
  RolloutWatch& watch = WatchOf(aStep, *rollout);
  auto& counted = watch.mResultsCounted[aResults.mNode];
  const std::pair results(aResults.mNodeEpoch, aResults.mSequence);
  if (results <= counted) {
    return;
  }
  counted = results;
  if (IsWithdrawnVersion(*rollout, target->mVersion)) {
    return;
  }
  AnswerCounts& counts = IsTrialVersion(*rollout, *target)
                           ? watch.mTrialItems[target->mId]
                           : watch.mItemsBeside;
  for (const ItemResult& result : aResults.mResults) {
    // Of the other verdicts, the item itself or nobody is the cause.
    const bool failed = result.mVerdict == ItemVerdict::eRetryable;
    if (failed || result.mVerdict == ItemVerdict::eDone) {
      ++counts.mAnswers;
      counts.mFailures += failed ? 1 : 0;
    }
  }
}

} // namespace caraway
