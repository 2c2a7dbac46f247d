#pragma once
// A target as it announced itself by heartbeats.

#include <cstdint>
#include <string>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

struct Target
{
  TargetId mId; // of one start or of several; see mStartedAt
  ServiceId mService;
  std::string mAddress; // "ip:port"; used again by others after it is gone
  ZoneId mZone;
  std::string mVersion;   // of its software, for logs
  uint32_t mSlots = 1;    // requests that it works on at once
  bool mDraining = false; // leaving: no new work
  int64_t mStartedAt = 0; // Unix milliseconds of its start, by its own clock
  Duration mColdFor;      // cold for this long after it was reported
  // Requests/s that it bears while cold, 0: any. Filled in by control from the
  // serving plan: an entry that reports a target may not know the plan yet, and
  // nodes never do.
  double mColdRate = 0;

  bool operator==(const Target&) const = default;
};

// True if aTarget is another start than aOther, and the later one.
inline bool
IsLaterStart(const Target& aTarget, const Target& aOther)
{
  return aTarget.mStartedAt > aOther.mStartedAt;
}

} // namespace caraway
