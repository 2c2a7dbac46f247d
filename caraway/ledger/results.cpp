// Results of items, and what happens to items leased by ended node sessions.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/ledger/internal.h"

namespace caraway {

namespace {

// Collects the output lines of one command, in the order of their completion.
struct ResultWriter
{
  uint64_t mStart = 0; // offset in the results blob
  std::string mData;
  std::map<uint32_t, std::pair<uint64_t, uint64_t>> mRecords; // offset, length
};

// The changes of one command to one job.
struct JobChange
{
  Ledger& mLedger;
  const WorkspaceId& mWorkspace;
  const JobId& mId;
  Job& mJob;
  JobWork& mWork;
  ResultWriter mWriter;
};

void
FinishItem(JobChange& aChange, uint32_t aItem, std::string_view aLine, bool aOk)
{
  ResultWriter& writer = aChange.mWriter;
  const uint64_t offset = writer.mStart + writer.mData.size();
  writer.mData.append(aLine);
  // Results must be single lines. A raw line break in JSON can only be white
  // space between tokens.
  std::replace(writer.mData.end() - static_cast<ptrdiff_t>(aLine.size()),
               writer.mData.end(),
               '\n',
               ' ');
  writer.mData.push_back('\n');
  writer.mRecords[aItem] = { offset, aLine.size() + 1 };
  aChange.mWork.mDone[aItem / 64] |= uint64_t{ 1 } << (aItem % 64);
  aChange.mWork.mAttempts.erase(aItem);
  aChange.mWork.mProgress.erase(aItem);
  if (HasItemIds(aChange.mJob)) {
    aChange.mJob.mOrder.push_back(aItem);
  }
  ++(aOk ? aChange.mJob.mCompleted : aChange.mJob.mFailed);
  ++aChange.mLedger.mWorkspaces[aChange.mWorkspace]
      .mThroughput[aChange.mJob.mModel]
      .mFinished;
}

void
FailItem(JobChange& aChange,
         uint32_t aItem,
         std::string_view aCode,
         std::string_view aMessage)
{
  const std::string id =
    HasItemIds(aChange.mJob) ? aChange.mJob.mItems[aItem].mId : std::string();
  FinishItem(
    aChange, aItem, ErrorLine(aChange.mId, aItem, id, aCode, aMessage), false);
}

// Counts a failed attempt. The item can be leased again or, after its last
// attempt, fails.
void
CountAttempt(JobChange& aChange, uint32_t aItem, std::string_view aReason)
{
  const uint8_t attempts = ++aChange.mWork.mAttempts[aItem];
  const uint8_t limit =
    aChange.mJob.mMaxAttempts != 0 ? aChange.mJob.mMaxAttempts : kMaxAttempts;
  if (attempts >= limit) {
    FailItem(aChange,
             aItem,
             "attempts_exhausted",
             absl::StrCat("the item did not finish in ",
                          int{ limit },
                          " attempts; last reason: ",
                          std::string(aReason)));
    return;
  }
  AddItem(aChange.mWork.mReturned, aItem);
}

void
ApplyResult(JobChange& aChange, const ItemResult& aResult)
{
  const uint32_t item = aResult.mIndex;
  if (aResult.mVerdict == ItemVerdict::eReturned ||
      aResult.mVerdict == ItemVerdict::eHeld) {
    AddItem(aChange.mWork.mReturned, item);
    if (aResult.mProgress.mLastEvent > 0) {
      ItemProgress& progress = aChange.mWork.mProgress[item];
      progress = aResult.mProgress;
      progress.mVersion = aResult.mBody;
    }
    return;
  }
  if (aResult.mVerdict != ItemVerdict::eDone &&
      aResult.mVerdict != ItemVerdict::ePermanent) {
    CountAttempt(aChange, item, aResult.mBody);
    return;
  }
  if (aResult.mBody.size() > kMaxResultBytes) {
    FailItem(aChange, item, "result_too_large", "the result is over 752 KiB");
    return;
  }
  const bool done = aResult.mVerdict == ItemVerdict::eDone;
  if (!aResult.mBody.starts_with('{')) {
    FailItem(
      aChange, item, done ? "invalid_result" : "invalid_item", aResult.mBody);
    return;
  }
  FinishItem(aChange, item, aResult.mBody, done);
}

// Writes the collected lines, and one run of index records for each range of
// consecutive items.
void
EmitWrites(JobChange& aChange, std::vector<LedgerEffect>& aEffects)
{
  ResultWriter& writer = aChange.mWriter;
  if (writer.mData.empty()) {
    return;
  }
  const std::string blob =
    BlobName(aChange.mId.mValue, aChange.mJob.mCreatedIndex);
  aChange.mJob.mDataBytes += writer.mData.size();
  aEffects.push_back(BlobWriteEffect{
    DataBlobName(blob), writer.mStart, std::move(writer.mData) });
  BlobWriteEffect index;
  uint32_t next = 0;
  for (const auto& [item, place] : writer.mRecords) {
    if (item != next && !index.mBytes.empty()) {
      aEffects.push_back(std::move(index));
      index = {};
    }
    if (index.mBytes.empty()) {
      index.mName = IndexBlobName(blob);
      index.mOffset = uint64_t{ item } * kIndexRecordBytes;
    }
    AppendIndexRecord(index.mBytes, place.first, place.second);
    next = item + 1;
  }
  aEffects.push_back(std::move(index));
}

// Emits the writes and ends the job if all its items are done.
void
FinishJobChange(JobChange& aChange,
                const CommandTime& aTime,
                std::vector<LedgerEffect>& aEffects)
{
  EmitWrites(aChange, aEffects);
  const Job& job = aChange.mJob;
  if (job.mCompleted + job.mFailed == job.mTotal) {
    EndJob(aChange.mLedger,
           aTime,
           aChange.mWorkspace,
           aChange.mId,
           JobStatus::eCompleted,
           aEffects);
  } else {
    RefreshReady(aChange.mLedger, aChange.mWorkspace, aChange.mId);
  }
}

// The lease that a result message refers to, if it is still held.
std::optional<LeaseRef>
FindLease(const Ledger& aLedger, const ItemResults& aResults)
{
  auto space = aLedger.mJobWorkspaces.find(aResults.mJob);
  if (space == aLedger.mJobWorkspaces.end()) {
    return std::nullopt;
  }
  const LeaseRef ref{ space->second, aResults.mJob, aResults.mToken };
  auto session = aLedger.mNodes.find({ aResults.mNode, aResults.mNodeEpoch });
  if (session != aLedger.mNodes.end() &&
      session->second.mLeases.contains(ref)) {
    return ref;
  }
#ifdef CARAWAY_PLANTED_FAULT_stale_token_accepted
  const auto& leases =
    aLedger.mWorkspaces.at(space->second).mWork.at(aResults.mJob).mLeases;
  for (const auto& [token, lease] : leases) {
    for (const ItemResult& result : aResults.mResults) {
      if (ContainsItem(lease.mItems, result.mIndex)) {
        return LeaseRef{ space->second, aResults.mJob, token };
      }
    }
  }
#endif
  return std::nullopt;
}

void
DropLeaseRef(Ledger& aLedger, const ItemLease& aLease, const LeaseRef& aRef)
{
  auto session = aLedger.mNodes.find({ aLease.mNode, aLease.mEpoch });
  if (session != aLedger.mNodes.end()) {
    session->second.mLeases.erase(aRef);
  }
}

JobChange
BeginJobChange(Ledger& aLedger, const LeaseRef& aRef)
{
  LedgerWorkspace& space = aLedger.mWorkspaces[aRef.mWorkspace];
  Job& job = space.mJobs[aRef.mJob];
  return JobChange{
    aLedger, aRef.mWorkspace,        aRef.mJob,
    job,     space.mWork[aRef.mJob], ResultWriter{ job.mDataBytes, {}, {} }
  };
}

// Returns the items of a lease whose node session ended. Each counts a failed
// attempt, except for items with ids, where only failures at a target count.
void
ReleaseLostLease(Ledger& aLedger,
                 const CommandTime& aTime,
                 const LeaseRef& aRef,
                 std::vector<LedgerEffect>& aEffects)
{
  JobChange change = BeginJobChange(aLedger, aRef);
  auto lease = change.mWork.mLeases.extract(aRef.mToken);
  if (lease.empty()) {
    return;
  }
  for (uint32_t item : ListItems(lease.mapped().mItems)) {
    if (HasItemIds(change.mJob)) {
      AddItem(change.mWork.mReturned, item);
      continue;
    }
    CountAttempt(change, item, "the node that ran it was lost");
  }
  FinishJobChange(change, aTime, aEffects);
}

} // namespace

void
FailUnfinishedItems(Ledger& aLedger,
                    const CommandTime& aTime,
                    const WorkspaceId& aWorkspace,
                    const JobId& aJob,
                    std::string_view aReason,
                    std::vector<LedgerEffect>& aEffects)
{
  const LeaseRef ref{ aWorkspace, aJob, {} }; // must outlive change
  JobChange change = BeginJobChange(aLedger, ref);
  RemoveReady(aLedger, aWorkspace, aJob);
  change.mWork.mReturned.clear();
  change.mWork.mCursor = change.mJob.mTotal;
  for (uint32_t item = 0; item < change.mJob.mTotal; ++item) {
    if (!IsDone(change.mWork, item)) {
      FailItem(change, item, "given_up", aReason);
    }
  }
  FinishJobChange(change, aTime, aEffects);
}

ItemResultsAck
ApplyResults(Ledger& aLedger,
             LogIndex aIndex,
             MonoTime aLogicalNow,
             int64_t aUnixSeconds,
             const ItemResults& aResults,
             std::vector<LedgerEffect>& aEffects)
{
  aLedger.mNow = std::max(aLedger.mNow, aLogicalNow);
  ItemResultsAck ack;
  ack.mGroup = aResults.mGroup;
  ack.mNodeEpoch = aResults.mNodeEpoch;
  ack.mSequence = aResults.mSequence;
  const auto ref = FindLease(aLedger, aResults);
  if (!ref) {
    ack.mStale = true;
    return ack;
  }
  JobChange change = BeginJobChange(aLedger, *ref);
  ItemLease& lease = change.mWork.mLeases[ref->mToken];
  for (const ItemResult& result : aResults.mResults) {
    bool current = RemoveItem(lease.mItems, result.mIndex);
#ifdef CARAWAY_PLANTED_FAULT_result_twice
    current = current || (result.mIndex < change.mJob.mTotal &&
                          IsDone(change.mWork, result.mIndex));
#endif
    if (current) {
      ApplyResult(change, result);
    }
  }
  if (lease.mItems.empty()) {
    DropLeaseRef(aLedger, lease, *ref);
    change.mWork.mLeases.erase(ref->mToken);
  }
  FinishJobChange(
    change, CommandTime{ aIndex, aLedger.mNow, aUnixSeconds }, aEffects);
  return ack;
}

void
ApplySessionEnd(Ledger& aLedger,
                LogIndex aIndex,
                MonoTime aLogicalNow,
                const InstanceId& aInstance,
                Epoch aEpoch,
                std::vector<LedgerEffect>& aEffects)
{
  aLedger.mNow = std::max(aLedger.mNow, aLogicalNow);
  EndedSession& ended = aLedger.mEnded[aInstance];
  ended.mEpoch = std::max(ended.mEpoch, aEpoch);
  ended.mAt = aLedger.mNow;
  auto session = aLedger.mNodes.lower_bound({ aInstance, Epoch(0) });
  while (session != aLedger.mNodes.end() && session->first.first == aInstance &&
         session->first.second <= aEpoch) {
    const std::set<LeaseRef> leases = std::move(session->second.mLeases);
    session = aLedger.mNodes.erase(session);
    for (const LeaseRef& ref : leases) {
      ReleaseLostLease(
        aLedger, CommandTime{ aIndex, aLedger.mNow, 0 }, ref, aEffects);
    }
  }
  MarkClaimsUnknown(aLedger, aInstance, aEpoch);
}

} // namespace caraway
