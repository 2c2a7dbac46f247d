// The order in which jobs get leases: workspaces by start-time fair queueing,
// jobs of one workspace by slack. Also measures the throughput from which slack
// and risk follow.

#include <algorithm>

#include "caraway/ledger/internal.h"

namespace caraway {

namespace {

// One item at weight 1 advances a start tag by this much. Large enough that
// rounding is negligible for all weights up to 1000.
constexpr uint64_t kTagPerItem = uint64_t{ 1 } << 20;

constexpr int64_t kMicrosPerSecond = 1000000;

// Time in µs that the items take at this throughput (items per 1,000,000 s).
// The product of items and µs overflows 64 bits.
int64_t
WorkMicros(uint64_t aItems, int64_t aMicroItems)
{
  const auto micros = static_cast<unsigned __int128>(aItems) *
                      kMicrosPerSecond * kMicrosPerSecond /
                      static_cast<uint64_t>(aMicroItems);
  return static_cast<int64_t>(
    std::min<unsigned __int128>(micros, kNever.mMicros));
}

void
RemoveWorkspace(Ledger& aLedger,
                const WorkspaceId& aWorkspace,
                const ModelId& aModel)
{
  auto ready = aLedger.mReady.find(aModel);
  if (ready == aLedger.mReady.end()) {
    return;
  }
  ready->second.erase(
    { aLedger.mWorkspaces[aWorkspace].mStartTag, aWorkspace });
  if (ready->second.empty()) {
    aLedger.mReady.erase(ready);
  }
}

void
SampleThroughput(Throughput& aThroughput, Duration aInterval)
{
  const auto sample = static_cast<int64_t>(
    static_cast<unsigned __int128>(aThroughput.mFinished) * kMicrosPerSecond *
    kMicrosPerSecond / static_cast<uint64_t>(aInterval.mMicros));
  // Exponential moving average with weight 1/4, since results arrive in bursts.
  aThroughput.mMicroItems =
    aThroughput.mMeasured
      ? aThroughput.mMicroItems + (sample - aThroughput.mMicroItems) / 4
      : sample;
  aThroughput.mMeasured = aThroughput.mMeasured || aThroughput.mFinished > 0;
  aThroughput.mFinished = 0;
}

// True if serving the workspace's jobs for this model in order of deadline, at
// the measured throughput, finishes this job too late. aItemsAhead: remaining
// items of the jobs up to and including this one.
bool
WillMissDeadline(const Throughput& aThroughput,
                 const Job& aJob,
                 MonoTime aNow,
                 uint64_t aItemsAhead)
{
  const Duration left = aJob.mDeadline - aNow;
  if (aThroughput.mMicroItems <= 0) {
    // Not measured yet: at risk once a quarter of the window has passed without
    // a result.
    return left < aJob.mWindow - aJob.mWindow / 4;
  }
  return WorkMicros(aItemsAhead, aThroughput.mMicroItems) > left.mMicros;
}

} // namespace

uint64_t
ItemsToLease(const Job& aJob, const JobWork& aWork)
{
  return CountItems(aWork.mReturned) + (aJob.mTotal - aWork.mCursor);
}

int64_t
SlackKey(const LedgerWorkspace& aSpace, const Job& aJob)
{
  auto throughput = aSpace.mThroughput.find(aJob.mModel);
  if (throughput == aSpace.mThroughput.end() ||
      throughput->second.mMicroItems <= 0) {
    return aJob.mDeadline.mMicros;
  }
  const uint64_t remaining = aJob.mTotal - aJob.mCompleted - aJob.mFailed;
  return aJob.mDeadline.mMicros -
         WorkMicros(remaining, throughput->second.mMicroItems);
}

void
RemoveReady(Ledger& aLedger, const WorkspaceId& aWorkspace, const JobId& aJob)
{
  LedgerWorkspace& space = aLedger.mWorkspaces[aWorkspace];
  const Job& job = space.mJobs[aJob];
  auto ready = space.mReady.find(job.mModel);
  if (ready == space.mReady.end()) {
    return;
  }
  ready->second.erase({ space.mWork[aJob].mSlackKey, aJob });
  if (ready->second.empty()) {
    space.mReady.erase(ready);
    RemoveWorkspace(aLedger, aWorkspace, job.mModel);
  }
}

void
RefreshReady(Ledger& aLedger, const WorkspaceId& aWorkspace, const JobId& aJob)
{
  LedgerWorkspace& space = aLedger.mWorkspaces[aWorkspace];
  const Job& job = space.mJobs[aJob];
  JobWork& work = space.mWork[aJob];
  const bool hasItems = !work.mReturned.empty() || work.mCursor < job.mTotal;
  if (!hasItems) {
    RemoveReady(aLedger, aWorkspace, aJob);
    return;
  }
  if (space.mReady.empty()) {
    // A workspace earns no credit while it has no items to lease.
    space.mStartTag = std::max(space.mStartTag, aLedger.mVirtual);
  }
  aLedger.mReady[job.mModel].emplace(space.mStartTag, aWorkspace);
  space.mReady[job.mModel].emplace(work.mSlackKey, aJob);
}

void
ChargeWorkspace(Ledger& aLedger,
                const WorkspaceId& aWorkspace,
                uint64_t aItems,
                uint64_t aWeight)
{
  LedgerWorkspace& space = aLedger.mWorkspaces[aWorkspace];
  aLedger.mVirtual = std::max(aLedger.mVirtual, space.mStartTag);
  for (const auto& [model, jobs] : space.mReady) {
    aLedger.mReady[model].erase({ space.mStartTag, aWorkspace });
  }
  space.mStartTag += aItems * kTagPerItem / aWeight;
  for (const auto& [model, jobs] : space.mReady) {
    aLedger.mReady[model].emplace(space.mStartTag, aWorkspace);
  }
}

void
RebuildDerived(Ledger& aLedger)
{
  aLedger.mReady.clear();
  aLedger.mDeadlines.clear();
  aLedger.mJobWorkspaces.clear();
  aLedger.mReleasedSet = { aLedger.mReleased.begin(), aLedger.mReleased.end() };
  for (auto& [workspace, space] : aLedger.mWorkspaces) {
    space.mReady.clear();
    for (auto& [id, work] : space.mWork) {
      const Job& job = space.mJobs[id];
      aLedger.mDeadlines.emplace(job.mDeadline, workspace, id);
      aLedger.mJobWorkspaces[id] = workspace;
      if (!work.mReturned.empty() || work.mCursor < job.mTotal) {
        space.mReady[job.mModel].emplace(work.mSlackKey, id);
        aLedger.mReady[job.mModel].emplace(space.mStartTag, workspace);
      }
    }
  }
}

void
UpdateThroughput(Ledger& aLedger, Duration aInterval)
{
  for (auto& [workspace, space] : aLedger.mWorkspaces) {
    if (space.mWork.empty()) {
      space.mThroughput.clear();
      continue;
    }
    for (auto& [model, throughput] : space.mThroughput) {
      SampleThroughput(throughput, aInterval);
    }
  }
  // In order of deadline, so that the items ahead can be summed per model.
  std::map<std::pair<WorkspaceId, ModelId>, uint64_t> ahead;
  for (const auto& [deadline, workspace, id] : aLedger.mDeadlines) {
    LedgerWorkspace& space = aLedger.mWorkspaces[workspace];
    const Job& job = space.mJobs[id];
    JobWork& work = space.mWork[id];
    uint64_t& items = ahead[{ workspace, job.mModel }];
    items += job.mTotal - job.mCompleted - job.mFailed;
    work.mAtRisk =
      WillMissDeadline(space.mThroughput[job.mModel], job, aLedger.mNow, items);
    const int64_t key = SlackKey(space, job);
    auto ready = space.mReady.find(job.mModel);
    if (ready != space.mReady.end() &&
        ready->second.erase({ work.mSlackKey, id }) > 0) {
      ready->second.emplace(key, id);
    }
    work.mSlackKey = key;
  }
}

} // namespace caraway
