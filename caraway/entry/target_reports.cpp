// Heartbeats and deregistrations of targets.

#include "caraway/entry/target_reports.h"

#include <algorithm>

#include "caraway/entry/orders.h"

namespace caraway {

namespace {

constexpr Duration kTargetsHeardInterval = Millis(500);
// Interval of reports until the configuration shows the change.
constexpr Duration kReportRetryInterval = Millis(500);

void
Acknowledge(EntryStep& aStep, HttpCallId aCall)
{
  aStep.mOut.emplace_back(
    OrderReply{ aCall, OrderTopic::eTargetReport, CallDone{} });
}

// True if the heartbeat has to be reported to control. That a target is cold is
// reported once, since the time that is left then passes by itself.
bool
NeedsReport(const EntryStep& aStep,
            const Target& aTarget,
            const HeartbeatRecord& aHeard)
{
  const auto& targets = aStep.mEntry.mConfig.mTargets;
  auto known = targets.find(aTarget.mId);
  if (known == targets.end()) {
    return true;
  }
  const Target& held = known->second;
  if (held.mStartedAt != aTarget.mStartedAt) {
    return aTarget.mStartedAt > held.mStartedAt;
  }
  const bool turnedCold =
    aTarget.mColdFor > Duration{} && aStep.mNow >= aHeard.mColdUntil;
  return (aTarget.mDraining && !held.mDraining) || turnedCold ||
         held.mAddress != aTarget.mAddress ||
         held.mService != aTarget.mService || held.mZone != aTarget.mZone ||
         held.mSlots != aTarget.mSlots;
}

void
LogTarget(EntryStep& aStep, const Target& aTarget, const char* aChoice)
{
  DecisionLog log;
  log.mEvent = "target_report";
  log.mChoice = aChoice;
  log.mReason = aTarget.mId.mValue;
  log.mExtra = { { "service", aTarget.mService.mValue },
                 { "address", aTarget.mAddress },
                 { "zone", aTarget.mZone.mValue },
                 { "started_at", std::to_string(aTarget.mStartedAt) },
                 { "cold_ms", std::to_string(aTarget.mColdFor.Millis()) } };
  aStep.mOut.emplace_back(std::move(log));
}

} // namespace

void
HandleTargetHeartbeat(EntryStep& aStep, const TargetHeartbeat& aHeartbeat)
{
  const Target& target = aHeartbeat.mTarget;
  HeartbeatRecord& heard = aStep.mEntry.mReports.mHeartbeats[target.mId];
  const bool late = target.mStartedAt < heard.mStartedAt ||
                    (target.mStartedAt == heard.mStartedAt &&
                     aHeartbeat.mSequence < heard.mSequence);
  if (late) {
    Acknowledge(aStep, aHeartbeat.mCall);
    return;
  }
  if (heard.mStartedAt != target.mStartedAt) {
    heard = {};
    heard.mStartedAt = target.mStartedAt;
  }
  heard.mSequence = aHeartbeat.mSequence;
  heard.mHeardAt = aStep.mNow;
  aStep.mEntry.mReports.mPendingHeard.push_back(target.mId);
  const bool changed = NeedsReport(aStep, target, heard);
  if (target.mColdFor > Duration{}) {
    heard.mColdUntil = aStep.mNow + target.mColdFor;
  }
  if (!changed) {
    Acknowledge(aStep, aHeartbeat.mCall);
    return;
  }
  // The heartbeat of a draining target is acknowledged only after the reply of
  // control, so that all entries learn of it in time.
  if (aStep.mNow - heard.mReportedAt >= kReportRetryInterval) {
    heard.mReportedAt = aStep.mNow;
    LogTarget(aStep, target, target.mDraining ? "leaving" : "changed");
    StartReport(aStep,
                target.mDraining ? aHeartbeat.mCall : HttpCallId(),
                ReportTargets{ { target }, {} });
    if (target.mDraining) {
      return;
    }
  }
  Acknowledge(aStep, aHeartbeat.mCall);
}

void
HandleTargetDeregistration(EntryStep& aStep,
                           const TargetDeregistration& aDeregistration)
{
  Entry& entry = aStep.mEntry;
  int64_t startedAt = aDeregistration.mStartedAt;
  if (startedAt == 0) {
    auto known = entry.mConfig.mTargets.find(aDeregistration.mTarget);
    auto heard = entry.mReports.mHeartbeats.find(aDeregistration.mTarget);
    startedAt = std::max(
      known == entry.mConfig.mTargets.end() ? 0 : known->second.mStartedAt,
      heard == entry.mReports.mHeartbeats.end() ? 0 : heard->second.mStartedAt);
  }
  entry.mGoneTargets.insert({ aDeregistration.mTarget, startedAt });
  Target gone;
  gone.mId = aDeregistration.mTarget;
  gone.mStartedAt = startedAt;
  LogTarget(aStep, gone, "gone");
  StartReport(aStep,
              aDeregistration.mCall,
              ReportTargets{ {}, { { aDeregistration.mTarget, startedAt } } });
}

void
ReportLeaving(EntryStep& aStep, const Target& aTarget)
{
  Target leaving = aTarget;
  leaving.mDraining = true;
  leaving.mColdFor = {};
  LogTarget(aStep, leaving, "leaving, by its answer");
  StartReport(aStep, HttpCallId(), ReportTargets{ { leaving }, {} });
}

void
TickTargetReports(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  TargetReports& reports = entry.mReports;
  if (reports.mPendingHeard.empty() || aStep.mNow < reports.mNextTargetsHeard ||
      entry.mSession.mLeader.Empty()) {
    return;
  }
  reports.mNextTargetsHeard = aStep.mNow + kTargetsHeardInterval;
  std::sort(reports.mPendingHeard.begin(), reports.mPendingHeard.end());
  reports.mPendingHeard.erase(
    std::unique(reports.mPendingHeard.begin(), reports.mPendingHeard.end()),
    reports.mPendingHeard.end());
  Send(aStep,
       entry.mSession.mLeader,
       TargetsHeard{ std::move(reports.mPendingHeard) });
  reports.mPendingHeard.clear();
}

MonoTime
TargetReportsWakeup(const Entry& aEntry)
{
  return aEntry.mReports.mPendingHeard.empty()
           ? kNever
           : aEntry.mReports.mNextTargetsHeard;
}

} // namespace caraway
