#pragma once
// A target as announced by its heartbeats.

#include <cstdint>
#include <string>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

struct Target
{
  TargetId mId; // may be used by several starts; see mStartedAt
  ServiceId mService;
  std::string mAddress; // "ip:port"; may be reused by another target later
  ZoneId mZone;
  std::string mVersion;   // of the software, see routing/stream_origins.h
  uint32_t mSlots = 1;    // requests that it processes concurrently
  bool mDraining = false; // leaving: no new work
  int64_t mStartedAt = 0; // Unix milliseconds of its start, by its own clock
  Duration mColdFor;      // cold for this long after it was reported
  // Requests/s that it can take while cold, 0: no limit. Control sets it from
  // the serving plan, since an entry that reports a target may not know the
  // plan yet, and nodes never do.
  double mColdRate = 0;

  bool operator==(const Target&) const = default;
};

// True if aTarget started later than aOther.
inline bool
IsLaterStart(const Target& aTarget, const Target& aOther)
{
  return aTarget.mStartedAt > aOther.mStartedAt;
}

} // namespace caraway
