// Counts the admissions of the last second.

#include "caraway/admission/recent_admissions.h"

#include <algorithm>

#include "caraway/base/lease.h"

namespace caraway {

void
CountAdmission(RecentAdmissions& aRecent,
               MonoTime aNow,
               const WorkspaceId& aWorkspace)
{
  SpanCount& count = aRecent.mCounts[aWorkspace];
  AdvanceSpan(count, aNow, kRecentSpan);
  ++count.mNow;
}

double
CountRecentAdmissions(const RecentAdmissions& aRecent,
                      MonoTime aNow,
                      const WorkspaceId& aWorkspace)
{
  auto found = aRecent.mCounts.find(aWorkspace);
  if (found == aRecent.mCounts.end()) {
    return 0;
  }
  SpanCount count = found->second;
  AdvanceSpan(count, aNow, kRecentSpan);
  return count.mNow + count.mBefore;
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
    return aNow - aCount.second.mStart >= kRecentSpan * 2;
  });
}

} // namespace caraway
