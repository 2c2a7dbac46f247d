#pragma once
// What an entry admitted within the last second.
//
// A new leader does not know what its predecessor gave out. From the admissions
// of all entries it learns how much of each burst is left, and need not begin
// with empty buckets. Counts may be too high, never too low.

#include "absl/container/flat_hash_map.h"
#include "caraway/admission/span_count.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

// The longest time that counts cover.
constexpr Duration kRecentSpan = Seconds(1);

struct RecentAdmissions
{
  MonoTime mSince = kNever; // counted from here on; kNever: not yet
  absl::flat_hash_map<WorkspaceId, SpanCount> mCounts; // by kRecentSpan
};

void
CountAdmission(RecentAdmissions& aRecent,
               MonoTime aNow,
               const WorkspaceId& aWorkspace);

// All admissions of the last kRecentSpan, and some before.
double
CountRecentAdmissions(const RecentAdmissions& aRecent,
                      MonoTime aNow,
                      const WorkspaceId& aWorkspace);

// How far back the counts reach, by any clock within the drift bound.
Duration
CountedFor(const RecentAdmissions& aRecent, MonoTime aNow);

// Drops counts that say nothing any more.
void
ForgetOldCounts(RecentAdmissions& aRecent, MonoTime aNow);

} // namespace caraway
