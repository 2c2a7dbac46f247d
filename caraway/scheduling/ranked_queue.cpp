// Waiting online work of all importances.

#include "caraway/scheduling/ranked_queue.h"

#include <algorithm>

namespace caraway {

namespace {

void
Account(RankedQueue& aQueue, const Work& aWork)
{
  --aQueue.mSize;
  aQueue.mBacklog =
    aQueue.mSize == 0 ? 0 : std::max(0.0, aQueue.mBacklog - aWork.mCost);
}

} // namespace

void
PushRanked(RankedQueue& aQueue, Work aWork)
{
  ++aQueue.mSize;
  aQueue.mBacklog += aWork.mCost;
  FairQueue& rank = aQueue.mRanks[aWork.mRank];
  PushFair(rank, std::move(aWork));
}

uint32_t
FirstRank(const RankedQueue& aQueue)
{
  return std::find_if(aQueue.mRanks.begin(),
                      aQueue.mRanks.end(),
                      [](const auto& aRank) { return aRank.second.mSize > 0; })
    ->first;
}

Work
PopRanked(RankedQueue& aQueue)
{
  Work work = PopFair(aQueue.mRanks.at(FirstRank(aQueue)));
  Account(aQueue, work);
  return work;
}

bool
RemoveRanked(RankedQueue& aQueue,
             uint32_t aRank,
             const WorkspaceId& aWorkspace,
             WorkId aWork)
{
  auto rank = aQueue.mRanks.find(aRank);
  if (rank == aQueue.mRanks.end()) {
    return false;
  }
  const std::optional<Work> work = TakeFair(rank->second, aWorkspace, aWork);
  if (work) {
    Account(aQueue, *work);
  }
  return work.has_value();
}

double
CostAhead(const RankedQueue& aQueue, const Work& aWork)
{
  double ahead = 0;
  for (const auto& [rank, queue] : aQueue.mRanks) {
    if (rank < aWork.mRank) {
      ahead += queue.mBacklog;
    } else if (rank == aWork.mRank) {
      ahead +=
        CostAhead(queue, aWork.mWorkspace, aWork.mWeight, aWork.mIsCallerRetry);
    }
  }
  return ahead;
}

std::optional<Work>
EvictFor(RankedQueue& aQueue, const Work& aNewcomer)
{
  auto last =
    std::find_if(aQueue.mRanks.rbegin(),
                 aQueue.mRanks.rend(),
                 [](const auto& aRank) { return aRank.second.mSize > 0; });
  if (last == aQueue.mRanks.rend() || last->first < aNewcomer.mRank) {
    return std::nullopt;
  }
  const WorkspaceId largest = LargestBacklog(last->second);
  if (last->first == aNewcomer.mRank && largest == aNewcomer.mWorkspace) {
    return std::nullopt;
  }
  Work evicted = PopNewest(last->second, largest);
  Account(aQueue, evicted);
  return evicted;
}

} // namespace caraway
