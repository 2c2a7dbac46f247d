#pragma once
// Finds the input that crashes targets, from what all members report. Soft
// state of the control replicas: the leader decides, and members report again
// to a new leader.
//
// A part is suspected after kMinCrashes ended targets at which a request with
// it waited for its answer. It is blocked only if no member has seen it
// answered since, and if requests without it are still answered; otherwise
// nothing but the loss of targets is known. For a part that was answered
// before, those requests must be of the same service: a part that all requests
// of a service share has evidence from every crash there, whatever its cause,
// and is not answered while targets are lost. What is blocked are requests with
// all parts, and the workspace, that the suspected requests had in common. So
// one repeated request is blocked as such, and a part that others use as well
// stays open to them until their requests crash targets too.
//
// Each ended target has one cause, and the other requests that waited there are
// its victims, often the same ones at several targets in a row. So parts are
// weighed from the one with most evidence on, and a target that ended under
// blocked input is no evidence against other parts. Requests whose answer had
// begun are suspected only where none was still waiting.
//
// Invariants: evidence lists only ended targets; a part's evidence is younger
// than its last answer, less kAnswerCovers.

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "caraway/base/decision_log.h"
#include "caraway/config/config_view.h"
#include "caraway/config/input_block.h"
#include "caraway/wire/poison_messages.h"

namespace caraway {

struct CrashRecord
{
  TargetId mTarget;
  int64_t mStartedAt = 0; // Unix milliseconds
  std::string mAddress;   // "ip:port"
  ServiceId mService;     // empty: not known
  MonoTime mAt;
  bool mConfirmed = false; // the target has ended, not only its connections
  std::vector<CrashSuspect> mSuspects;
};

// A part that members were asked about.
struct SuspectedPart
{
  MonoTime mAskedAt;
  std::set<InstanceId> mWaitingFor; // members that have not answered
};

struct CrashEvidence
{
  std::deque<CrashRecord> mCrashes;            // oldest first, bounded
  std::map<InputPartId, MonoTime> mAnsweredAt; // of parts in mCrashes
  // Earlier crashes no longer count against these parts: an operator lifted
  // their block, or its time has ended.
  std::map<InputPartId, MonoTime> mPardonedAt;
  std::map<InputPartId, SuspectedPart> mAsked;
  // Newest blocks; the last ones may not be in the configuration yet.
  std::deque<InputBlock> mDecided;
  // When any member last saw any request answered.
  MonoTime mNewestAnswer{ -kNever.mMicros };
  std::map<ServiceId, MonoTime> mNewestOf; // the same by service
  uint64_t mReported = 0; // ended targets reported with suspects
};

// What the leader does about the evidence.
struct EvidenceActions
{
  InputParts mAsk;                // send SuspectQuery to all members
  std::vector<InputBlock> mBlock; // new or wider blocks
  std::vector<InputBlock> mLift;  // blocks that have ended or are covered
  std::vector<DecisionLog> mLogs;
};

void
HandleCrashReport(CrashEvidence& aEvidence,
                  MonoTime aNow,
                  const CrashReport& aReport);

void
HandleStartedParts(CrashEvidence& aEvidence,
                   MonoTime aNow,
                   const StartedParts& aStarted);

// Crashes up to now no longer count against the parts.
void
PardonParts(CrashEvidence& aEvidence, MonoTime aNow, const InputParts& aParts);

// Drops what an earlier leadership of this replica has asked and decided.
void
ForgetDecisions(CrashEvidence& aEvidence);

// Decides what to ask and block now. aMembers: the members that can answer.
// aLogicalNow: control's logical time, for the blocks.
EvidenceActions
WeighEvidence(CrashEvidence& aEvidence,
              MonoTime aNow,
              MonoTime aLogicalNow,
              const ConfigView& aView,
              const std::set<InstanceId>& aMembers);

// When WeighEvidence is due without a new message.
MonoTime
NextWakeup(const CrashEvidence& aEvidence);

} // namespace caraway
