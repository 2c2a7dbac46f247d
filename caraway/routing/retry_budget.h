#pragma once
// Limits retries to a share of the requests, per workspace and in total, so
// that a failing part of the fleet does not multiply the load on the rest.

#include "absl/container/flat_hash_map.h"
#include "caraway/base/ids.h"

namespace caraway {

struct RetryBudget
{
  double mShare = 0.1; // retries earned by each request
  double mTotal = 1;   // retries available to all workspaces
  absl::flat_hash_map<WorkspaceId, double> mByWorkspace; // retries available
};

// Adds the retries that a first attempt earns.
void
EarnRetries(RetryBudget& aBudget, const WorkspaceId& aWorkspace);

// Takes one retry. Returns false if the budget of the workspace or the total
// budget is used up.
bool
TakeRetry(RetryBudget& aBudget, const WorkspaceId& aWorkspace);

// True if TakeRetry would succeed.
bool
HasRetry(const RetryBudget& aBudget, const WorkspaceId& aWorkspace);

// Returns a retry that was taken but found no target.
void
ReturnRetry(RetryBudget& aBudget, const WorkspaceId& aWorkspace);

} // namespace caraway
