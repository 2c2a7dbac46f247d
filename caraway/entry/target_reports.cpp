// Heartbeats and deregistrations of targets.

#include "caraway/entry/target_reports.h"

#include <algorithm>

#include "caraway/entry/orders.h"

namespace caraway {

namespace {

constexpr Duration kTargetsHeardInterval = Millis(500);
// Interval of reports until the configuration shows the change.
constexpr Duration kReportRetryInterval = Millis(500);
// Heartbeats come at most some seconds late, so that older records are of no
// use.
constexpr Duration kHeartbeatRecordTtl = Seconds(60);
constexpr Duration kDropInterval = Seconds(10);
// Bounds the memory that a writer with ever new ids and addresses takes up.
constexpr size_t kMaxHeartbeatRecords = 8192;
constexpr size_t kMaxUnlistedAddresses = 1024;
constexpr size_t kMaxGoneTargets = 1024;

void
Acknowledge(EntryStep& aStep, HttpCallId aCall)
{
  aStep.mOut.emplace_back(
    OrderReply{ aCall, OrderTopic::eTargetReport, CallDone{} });
}

void
DropOldRecords(EntryStep& aStep)
{
  TargetReports& reports = aStep.mEntry.mReports;
  if (aStep.mNow < reports.mNextDrop) {
    return;
  }
  reports.mNextDrop = aStep.mNow + kDropInterval;
  std::erase_if(reports.mHeartbeats, [&](const auto& aHeard) {
    return aStep.mNow - aHeard.second.mHeardAt >= kHeartbeatRecordTtl;
  });
  std::erase_if(reports.mUnlistedHeard, [&](const auto& aHeard) {
    return aStep.mNow - aHeard.second >= kHeartbeatRecordTtl;
  });
}

HeartbeatRecord&
RecordOf(EntryStep& aStep, const Target& aTarget)
{
  DropOldRecords(aStep);
  auto& records = aStep.mEntry.mReports.mHeartbeats;
  const std::pair key(aTarget.mId, aTarget.mService);
  if (records.size() >= kMaxHeartbeatRecords && !records.contains(key)) {
    records.erase(std::min_element(
      records.begin(), records.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second.mHeardAt < aTwo.second.mHeardAt;
      }));
  }
  return records[key];
}

bool
IsListed(const Entry& aEntry, const ServiceId& aService)
{
  const auto& plan = aEntry.mConfig.mPlan;
  return plan && PlanServiceById(*plan, aService) != nullptr;
}

// True if the configuration has the target, and not another writer's under its
// id.
bool
HasRecord(const Entry& aEntry, const Target& aTarget)
{
  const auto known = aEntry.mConfig.mTargets.find(aTarget.mId);
  return known != aEntry.mConfig.mTargets.end() &&
         known->second.mService == aTarget.mService;
}

// True if this is the first heartbeat for a while that names a service at the
// address that the configuration does not list.
bool
IsNewUnlisted(EntryStep& aStep, const std::string& aAddress)
{
  auto& heard = aStep.mEntry.mReports.mUnlistedHeard;
  const auto known = heard.find(aAddress);
  if (known != heard.end()) {
    known->second = aStep.mNow;
    return false;
  }
  return heard.size() < kMaxUnlistedAddresses &&
         heard.emplace(aAddress, aStep.mNow).second;
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
RememberGone(Entry& aEntry, const TargetId& aTarget, int64_t aStartedAt)
{
  auto& gone = aEntry.mGoneTargets;
  if (gone.size() >= kMaxGoneTargets) {
    // Those without a record get no requests anyway.
    std::erase_if(gone, [&](const auto& aGone) {
      return !aEntry.mConfig.mTargets.contains(aGone.first);
    });
  }
  gone.insert({ aTarget, aStartedAt });
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
  HeartbeatRecord& heard = RecordOf(aStep, target);
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
  if (HasRecord(aStep.mEntry, target)) {
    aStep.mEntry.mReports.mPendingHeard.push_back(target.mId);
  }
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
    // Control keeps a target of an unlisted service aside. The configuration
    // never shows it, so that each heartbeat is reported.
    const bool unlisted = !IsListed(aStep.mEntry, target.mService) &&
                          !HasRecord(aStep.mEntry, target);
    if (!unlisted) {
      LogTarget(aStep, target, target.mDraining ? "leaving" : "changed");
    } else if (IsNewUnlisted(aStep, target.mAddress)) {
      LogTarget(aStep, target, "service is not listed");
    }
    StartReport(aStep,
                target.mDraining ? aHeartbeat.mCall : HttpCallId(),
                ReportTargets{ { target }, {} },
                unlisted ? OrderLog::eNone : OrderLog::eEnd);
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
  const auto known = entry.mConfig.mTargets.find(aDeregistration.mTarget);
  const bool hasRecord = known != entry.mConfig.mTargets.end();
  if (hasRecord && !aDeregistration.mService.Empty() &&
      aDeregistration.mService != known->second.mService) {
    // Another writer uses the id of a target.
    Acknowledge(aStep, aDeregistration.mCall);
    return;
  }
  int64_t startedAt = aDeregistration.mStartedAt;
  if (startedAt == 0) {
    startedAt = hasRecord ? known->second.mStartedAt : 0;
    for (const auto& [key, heard] : entry.mReports.mHeartbeats) {
      const bool same = key.first == aDeregistration.mTarget &&
                        (!hasRecord || key.second == known->second.mService);
      startedAt = same ? std::max(startedAt, heard.mStartedAt) : startedAt;
    }
  }
  RememberGone(entry, aDeregistration.mTarget, startedAt);
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
