#pragma once
// Messages about targets that state how many requests per second they take.
// For a target without a node, one entry hands out the start times, see
// entry/start_times.h.

#include <optional>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"
#include "caraway/scheduling/stated_rate.h"

namespace caraway {

// Entry -> node, entry -> entry: a rate that has changed.
struct RateNotice
{
  TargetId mTarget;
  HeardRate mRate;
};

// Entry -> entry: asks when a call to the target may start.
struct StartTimeRequest
{
  RequestId mRequest;
  TargetId mTarget;
  HeardRate mRate;
  Duration mWait; // refused unless it may start within this time
};

struct StartTimeReply
{
  RequestId mRequest;
  TargetId mTarget;
  bool mGranted = false;
  Duration mDelay; // until the granted start, or until one may be free
  std::optional<HeardRate> mRate;
};

// Entry -> entry: the start is not used.
struct StartTimeRelease
{
  RequestId mRequest;
  TargetId mTarget;
};

} // namespace caraway
