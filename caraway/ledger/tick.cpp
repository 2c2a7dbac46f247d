// Expiry of jobs, files and claims, and throughput intervals, in logical time.

#include <algorithm>

#include "caraway/ledger/internal.h"

namespace caraway {

namespace {

void
ExpireJobs(Ledger& aLedger,
           const CommandTime& aTime,
           std::vector<LedgerEffect>& aEffects)
{
  while (!aLedger.mDeadlines.empty() &&
         std::get<0>(*aLedger.mDeadlines.begin()) <= aTime.mNow) {
    const auto [deadline, workspace, job] = *aLedger.mDeadlines.begin();
    if (HasItemIds(aLedger.mWorkspaces[workspace].mJobs[job])) {
      FailUnfinishedItems(
        aLedger, aTime, workspace, job, "its lifetime has passed", aEffects);
      continue;
    }
    EndJob(aLedger, aTime, workspace, job, JobStatus::eExpired, aEffects);
  }
}

bool
IsDue(const std::deque<ExpiryMark>& aMarks, Duration aRetention, MonoTime aNow)
{
  return !aMarks.empty() && aMarks.front().mSince + aRetention <= aNow;
}

void
RemoveOldJobs(Ledger& aLedger, std::vector<LedgerEffect>& aEffects)
{
  while (
    IsDue(aLedger.mEndedJobMarks, aLedger.mResultRetention, aLedger.mNow)) {
    const ExpiryMark mark = std::move(aLedger.mEndedJobMarks.front());
    aLedger.mEndedJobMarks.pop_front();
    LedgerWorkspace& space = aLedger.mWorkspaces[mark.mWorkspace];
    auto job = space.mJobs.find(JobId(mark.mId));
    if (job == space.mJobs.end()) {
      continue;
    }
    RemoveBlobs(BlobName(mark.mId, job->second.mCreatedIndex), aEffects);
    space.mJobKeys.erase(job->second.mKey);
    space.mJobs.erase(job);
  }
}

// Removes files that neither an upload nor a job has used for the retention
// time. A file used since its mark was made gets a new mark at the end of the
// queue, so it may be kept up to twice as long.
void
RemoveOldFiles(Ledger& aLedger, std::vector<LedgerEffect>& aEffects)
{
  while (IsDue(aLedger.mFileMarks, aLedger.mResultRetention, aLedger.mNow)) {
    ExpiryMark mark = std::move(aLedger.mFileMarks.front());
    aLedger.mFileMarks.pop_front();
    auto& files = aLedger.mWorkspaces[mark.mWorkspace].mFiles;
    auto file = files.find(FileId(mark.mId));
    if (file == files.end()) {
      continue;
    }
    if (file->second.mJobs > 0 || file->second.mLastUsedAt > mark.mSince) {
      mark.mSince = aLedger.mNow;
      aLedger.mFileMarks.push_back(std::move(mark));
      continue;
    }
    RemoveBlobs(BlobName(mark.mId, file->second.mCreatedIndex), aEffects);
    files.erase(file);
  }
}

void
DropEmptyWorkspaces(Ledger& aLedger)
{
  std::erase_if(aLedger.mWorkspaces, [](const auto& aEntry) {
    const LedgerWorkspace& space = aEntry.second;
    return space.mFiles.empty() && space.mJobs.empty() && space.mClaims.empty();
  });
}

} // namespace

void
ApplyLedgerTick(Ledger& aLedger,
                LogIndex aIndex,
                MonoTime aLogicalNow,
                int64_t aUnixSeconds,
                Duration aResultRetention,
                Duration aClaimRetention,
                std::vector<LedgerEffect>& aEffects)
{
  aLedger.mNow = std::max(aLedger.mNow, aLogicalNow);
  aLedger.mResultRetention = aResultRetention;
  aLedger.mClaimRetention = aClaimRetention;
  const CommandTime time{ aIndex, aLedger.mNow, aUnixSeconds };
  ExpireJobs(aLedger, time, aEffects);
  if (aLedger.mNow >= aLedger.mThroughputSince + kThroughputInterval) {
    UpdateThroughput(aLedger, aLedger.mNow - aLedger.mThroughputSince);
    aLedger.mThroughputSince = aLedger.mNow;
  }
  RemoveOldJobs(aLedger, aEffects);
  RemoveOldFiles(aLedger, aEffects);
  ExpireClaims(aLedger);
  std::erase_if(aLedger.mEnded, [&](const auto& aEntry) {
    return aEntry.second.mAt + kEndedSessionRetention <= aLedger.mNow;
  });
  DropEmptyWorkspaces(aLedger);
}

MonoTime
NextLedgerTick(const Ledger& aLedger)
{
  MonoTime next = kNever;
  if (!aLedger.mDeadlines.empty()) {
    next = std::min(std::get<0>(*aLedger.mDeadlines.begin()),
                    aLedger.mThroughputSince + kThroughputInterval);
  }
  auto consider = [&](const std::deque<ExpiryMark>& aMarks, Duration aAfter) {
    if (!aMarks.empty()) {
      next = std::min(next, aMarks.front().mSince + aAfter);
    }
  };
  consider(aLedger.mEndedJobMarks, aLedger.mResultRetention);
  consider(aLedger.mFileMarks, aLedger.mResultRetention);
  consider(aLedger.mClaimMarks, aLedger.mClaimRetention);
  return next;
}

} // namespace caraway
