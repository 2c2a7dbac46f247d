#pragma once
// State of the start times that this entry hands out, see start_times.h.

#include <map>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/scheduling/start_pace.h"
#include "caraway/wire/rate_messages.h"

namespace caraway {

// One target whose rate this entry divides.
struct DividedRate
{
  int64_t mTargetStart = 0;
  StartPace mPace;
  std::map<RequestId, MonoTime> mReserved; // starts that are not in the past
  MonoTime mNextReturn{ 0 }; // when the next refused caller should retry
};

struct StartTimes
{
  std::map<TargetId, DividedRate> mTargets;
  // Replies to requests of this entry itself, delivered at the end of the step.
  std::vector<StartTimeReply> mOwnReplies;
};

} // namespace caraway
