#pragma once
// Start-time fair queueing over workspaces.
//
// Each workspace has its own queue in arrival order. Its head has a start tag;
// the smallest tag is served next, and serving moves the workspace's next tag
// on by cost / weight. An idle workspace gains no credit: its tag starts again
// at the virtual time.

#include <deque>
#include <set>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "caraway/scheduling/work.h"

namespace caraway {

struct FairFlow
{
  double mTag = 0;        // start tag of the head, or of the next arrival
  double mBacklog = 0;    // cost of the waiting work
  uint32_t mWeight = 1;   // of the newest arrival
  std::deque<Work> mWork; // in arrival order
};

struct FairQueue
{
  double mVirtualTime = 0; // largest start tag served, never decreases
  double mBacklog = 0;     // cost of all waiting work
  size_t mSize = 0;
  absl::flat_hash_map<WorkspaceId, FairFlow> mFlows;
  std::set<std::pair<double, WorkspaceId>> mReady; // flows with waiting work
};

void
PushFair(FairQueue& aQueue, Work aWork);

// The next work to serve, nullptr when empty. Valid until the next change.
const Work*
PeekFair(const FairQueue& aQueue);

// Removes the next work and charges its workspace. Must not be empty.
Work
PopFair(FairQueue& aQueue);

// Removes work that was not served; its workspace is not charged. True if it
// was there.
bool
RemoveFair(FairQueue& aQueue, const WorkspaceId& aWorkspace, WorkId aWork);

// Corrects the charge once the true cost is known. aDifference is the true
// cost minus the estimate.
void
CorrectCharge(FairQueue& aQueue,
              const WorkspaceId& aWorkspace,
              uint32_t aWeight,
              double aDifference);

// Cost that is served before new work of this workspace, at most. A workspace
// with a small backlog does not wait for another's large one.
double
CostAhead(const FairQueue& aQueue,
          const WorkspaceId& aWorkspace,
          uint32_t aWeight);

// The workspace with the largest backlog per weight; empty when empty.
WorkspaceId
LargestBacklog(const FairQueue& aQueue);

// Removes the newest work of a workspace without a charge.
Work
PopNewest(FairQueue& aQueue, const WorkspaceId& aWorkspace);

// Forgets idle workspaces whose tag lies in the past.
void
ForgetIdleFlows(FairQueue& aQueue);

} // namespace caraway
