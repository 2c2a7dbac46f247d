// Checks the system's guarantees against the record.

#include "fuzz/fleet/oracle.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace caraway::fleet {

namespace {

// A change must be in force everywhere within this time after its
// acknowledgement.
constexpr Duration kInForce = Seconds(7);
// A request may wait this long for its token after it was sent.
constexpr Duration kTokenWait = Millis(250);

bool
AtMostOnce(RequestKind aKind)
{
  return aKind == RequestKind::eService || aKind == RequestKind::eServiceKey;
}

// A refusal applies to one request, so it is checked against the executions of
// its marker only if no resend shares that marker.
bool
IsOnly(const Oracle& aOracle, const std::string& aMarker)
{
  return aOracle.mByMarker.count(aMarker) == 1;
}

template<class Id>
void
CheckOut(Oracle& aOracle,
         const std::map<Id, MonoTime>& aOut,
         const Id& aId,
         const Execution& aExecution,
         const char* aName)
{
  const auto out = aOut.find(aId);
  if (out != aOut.end() && aExecution.mStarted > out->second + kInForce) {
    ReportViolation(aOracle,
                    absl::StrCat(aName,
                                 ": work began at ",
                                 aExecution.mNode.mValue,
                                 " after ",
                                 (aExecution.mStarted - out->second).Millis(),
                                 " ms out"));
  }
}

} // namespace

void
ReportViolation(Oracle& aOracle, const std::string& aLine)
{
  aOracle.mViolations.push_back(aLine);
}

std::string
OutcomeIn(const std::string& aBody)
{
  for (const char* outcome : { "not_run", "unknown" }) {
    if (absl::StrContains(aBody,
                          absl::StrCat(R"("outcome":")", outcome, "\""))) {
      return outcome;
    }
  }
  return {};
}

void
RecordExecution(Oracle& aOracle, const Execution& aExecution)
{
  aOracle.mExecutions.push_back(aExecution);
  const uint32_t times = ++aOracle.mTimesExecuted[aExecution.mMarker];
  if (aExecution.mSawSecret) {
    ReportViolation(aOracle, "I4: a target saw a key");
  }
  CheckOut(aOracle, aOracle.mZoneOut, aExecution.mZone, aExecution, "I7");
  CheckOut(aOracle, aOracle.mTargetOut, aExecution.mTarget, aExecution, "I11");
  const auto [first, last] = aOracle.mByMarker.equal_range(aExecution.mMarker);
  if (first == last) {
    return; // a batch item
  }
  const CallerRequest& request = aOracle.mRequests.at(first->second);
  if (AtMostOnce(request.mKind) && times > 1) {
    ReportViolation(
      aOracle,
      absl::StrCat("I10: ", aExecution.mMarker, " ran ", times, " times"));
  }
  if (IsOnly(aOracle, aExecution.mMarker) && request.mDone &&
      OutcomeIn(request.mBody) == "not_run") {
    ReportViolation(
      aOracle,
      absl::StrCat("I9: ", aExecution.mMarker, " ran after a not_run refusal"));
  }
  // A resend may use a newer key, so the execution is a violation only if every
  // key of the marker was withdrawn.
  const bool withdrawn = std::all_of(first, last, [&](const auto& aEntry) {
    const std::string& key = aOracle.mRequests.at(aEntry.second).mKeyId;
    const auto out = aOracle.mKeyWithdrawn.find(key);
    return out != aOracle.mKeyWithdrawn.end() &&
           aExecution.mStarted > out->second + kInForce;
  });
  if (withdrawn) {
    ReportViolation(
      aOracle,
      absl::StrCat(
        "I4: ", aExecution.mMarker, " ran for a key that was withdrawn"));
  }
}

void
CheckAnswer(Oracle& aOracle, const CallerRequest& aRequest)
{
  if (aRequest.mKind == RequestKind::eControl) {
    return;
  }
  const uint32_t times = aOracle.mTimesExecuted[aRequest.mMarker];
  if (aRequest.mWhole && aRequest.mStatus == 200) {
    const std::string expected = aRequest.mKind == RequestKind::eStream
                                   ? WholeStream(aRequest.mMarker)
                                   : AnswerBody(aRequest.mMarker);
    if (aRequest.mBody != expected) {
      ReportViolation(
        aOracle,
        absl::StrCat("I8: ", aRequest.mMarker, " got ", aRequest.mBody));
    }
    if (times == 0 && aRequest.mKind != RequestKind::eServiceKey) {
      ReportViolation(
        aOracle,
        absl::StrCat("I8: ", aRequest.mMarker, " answered, never ran"));
    }
  }
  const std::string outcome = OutcomeIn(aRequest.mBody);
  if (outcome == "not_run" && times > 0 && IsOnly(aOracle, aRequest.mMarker)) {
    ReportViolation(aOracle,
                    absl::StrCat("I9: ",
                                 aRequest.mMarker,
                                 " ran, but was refused as "
                                 "not_run with status ",
                                 aRequest.mStatus));
  }
  if (aRequest.mWhole && aRequest.mStatus >= 400 && outcome.empty()) {
    ReportViolation(aOracle,
                    absl::StrCat("I9: refusal of ",
                                 aRequest.mMarker,
                                 " names no outcome: ",
                                 aRequest.mBody));
  }
}

void
CheckRecord(Oracle& aOracle)
{
  // I5: takes the requests of the workspace under test that reached a target,
  // by the time they were sent, and checks every interval that begins and ends
  // at a request.
  std::vector<MonoTime> admitted;
  for (const auto& [number, request] : aOracle.mRequests) {
    if (request.mKind != RequestKind::eControl &&
        IsOnly(aOracle, request.mMarker) &&
        aOracle.mTimesExecuted[request.mMarker] > 0) {
      admitted.push_back(request.mSent);
    }
  }
  std::sort(admitted.begin(), admitted.end());
  for (size_t first = 0; first < admitted.size(); ++first) {
    for (size_t last = first; last < admitted.size(); ++last) {
      const double seconds =
        (admitted[last] - admitted[first] + kTokenWait).Seconds();
      const double bound = aOracle.mRate * seconds + aOracle.mBurst;
      const auto count = static_cast<double>(last - first + 1);
      if (count > bound + 1e-6) {
        ReportViolation(
          aOracle,
          absl::StrCat(
            "I5: ", count, " admitted in ", seconds, " s, bound ", bound));
        return;
      }
    }
  }
}

} // namespace caraway::fleet
