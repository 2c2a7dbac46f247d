#pragma once
// The requests that an entry admitted within the last second.
//
// A new leader does not know what its predecessor granted. From the recent
// admissions of all entries it computes how much of each burst is left, so that
// buckets need not refill from empty. Counts may be too high, never too low.

#include "absl/container/flat_hash_map.h"
#include "caraway/admission/span_count.h"
#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

// The longest time that the counts cover.
constexpr Duration kRecentSpan = Seconds(1);

struct RecentAdmissions
{
  MonoTime mSince = kNever; // start of counting, kNever: not started
  absl::flat_hash_map<WorkspaceId, SpanCount>
    mCounts; // in spans of kRecentSpan
};

void
CountAdmission(RecentAdmissions& aRecent,
               MonoTime aNow,
               const WorkspaceId& aWorkspace);

// All admissions of the last kRecentSpan, and possibly some before.
double
CountRecentAdmissions(const RecentAdmissions& aRecent,
                      MonoTime aNow,
                      const WorkspaceId& aWorkspace);

// How far back the counts reach, by any clock within the clock drift bound.
Duration
CountedFor(const RecentAdmissions& aRecent, MonoTime aNow);

// Drops counts whose spans are over.
void
ForgetOldCounts(RecentAdmissions& aRecent, MonoTime aNow);

} // namespace caraway
