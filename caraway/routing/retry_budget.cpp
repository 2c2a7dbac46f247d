// Limits retries to a share of the requests.

#include "caraway/routing/retry_budget.h"

#include <algorithm>

namespace caraway {

namespace {

// A workspace starts with one retry, so that its first request can be retried.
// The maxima bound the burst of retries after an idle period.
constexpr double kInitialRetries = 1;
constexpr double kMaxWorkspace = 10;
constexpr double kMaxTotal = 100;
// Tolerates rounding: sums of 0.1 are not exact in binary.
constexpr double kWholeRetry = 1 - 1e-9;

} // namespace

void
EarnRetries(RetryBudget& aBudget, const WorkspaceId& aWorkspace)
{
  double& own =
    aBudget.mByWorkspace.try_emplace(aWorkspace, kInitialRetries).first->second;
  own = std::min(own + aBudget.mShare, kMaxWorkspace);
  aBudget.mTotal = std::min(aBudget.mTotal + aBudget.mShare, kMaxTotal);
}

bool
HasRetry(const RetryBudget& aBudget, const WorkspaceId& aWorkspace)
{
  auto own = aBudget.mByWorkspace.find(aWorkspace);
  const double left =
    own == aBudget.mByWorkspace.end() ? kInitialRetries : own->second;
  return left >= kWholeRetry && aBudget.mTotal >= kWholeRetry;
}

bool
TakeRetry(RetryBudget& aBudget, const WorkspaceId& aWorkspace)
{
  double& own =
    aBudget.mByWorkspace.try_emplace(aWorkspace, kInitialRetries).first->second;
  if (own < kWholeRetry || aBudget.mTotal < kWholeRetry) {
    return false;
  }
  own -= 1;
  aBudget.mTotal -= 1;
  return true;
}

void
ReturnRetry(RetryBudget& aBudget, const WorkspaceId& aWorkspace)
{
  aBudget.mByWorkspace[aWorkspace] += 1;
  aBudget.mTotal += 1;
}

} // namespace caraway
