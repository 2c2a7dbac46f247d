#pragma once
// Batch jobs of callers in the fleet, and the check of their results.

#include <map>
#include <string>
#include <vector>

#include "fuzz/fleet/fleet.h"

namespace caraway::fleet {

struct SubmittedJob
{
  std::string mId;                   // empty: the creation was not acknowledged
  std::string mInput;                // file id
  std::string mOutput;               // file id
  std::vector<std::string> mMarkers; // of the items
  std::map<std::string, std::string> mSeenLines; // marker -> output line
  bool mCancelled = false;                       // the cancel was acknowledged
  MonoTime mCancelledAt;
};

// Uploads a file and creates the job under an idempotency key, twice if
// aResend.
SubmittedJob
SubmitJob(Fleet& aFleet, size_t aEntry, int aItems, bool aResend);

void
CancelJobOf(Fleet& aFleet, size_t aEntry, SubmittedJob& aJob);

// Reads the results so far: a line seen once must never change or vanish.
void
ReadResults(Fleet& aFleet, size_t aEntry, SubmittedJob& aJob);

// After faults have stopped: the job has ended, each item has exactly one line.
void
CheckJobEnded(Fleet& aFleet, size_t aEntry, SubmittedJob& aJob);

} // namespace caraway::fleet
