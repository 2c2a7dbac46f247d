#pragma once
// Submits batch jobs to the fleet as a caller and checks their results.

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

// Uploads a file and creates the job under an idempotency key. With aResend the
// creation is sent a second time, to another entry.
SubmittedJob
SubmitJob(Fleet& aFleet, size_t aEntry, int aItems, bool aResend);

void
CancelJobOf(Fleet& aFleet, size_t aEntry, SubmittedJob& aJob);

// Reads the results so far. A line that was read once must never change or
// disappear.
void
ReadResults(Fleet& aFleet, size_t aEntry, SubmittedJob& aJob);

// Called after all faults have stopped: checks that the job ends and that each
// item of a job that wasn't cancelled has exactly one result line.
void
CheckJobEnded(Fleet& aFleet, size_t aEntry, SubmittedJob& aJob);

} // namespace caraway::fleet
