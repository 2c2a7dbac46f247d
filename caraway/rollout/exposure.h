#pragma once
// How many requests one entry may send to a version on trial.
//
// Load pattern: a roll-out under full traffic, seen by many entries that do not
// hear each other. Each entry compares its own counts only, so the bound holds
// for the fleet however its members are cut off:
//   sum of trial <= share x sum of requests + slack.

#include <cstddef>
#include <cstdint>

#include "caraway/base/time.h"

namespace caraway {

// What a deployment tolerates of a version that may be bad.
struct ExposureLimit
{
  double mShare = 0.05; // of the service's requests during a roll-out, 0 to 1
  double mSlack = 0;    // requests more, summed over all entries
  // From a bad version's misbehaviour to its last request.
  Duration mRollbackTime = Seconds(5);
};

// Counts of one entry during one roll-out.
//
// Invariant: mTrial <= mShare x mRequests + mSlack / entries, where the slack
// is 0 in a process that started after the roll-out.
struct Exposure
{
  uint64_t mRequests = 0; // calls to targets of the service, of any version
  uint64_t mTrial = 0;    // of these, to the version on trial
};

enum class TrialUse : uint8_t
{
  eNewRequest,    // any other target serves it as well
  eResumedStream, // only this version can go on with it
};

// True if one more call may go to the version on trial. aSlack is this entry's
// part of the slack.
bool
MayExpose(const Exposure& aExposure,
          double aShare,
          double aSlack,
          TrialUse aUse);

// How many targets take part in the trial, beside aOld targets of the versions
// in service. With fewer, each of them carries a usual load.
size_t
TrialTargets(double aShare, size_t aOld);

} // namespace caraway
