#pragma once
// What entries report to the leader of a service's roll-out.

#include <cstdint>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/rollout/answer_counts.h"

namespace caraway {

struct RouteAnswers
{
  RouteId mRoute;
  TargetId mTarget; // on trial; empty: all targets of other versions
  AnswerCounts mCounts;
};

// Entry -> leader, while a roll-out is active. Counts since it began, so a
// report that is lost is replaced by the next one.
struct RolloutReport
{
  InstanceId mEntry;
  ServiceId mService;
  uint64_t mNumber = 0;     // of the roll-out
  Revision mRevision;       // of the entry's configuration
  uint64_t mRequests = 0;   // calls to targets of the service
  uint64_t mTrial = 0;      // of these, to the version on trial
  uint64_t mCallsAtOld = 0; // in progress at the versions that it replaces
  std::vector<RouteAnswers> mAnswers;
};

} // namespace caraway
