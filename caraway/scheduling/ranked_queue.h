#pragma once
// Waiting online work of all importances: the most important first, and fairly
// over workspaces within one.
//
// Answers the load of more callers than places: what is urgent must not wait
// behind what is not, and a workspace that sends many times its usual makes
// only its own callers wait. Since each target's queue orders the work of all
// entries, it makes no difference at which entry the requests came in.

#include <map>
#include <optional>

#include "caraway/scheduling/fair_queue.h"

namespace caraway {

struct RankedQueue
{
  std::map<uint32_t, FairQueue> mRanks; // 0 is the most important
  size_t mSize = 0;                     // of all ranks
  double mBacklog = 0;                  // cost of all waiting work
};

// Work of a caller that returns goes before the new work of its workspace.
void
PushRanked(RankedQueue& aQueue, Work aWork);

// The most important rank with waiting work. The queue must not be empty.
uint32_t
FirstRank(const RankedQueue& aQueue);

// Removes the next work and charges its workspace. The queue must not be empty.
Work
PopRanked(RankedQueue& aQueue);

// Removes work without serving it or charging its workspace. Returns false if
// the work is not in the queue.
bool
RemoveRanked(RankedQueue& aQueue,
             uint32_t aRank,
             const WorkspaceId& aWorkspace,
             WorkId aWork);

// Upper bound of the cost that is served before this work, if it were added.
double
CostAhead(const RankedQueue& aQueue, const Work& aWork);

// Removes and returns the work that gives way first to aNewcomer: the newest of
// the workspace with the largest backlog per weight, in the least important
// rank. Returns nullopt if that is the newcomer itself.
std::optional<Work>
EvictFor(RankedQueue& aQueue, const Work& aNewcomer);

} // namespace caraway
