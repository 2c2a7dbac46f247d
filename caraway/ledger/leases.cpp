// Leases items to nodes: which job, and which of its items.

#include <algorithm>
#include <tuple>

#include "caraway/ledger/internal.h"

namespace caraway {

namespace {

// When a node that got no items should request a lease again.
constexpr Duration kIdleRetryDelay = Seconds(1);

// Weight factor of a job at risk. Its items are charged half, so its workspace
// gets up to twice its share.
constexpr uint64_t kAtRiskShare = 2;

struct Candidate
{
  uint64_t mStartTag = 0;
  WorkspaceId mWorkspace;
  JobId mJob;
};

// Expected run time of an item, from its stated token count.
Duration
TimeLeft(const Job& aJob, uint32_t aItem, Duration aPerToken)
{
  return aPerToken * aJob.mItems[aItem].mTokens;
}

bool
IsOnTime(const Job& aJob, uint32_t aItem, Duration aPerToken, MonoTime aNow)
{
  return aNow + TimeLeft(aJob, aItem, aPerToken) <= aJob.mGoal;
}

// True if a waiting item can still finish by the job's goal. Jobs without a
// goal have no late items.
bool
HasItemOnTime(const LedgerWorkspace& aSpace,
              const JobId& aId,
              Duration aPerToken,
              MonoTime aNow)
{
  const Job& job = aSpace.mJobs.at(aId);
  if (job.mGoal == MonoTime{} || !HasItemIds(job)) {
    return true;
  }
  for (const ItemRange& range : aSpace.mWork.at(aId).mReturned) {
    for (uint32_t item = range.mBegin; item < range.mEnd; ++item) {
      if (IsOnTime(job, item, aPerToken, aNow)) {
        return true;
      }
    }
  }
  return false;
}

// The workspace's job with the least slack that has items to lease; with
// aOnTime, only if one of them can still finish by the goal.
const JobId*
FirstJob(const Ledger& aLedger,
         const LedgerWorkspace& aSpace,
         const ModelId& aModel,
         Duration aPerToken,
         bool aOnTime)
{
  auto ready = aSpace.mReady.find(aModel);
  if (ready == aSpace.mReady.end()) {
    return nullptr;
  }
  for (const auto& [key, id] : ready->second) {
    if (aSpace.mJobs.at(id).mDeadline > aLedger.mNow &&
        (!aOnTime || HasItemOnTime(aSpace, id, aPerToken, aLedger.mNow))) {
      return &id;
    }
  }
  return nullptr;
}

// The first such job in the workspace with the lowest start tag.
std::optional<Candidate>
ChooseJob(const Ledger& aLedger,
          const std::vector<ModelId>& aModels,
          Duration aPerToken,
          bool aOnTime)
{
  std::optional<Candidate> best;
  for (const ModelId& model : aModels) {
    auto ready = aLedger.mReady.find(model);
    if (ready == aLedger.mReady.end()) {
      continue;
    }
    for (const auto& [tag, workspace] : ready->second) {
      if (best && std::tie(best->mStartTag, best->mWorkspace) <=
                    std::tie(tag, workspace)) {
        break;
      }
      const LedgerWorkspace& space = aLedger.mWorkspaces.at(workspace);
      if (const JobId* job =
            FirstJob(aLedger, space, model, aPerToken, aOnTime)) {
        best = Candidate{ tag, workspace, *job };
        break;
      }
    }
  }
  return best;
}

// Takes the longest items that can still finish by the goal, since they have
// the least slack; then the shortest of the others.
ItemRanges
ChooseItems(const Job& aJob,
            JobWork& aWork,
            uint64_t aWanted,
            Duration aPerToken,
            MonoTime aNow)
{
  std::vector<uint32_t> items = ListItems(aWork.mReturned);
  const auto rank = [&](uint32_t aItem) {
    const int64_t tokens = aJob.mItems[aItem].mTokens;
    const bool onTime =
      aJob.mGoal == MonoTime{} || IsOnTime(aJob, aItem, aPerToken, aNow);
    return std::tuple(!onTime, onTime ? -tokens : tokens, aItem);
  };
  std::sort(items.begin(), items.end(), [&](uint32_t aLeft, uint32_t aRight) {
    return rank(aLeft) < rank(aRight);
  });
  items.resize(std::min<uint64_t>(items.size(), aWanted));
  ItemRanges taken;
  for (uint32_t item : items) {
    RemoveItem(aWork.mReturned, item);
    AddItem(taken, item);
  }
  return taken;
}

// Takes returned items first, then items never leased.
ItemRanges
TakeItems(const Job& aJob, JobWork& aWork, uint64_t aWanted)
{
  ItemRanges taken;
  while (aWanted > 0 && !aWork.mReturned.empty()) {
    ItemRange& front = aWork.mReturned.front();
    const auto count = static_cast<uint32_t>(
      std::min<uint64_t>(aWanted, front.mEnd - front.mBegin));
    taken.push_back(ItemRange{ front.mBegin, front.mBegin + count });
    front.mBegin += count;
    aWanted -= count;
    if (front.mBegin == front.mEnd) {
      aWork.mReturned.erase(aWork.mReturned.begin());
    }
  }
  const auto fresh = static_cast<uint32_t>(
    std::min<uint64_t>(aWanted, aJob.mTotal - aWork.mCursor));
  if (fresh > 0) {
    const ItemRange range{ aWork.mCursor, aWork.mCursor + fresh };
    if (!taken.empty() && taken.back().mEnd == range.mBegin) {
      taken.back().mEnd = range.mEnd;
    } else {
      taken.push_back(range);
    }
    aWork.mCursor += fresh;
  }
  return taken;
}

void
FillItemBatch(const Ledger& aLedger, const LeaseRef& aRef, ItemBatch& aBatch)
{
  auto space = aLedger.mWorkspaces.find(aRef.mWorkspace);
  if (space == aLedger.mWorkspaces.end()) {
    return;
  }
  auto work = space->second.mWork.find(aRef.mJob);
  if (work == space->second.mWork.end()) {
    return;
  }
  auto lease = work->second.mLeases.find(aRef.mToken);
  if (lease == work->second.mLeases.end()) {
    return;
  }
  const Job& job = space->second.mJobs.at(aRef.mJob);
  aBatch.mJob = aRef.mJob;
  aBatch.mToken = aRef.mToken;
  aBatch.mWorkspace = aRef.mWorkspace;
  aBatch.mWeight = job.mWeight;
  aBatch.mModel = job.mModel;
  aBatch.mEndpoint = job.mEndpoint;
  aBatch.mDeadline = std::max(Duration{}, job.mDeadline - aLedger.mNow);
  aBatch.mWindow = job.mWindow;
  aBatch.mGoal =
    job.mGoal == MonoTime{} ? Duration{} : job.mGoal - aLedger.mNow;
  aBatch.mRetryAfter = {};
  for (uint32_t item : ListItems(lease->second.mItems)) {
    auto progress = work->second.mProgress.find(item);
    aBatch.mItems.push_back(
      BatchItem{ item,
                 {},
                 HasItemIds(job) ? job.mItems[item].mTokens : 0,
                 progress == work->second.mProgress.end() ? ItemProgress()
                                                          : progress->second });
  }
}

LeaseRef
GrantLease(Ledger& aLedger,
           LogIndex aIndex,
           const LeaseItems& aRequest,
           const Candidate& aChosen)
{
  LedgerWorkspace& space = aLedger.mWorkspaces[aChosen.mWorkspace];
  const Job& job = space.mJobs[aChosen.mJob];
  JobWork& work = space.mWork[aChosen.mJob];
  const uint64_t wanted =
    std::min<uint64_t>({ aRequest.mWanted, kMaxLeaseItems, work.mItemLimit });
  ItemRanges items =
    HasItemIds(job)
      ? ChooseItems(job, work, wanted, aRequest.mTimePerToken, aLedger.mNow)
      : TakeItems(job, work, wanted);
  const uint64_t weight =
    uint64_t{ job.mWeight } * (work.mAtRisk ? kAtRiskShare : 1);
  ChargeWorkspace(aLedger, aChosen.mWorkspace, CountItems(items), weight);
  const FencingToken token(aIndex.mValue);
  work.mLeases[token] =
    ItemLease{ aRequest.mNode, aRequest.mNodeEpoch, std::move(items) };
  RefreshReady(aLedger, aChosen.mWorkspace, aChosen.mJob);
  return LeaseRef{ aChosen.mWorkspace, aChosen.mJob, token };
}

} // namespace

bool
HasItemsToLease(const Ledger& aLedger, const std::vector<ModelId>& aModels)
{
  return std::any_of(
    aModels.begin(), aModels.end(), [&](const ModelId& aModel) {
      return aLedger.mReady.contains(aModel);
    });
}

LeaseState
StateOfLease(const Ledger& aLedger,
             const InstanceId& aNode,
             Epoch aNodeEpoch,
             FencingToken aToken,
             const std::vector<ModelId>& aServed)
{
  const auto session = aLedger.mNodes.find({ aNode, aNodeEpoch });
  if (session == aLedger.mNodes.end()) {
    return LeaseState::eEnded;
  }
  const auto& leases = session->second.mLeases;
  const auto lease =
    std::find_if(leases.begin(), leases.end(), [&](const LeaseRef& aRef) {
      return aRef.mToken == aToken;
    });
  if (lease == leases.end()) {
    return LeaseState::eEnded;
  }
  const Job& job =
    aLedger.mWorkspaces.at(lease->mWorkspace).mJobs.at(lease->mJob);
  return std::find(aServed.begin(), aServed.end(), job.mModel) == aServed.end()
           ? LeaseState::eMoved
           : LeaseState::eHeld;
}

ItemBatch
ApplyLease(Ledger& aLedger,
           LogIndex aIndex,
           MonoTime aLogicalNow,
           const LeaseItems& aRequest)
{
  aLedger.mNow = std::max(aLedger.mNow, aLogicalNow);
  ItemBatch batch;
  batch.mGroup = aRequest.mGroup;
  batch.mNodeEpoch = aRequest.mNodeEpoch;
  batch.mSequence = aRequest.mSequence;
  batch.mRetryAfter = kIdleRetryDelay;
  if (aRequest.mNode.Empty() ||
      SessionEnded(aLedger, aRequest.mNode, aRequest.mNodeEpoch)) {
    return batch;
  }
  auto [place, fresh] =
    aLedger.mNodes.try_emplace({ aRequest.mNode, aRequest.mNodeEpoch });
  NodeLeaseSession& session = place->second;
  if (!fresh && aRequest.mSequence <= session.mSequence) {
    // A late copy of an older request must lease nothing, since no one waits
    // for the items.
    if (aRequest.mSequence == session.mSequence) {
      FillItemBatch(aLedger, session.mLastLease, batch);
    }
    return batch;
  }
  session.mSequence = aRequest.mSequence;
  session.mLastLease = {};
  // Items that can still finish by their goal get capacity first, late ones get
  // the rest.
  auto chosen =
    ChooseJob(aLedger, aRequest.mModels, aRequest.mTimePerToken, true);
  if (!chosen) {
    chosen =
      ChooseJob(aLedger, aRequest.mModels, aRequest.mTimePerToken, false);
  }
  if (chosen && aRequest.mWanted > 0) {
    session.mLastLease = GrantLease(aLedger, aIndex, aRequest, *chosen);
    session.mLeases.insert(session.mLastLease);
    FillItemBatch(aLedger, session.mLastLease, batch);
  }
  return batch;
}

} // namespace caraway
