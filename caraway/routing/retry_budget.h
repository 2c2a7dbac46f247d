#pragma once
// Bounds retries to a share of requests, per workspace and in total, so that a
// broken part of the fleet does not multiply the load on the rest.

#include "absl/container/flat_hash_map.h"
#include "caraway/base/ids.h"

namespace caraway {

struct RetryBudget
{
  double mShare = 0.1; // retries earned by each request
  double mTotal = 1;   // retries allowed now
  absl::flat_hash_map<WorkspaceId, double> mByWorkspace;
};

// A first attempt goes out.
void
EarnRetries(RetryBudget& aBudget, const WorkspaceId& aWorkspace);

// Takes one retry, or returns false if either part is used up.
bool
TakeRetry(RetryBudget& aBudget, const WorkspaceId& aWorkspace);

// True if TakeRetry would succeed.
bool
HasRetry(const RetryBudget& aBudget, const WorkspaceId& aWorkspace);

// A retry that was taken found no target to go to.
void
ReturnRetry(RetryBudget& aBudget, const WorkspaceId& aWorkspace);

} // namespace caraway
