// Start-time fair queueing over workspaces.

#include "caraway/scheduling/fair_queue.h"

#include <algorithm>

namespace caraway {

namespace {

// Number of flows from which on idle ones are removed.
constexpr size_t kMaxIdleFlows = 1024;

void
SetTag(FairQueue& aQueue,
       const WorkspaceId& aWorkspace,
       FairFlow& aFlow,
       double aTag)
{
  if (!aFlow.mWork.empty()) {
    aQueue.mReady.erase({ aFlow.mTag, aWorkspace });
    aQueue.mReady.insert({ aTag, aWorkspace });
  }
  aFlow.mTag = aTag;
}

void
Release(FairQueue& aQueue,
        const WorkspaceId& aWorkspace,
        FairFlow& aFlow,
        const Work& aWork)
{
  aFlow.mBacklog = std::max(0.0, aFlow.mBacklog - aWork.mCost);
  aQueue.mBacklog = std::max(0.0, aQueue.mBacklog - aWork.mCost);
  --aQueue.mSize;
  if (aFlow.mWork.empty()) {
    aFlow.mBacklog = 0;
    aQueue.mReady.erase({ aFlow.mTag, aWorkspace });
  }
  if (aQueue.mSize == 0) {
    aQueue.mBacklog = 0; // drops accumulated rounding errors
  }
}

// The first work that is not of a caller that returns.
std::deque<Work>::iterator
FirstNew(FairFlow& aFlow)
{
  return std::find_if(aFlow.mWork.begin(),
                      aFlow.mWork.end(),
                      [](const Work& aWork) { return !aWork.mIsCallerRetry; });
}

// Cost of the work of callers that return.
double
ReturnedBacklog(const FairFlow& aFlow)
{
  double cost = 0;
  for (const Work& work : aFlow.mWork) {
    if (!work.mIsCallerRetry) {
      break;
    }
    cost += work.mCost;
  }
  return cost;
}

} // namespace

void
PushFair(FairQueue& aQueue, Work aWork)
{
  if (aQueue.mFlows.size() >= kMaxIdleFlows) {
    ForgetIdleFlows(aQueue);
  }
  const WorkspaceId workspace = aWork.mWorkspace;
  FairFlow& flow = aQueue.mFlows[workspace];
  flow.mWeight = std::max<uint32_t>(1, aWork.mWeight);
  if (flow.mWork.empty()) {
    flow.mTag = std::max(flow.mTag, aQueue.mVirtualTime);
    aQueue.mReady.insert({ flow.mTag, workspace });
  }
  flow.mBacklog += aWork.mCost;
  aQueue.mBacklog += aWork.mCost;
  ++aQueue.mSize;
  flow.mWork.insert(aWork.mIsCallerRetry ? FirstNew(flow) : flow.mWork.end(),
                    std::move(aWork));
}

const Work*
PeekFair(const FairQueue& aQueue)
{
  if (aQueue.mReady.empty()) {
    return nullptr;
  }
  return &aQueue.mFlows.at(aQueue.mReady.begin()->second).mWork.front();
}

Work
PopFair(FairQueue& aQueue)
{
  const auto [tag, workspace] = *aQueue.mReady.begin();
  FairFlow& flow = aQueue.mFlows.at(workspace);
  Work work = std::move(flow.mWork.front());
  aQueue.mVirtualTime = std::max(aQueue.mVirtualTime, tag);
  SetTag(aQueue,
         workspace,
         flow,
         tag + work.mCost / std::max<uint32_t>(1, work.mWeight));
  flow.mWork.pop_front();
  Release(aQueue, workspace, flow, work);
  return work;
}

bool
RemoveFair(FairQueue& aQueue, const WorkspaceId& aWorkspace, WorkId aWork)
{
  return TakeFair(aQueue, aWorkspace, aWork).has_value();
}

std::optional<Work>
TakeFair(FairQueue& aQueue, const WorkspaceId& aWorkspace, WorkId aWork)
{
  auto found = aQueue.mFlows.find(aWorkspace);
  if (found == aQueue.mFlows.end()) {
    return std::nullopt;
  }
  FairFlow& flow = found->second;
  auto place =
    std::find_if(flow.mWork.begin(), flow.mWork.end(), [&](const Work& aOther) {
      return aOther.mId == aWork;
    });
  if (place == flow.mWork.end()) {
    return std::nullopt;
  }
  Work work = std::move(*place);
  flow.mWork.erase(place);
  Release(aQueue, aWorkspace, flow, work);
  return work;
}

void
CorrectCharge(FairQueue& aQueue,
              const WorkspaceId& aWorkspace,
              uint32_t aWeight,
              double aDifference)
{
  auto found = aQueue.mFlows.find(aWorkspace);
  if (found == aQueue.mFlows.end()) {
    return;
  }
  const double tag =
    found->second.mTag + aDifference / std::max<uint32_t>(1, aWeight);
  SetTag(aQueue, aWorkspace, found->second, std::max(0.0, tag));
}

double
CostAhead(const FairQueue& aQueue,
          const WorkspaceId& aWorkspace,
          uint32_t aWeight,
          bool aIsCallerRetry)
{
  auto found = aQueue.mFlows.find(aWorkspace);
  double own = 0;
  if (found != aQueue.mFlows.end()) {
    own =
      aIsCallerRetry ? ReturnedBacklog(found->second) : found->second.mBacklog;
  }
  const double tag = found == aQueue.mFlows.end()
                       ? aQueue.mVirtualTime
                       : std::max(found->second.mTag, aQueue.mVirtualTime);
  const double weight = std::max<uint32_t>(1, aWeight);
  const double finish = tag + own / weight;
  double ahead = own;
  for (const auto& [start, workspace] : aQueue.mReady) {
    if (workspace == aWorkspace) {
      continue;
    }
    // Work of the other flow with a start tag up to `finish` is served first.
    const FairFlow& flow = aQueue.mFlows.at(workspace);
    ahead +=
      std::clamp((finish - flow.mTag) * flow.mWeight, 0.0, flow.mBacklog);
  }
  return ahead;
}

WorkspaceId
LargestBacklog(const FairQueue& aQueue)
{
  WorkspaceId largest;
  double most = -1;
  for (const auto& [tag, workspace] : aQueue.mReady) {
    const FairFlow& flow = aQueue.mFlows.at(workspace);
    if (flow.mBacklog / flow.mWeight > most) {
      most = flow.mBacklog / flow.mWeight;
      largest = workspace;
    }
  }
  return largest;
}

Work
PopNewest(FairQueue& aQueue, const WorkspaceId& aWorkspace)
{
  FairFlow& flow = aQueue.mFlows.at(aWorkspace);
  Work work = std::move(flow.mWork.back());
  flow.mWork.pop_back();
  Release(aQueue, aWorkspace, flow, work);
  return work;
}

void
ForgetIdleFlows(FairQueue& aQueue)
{
  for (auto flow = aQueue.mFlows.begin(); flow != aQueue.mFlows.end();) {
    const bool idle =
      flow->second.mWork.empty() && flow->second.mTag <= aQueue.mVirtualTime;
    if (idle) {
      aQueue.mFlows.erase(flow++);
    } else {
      ++flow;
    }
  }
}

} // namespace caraway
