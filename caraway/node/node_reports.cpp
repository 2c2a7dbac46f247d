// Sends load reports to the entries that watch this node.

#include <algorithm>
#include <cstdlib>

#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

constexpr Duration kWatchDuration = Seconds(10); // unless renewed
constexpr Duration kReportEvery = Seconds(2);
constexpr size_t kMaxWatchers = 1024;

// True if the value changed by more than 20%.
bool
Changed(uint32_t aNow, uint32_t aBefore)
{
  const uint32_t difference = aNow > aBefore ? aNow - aBefore : aBefore - aNow;
  return difference * 5 > std::max<uint32_t>(aBefore, 1);
}

} // namespace

void
OnWatch(Node& aNode, MonoTime aNow, const Watch& aWatch)
{
  auto& watchers = aNode.mReports.mWatchers;
  const bool known = watchers.contains(aWatch.mReportTo);
  if (aWatch.mReportTo.Empty() || (!known && watchers.size() >= kMaxWatchers)) {
    return;
  }
  watchers[aWatch.mReportTo].mUntil = aNow + kWatchDuration;
  if (!known) {
    aNode.mReports.mNextAt = aNow; // send a new watcher a report soon
  }
}

void
SendReports(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  NodeReports& reports = aNode.mReports;
  if (reports.mWatchers.empty() ||
      aNow - reports.mLastAt < aNode.mSettings.mReportGap) {
    return;
  }
  const uint32_t load = RunningCalls(aNode) + QueuedCalls(aNode);
  const uint32_t limit = UsableSlots(aNode);
  const Duration gap = aNode.mSettings.mReportGapPerWatcher *
                       static_cast<int64_t>(reports.mWatchers.size());
  const bool changed = Changed(load, reports.mLastLoad) ||
                       Changed(limit, reports.mLastLimit) ||
                       aNode.mRate.mPerSecond != reports.mLastRate;
  if (aNow < reports.mNextAt && !(changed && aNow - reports.mLastAt >= gap)) {
    return;
  }
  reports.mNextAt = aNow + kReportEvery;
  reports.mLastAt = aNow;
  reports.mLastLoad = load;
  reports.mLastLimit = limit;
  reports.mLastRate = aNode.mRate.mPerSecond;
  LoadReport report;
  report.mNode = aNode.mSettings.mInstance;
  report.mNodeEpoch = aNode.mSession.mEpoch;
  report.mRunning = RunningCalls(aNode);
  report.mQueued = QueuedCalls(aNode);
  report.mLimit = limit;
  report.mCold = aNode.mScheduler.mLimit.mRamping;
  report.mBatch = BatchCalls(aNode);
  report.mRate = HeardRateOfTarget(aNode, aNow);
  report.mRateWait = RateWait(aNode, aNow);
  report.mPace = KnownPace(aNode);
  auto& watchers = reports.mWatchers;
  for (auto watcher = watchers.begin(); watcher != watchers.end();) {
    if (aNow >= watcher->second.mUntil) {
      watcher = watchers.erase(watcher);
      continue;
    }
    aOut.emplace_back(SendMessage{ watcher->first, report, true });
    ++watcher;
  }
}

MonoTime
NextReport(const Node& aNode)
{
  const NodeReports& reports = aNode.mReports;
  return std::max(reports.mNextAt,
                  reports.mLastAt + aNode.mSettings.mReportGap);
}

} // namespace caraway
