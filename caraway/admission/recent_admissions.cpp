// Counts in two spans, the present one and the one before.

#include "caraway/admission/recent_admissions.h"

#include <algorithm>

#include "caraway/base/lease.h"

namespace caraway {

void
CountAdmission(RecentAdmissions& aRecent,
               MonoTime aNow,
               const WorkspaceId& aWorkspace)
{
  RecentCount& count = aRecent.mCounts[aWorkspace];
  const Duration age = aNow - count.mWindow;
  if (age >= kRecentSpan) {
    count.mBefore = age < kRecentSpan * 2 ? count.mNow : 0;
    count.mNow = 0;
    count.mWindow = age < kRecentSpan * 2 ? count.mWindow + kRecentSpan : aNow;
  }
  ++count.mNow;
}

double
AdmittedLately(const RecentAdmissions& aRecent,
               MonoTime aNow,
               const WorkspaceId& aWorkspace)
{
  auto found = aRecent.mCounts.find(aWorkspace);
  if (found == aRecent.mCounts.end()) {
    return 0;
  }
  const RecentCount& count = found->second;
  const Duration age = aNow - count.mWindow;
  if (age >= kRecentSpan * 2) {
    return 0;
  }
  return count.mNow + (age < kRecentSpan ? count.mBefore : 0);
}

Duration
CountedFor(const RecentAdmissions& aRecent, MonoTime aNow)
{
  if (aRecent.mSince >= aNow) {
    return {};
  }
  const Duration counted = std::min(kRecentSpan, aNow - aRecent.mSince);
  return counted - counted / kDriftDivisor;
}

void
ForgetOldCounts(RecentAdmissions& aRecent, MonoTime aNow)
{
  absl::erase_if(aRecent.mCounts, [&](const auto& aCount) {
    return aNow - aCount.second.mWindow >= kRecentSpan * 2;
  });
}

} // namespace caraway
