#pragma once
// What callers were told and what targets executed, and the promises checked on
// that record alone. The oracle knows nothing of the implementation.

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

// One request of a caller and what it was told.
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
  bool mWhole = false; // a whole answer
  bool mLost = false;  // the entry died or closed the connection
  int mStatus = 0;
  std::string mBody;
  bool mDraining = false; // the entry was already stopping when it was sent
};

struct Oracle
{
  std::map<uint64_t, CallerRequest> mRequests; // by number of the request
  // A marker stands for one order: a resend has the marker of the first
  // request.
  std::multimap<std::string, uint64_t> mByMarker;
  std::vector<Execution> mExecutions;
  std::map<std::string, uint32_t> mTimesExecuted; // by marker
  std::map<std::string, MonoTime> mKeyWithdrawn;  // key id -> acknowledged at
  std::map<ZoneId, MonoTime> mZoneOut;            // zone -> acknowledged at
  std::map<TargetId, MonoTime> mTargetOut;
  double mRate = 0; // of the one rated workspace
  double mBurst = 0;
  std::set<uint64_t> mRevisions;        // acknowledged
  std::vector<std::string> mViolations; // "I10: ..." one line each
};

void
ReportViolation(Oracle& aOracle, const std::string& aLine);

// Called for each execution, at its start.
void
RecordExecution(Oracle& aOracle, const Execution& aExecution);

// Called when a caller's request has ended.
void
CheckAnswer(Oracle& aOracle, const CallerRequest& aRequest);

// Called at the end: bounds over the whole record.
void
CheckRecord(Oracle& aOracle);

// "not_run", "unknown" or empty, from an error body.
std::string
OutcomeIn(const std::string& aBody);

} // namespace caraway::fleet
