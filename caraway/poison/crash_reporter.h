#pragma once
// A member's side of finding input that crashes targets: what the member saw
// break, and which input parts it saw answered.
//
// A broken call counts as evidence only if its target had not begun to answer
// it, or had just begun. Whether the target has ended or only the connection
// broke is found by a connection to its address.

#include <deque>
#include <map>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "caraway/base/decision_log.h"
#include "caraway/base/target_call.h"
#include "caraway/wire/poison_messages.h"

namespace caraway {

// A target crashes when it begins to write on a poisonous input, so an answer
// that has gone on for this long clears the input, and one that broke earlier
// does not.
constexpr Duration kAnswerSettles = Millis(100);

// One start of a target whose calls broke.
struct BrokenTarget
{
  TargetId mTarget;
  int64_t mStartedAt = 0;
  std::string mAddress; // "ip:port"
  ServiceId mService;
  MonoTime mAt;          // the first call broke
  bool mChecked = false; // mCheck has ended
  uint64_t mCheck = 0;   // number of the CheckTarget
  bool mConfirmed = false;
  std::vector<CrashSuspect> mSuspects; // at most kMaxSuspects
  uint64_t mNumber = 0;                // of the report, 0: not sent yet
  bool mAcknowledged = false;          // by the present leader
  MonoTime mSendAt = kNever;           // next (re)transmission
};

struct WatchedPart
{
  MonoTime mUntil;
  MonoTime mToldAt; // an answer was last reported
};

struct CrashReporter
{
  std::deque<BrokenTarget> mBroken; // oldest first; at most kMaxBroken
  uint64_t mNextCheck = 1;
  uint64_t mNextNumber = 1;
  // When requests with the part were last answered. Bounded; old entries go
  // first.
  absl::flat_hash_map<InputPartId, MonoTime> mAnswered;
  MonoTime mNewestAnswer = kNever;         // of any request, kNever: none yet
  std::map<ServiceId, MonoTime> mNewestOf; // the same by service
  std::map<InputPartId, WatchedPart> mWatched; // asked about by the leader
  MonoTime mToldNewestAt; // mNewestOf was last reported unasked
};

// One start of a target.
struct TargetStart
{
  TargetId mTarget;
  int64_t mStartedAt = 0; // Unix milliseconds
  std::string mAddress;   // "ip:port"
  ServiceId mService;
};

// Records a broken call. Returns the check to start, for the first call of a
// start of a target.
std::optional<CheckTarget>
NoteBrokenCall(CrashReporter& aReporter,
               MonoTime aNow,
               const TargetStart& aTarget,
               CrashSuspect aSuspect);

// Returns a line for the log if the check was one of this reporter.
std::optional<DecisionLog>
HandleTargetChecked(CrashReporter& aReporter,
                    MonoTime aNow,
                    const TargetChecked& aEvent);

// Records that a target of the service answers a request with these parts.
// Returns the message to the leader if it watches one of them, or if it waits
// for a sign that other requests are answered.
std::optional<StartedParts>
NoteAnswered(CrashReporter& aReporter,
             MonoTime aNow,
             const ServiceId& aService,
             const InputParts& aParts);

StartedParts
AnswerSuspectQuery(CrashReporter& aReporter,
                   MonoTime aNow,
                   const SuspectQuery& aQuery);

void
HandleReportAck(CrashReporter& aReporter, const CrashReportAck& aAck);

// The reports are owed to the new leader, which may know none of them.
void
ResendCrashReports(CrashReporter& aReporter, MonoTime aNow);

// The reports that are due now.
std::vector<CrashReport>
DueCrashReports(CrashReporter& aReporter, MonoTime aNow);

MonoTime
NextWakeup(const CrashReporter& aReporter);

} // namespace caraway
