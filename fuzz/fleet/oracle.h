#pragma once
// Records what callers were answered and what targets executed, and checks the
// system's guarantees (I1 and so on) against that record alone. The oracle uses
// nothing of the implementation.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "caraway/caraway.h"
#include "fuzz/fleet/stub_target.h"

namespace caraway::fleet {

enum class RequestKind
{
  eOnline,
  eStream,
  eService,    // not idempotent, without a key
  eServiceKey, // not idempotent, with an Idempotency-Key
  eControl,    // files and batches
};

// One request of a caller and the answer it received.
struct CallerRequest
{
  std::string mMarker;
  RequestKind mKind = RequestKind::eOnline;
  InstanceId mEntry;
  std::string mKeyId;
  std::string mIdempotencyKey;
  MonoTime mSent;
  MonoTime mAnswered;
  bool mDone = false;  // answered, aborted or connection lost
  bool mWhole = false; // the answer arrived complete
  bool mLost = false;  // the entry died or closed the connection
  int mStatus = 0;
  std::string mBody;
  bool mDraining = false; // the entry was already stopping when it was sent
};

struct Oracle
{
  std::map<uint64_t, CallerRequest> mRequests; // by number of the request
  // A marker identifies one operation: a resend carries the marker of the first
  // request.
  std::multimap<std::string, uint64_t> mByMarker;
  std::vector<Execution> mExecutions;
  std::map<std::string, uint32_t> mTimesExecuted; // by marker
  std::map<std::string, MonoTime> mKeyWithdrawn;  // key id -> acknowledged at
  std::map<ZoneId, MonoTime> mZoneOut;            // zone -> acknowledged at
  std::map<TargetId, MonoTime> mTargetOut;
  double mRate = 0; // of the workspace under test, requests per second
  double mBurst = 0;
  std::set<uint64_t> mRevisions;        // acknowledged
  std::vector<std::string> mViolations; // one line each, such as "I10: ..."
};

void
ReportViolation(Oracle& aOracle, const std::string& aLine);

// Called for each execution, at its start.
void
RecordExecution(Oracle& aOracle, const Execution& aExecution);

// Called when a caller's request has ended.
void
CheckAnswer(Oracle& aOracle, const CallerRequest& aRequest);

// Called at the end of a run: checks the bounds over the whole record.
void
CheckRecord(Oracle& aOracle);

// Returns the outcome in an error body: "not_run", "unknown" or empty.
std::string
OutcomeIn(const std::string& aBody);

} // namespace caraway::fleet
