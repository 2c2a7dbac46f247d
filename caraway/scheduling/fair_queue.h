#pragma once
// Start-time fair queueing over workspaces.
//
// Each workspace is a flow with its own FIFO queue, and the head of the queue
// has a start tag. The flow with the smallest tag is served next, which
// advances its tag by cost / weight. An idle workspace accumulates no credit:
// when work arrives again, its tag is at least the virtual time.

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "caraway/scheduling/work.h"

namespace caraway {

struct FairFlow
{
  double mTag = 0;      // start tag of the head, or of the next arrival
  double mBacklog = 0;  // cost of the waiting work
  uint32_t mWeight = 1; // that of the newest arrival
  // Work of callers that return, then new work; both in arrival order.
  std::deque<Work> mWork;
};

struct FairQueue
{
  double mVirtualTime = 0; // largest start tag served so far
  double mBacklog = 0;     // cost of all waiting work
  size_t mSize = 0;
  absl::flat_hash_map<WorkspaceId, FairFlow> mFlows;
  std::set<std::pair<double, WorkspaceId>> mReady; // flows with waiting work
};

void
PushFair(FairQueue& aQueue, Work aWork);

// Returns the next work to serve, or nullptr if the queue is empty. The pointer
// is valid until the queue changes.
const Work*
PeekFair(const FairQueue& aQueue);

// Removes the next work and charges its workspace. The queue must not be empty.
Work
PopFair(FairQueue& aQueue);

// Removes work without serving it or charging its workspace. Returns false if
// the work is not in the queue.
bool
RemoveFair(FairQueue& aQueue, const WorkspaceId& aWorkspace, WorkId aWork);

// As RemoveFair, but returns the work.
std::optional<Work>
TakeFair(FairQueue& aQueue, const WorkspaceId& aWorkspace, WorkId aWork);

// Corrects the charge once the actual cost is known. aDifference is the actual
// cost minus the estimate.
void
CorrectCharge(FairQueue& aQueue,
              const WorkspaceId& aWorkspace,
              uint32_t aWeight,
              double aDifference);

// Upper bound of the cost that is served before new work of this workspace, or
// before that of a caller that returns. A workspace with a small backlog does
// not wait for the whole backlog of others.
double
CostAhead(const FairQueue& aQueue,
          const WorkspaceId& aWorkspace,
          uint32_t aWeight,
          bool aIsCallerRetry = false);

// The workspace with the largest backlog per weight, or an empty id if the
// queue is empty.
WorkspaceId
LargestBacklog(const FairQueue& aQueue);

// Removes the newest work of a workspace without charging it. The workspace
// must have waiting work.
Work
PopNewest(FairQueue& aQueue, const WorkspaceId& aWorkspace);

// Removes idle flows whose tag is not ahead of the virtual time.
void
ForgetIdleFlows(FairQueue& aQueue);

} // namespace caraway
