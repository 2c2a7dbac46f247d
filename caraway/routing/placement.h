#pragma once
// Chooses the target of a request from what one entry knows of their load.
//
// The load is this entry's own requests at the target plus those of others in
// the last report, per slot. Batch items count little, since online work
// preempts them at once.
//
// Load pattern: prompts that begin with parts which thousands of others share.
// Spread by load alone, each target reads the same parts, and what all targets
// hold is what a single one could. So requests that share their parts go to one
// target, their home, as long as the work ahead there costs less than reading
// the parts elsewhere. All entries agree on the home without messages or state.

#include <map>
#include <optional>
#include <vector>

#include "caraway/base/decision_log.h"
#include "caraway/base/random.h"
#include "caraway/base/time.h"
#include "caraway/scheduling/start_pace.h"
#include "caraway/scheduling/stated_rate.h"
#include "caraway/scheduling/target_pace.h"

namespace caraway {

struct PlacementLoad
{
  int64_t mStartedAt = 0; // start of the target; a new one resets the rest
  uint32_t mOwn = 0;      // own requests there, slot requested or running
  uint32_t mOnline = 0;   // last report: online requests, running and waiting
  uint32_t mWaiting = 0;  // of these, waiting
  uint32_t mBatch = 0;    // last report: batch items
  uint32_t mLimit = 0;    // last report: slots, 0: no report yet
  uint32_t mOwnAtReport = 0; // own requests that the report includes
  MonoTime mReportAt{ -kNever.mMicros };
  uint32_t mFailures = 0;  // consecutive
  double mFailureRate = 0; // moving average over recent requests, 0 to 1
  MonoTime mAvoidUntil{ -kNever.mMicros };
  MonoTime mSeenAt{ 0 }; // when this entry learned of mStartedAt
  // Unguarded calls, that is, without a grant of the target's node.
  uint32_t mUnguarded = 0; // in flight
  StartPace mUnguardedPace;
  uint64_t mRankTopology = 0; // topology that mRank was computed for, 0: none
  uint32_t mRank = 0; // of this entry among those that may call unguarded
  MonoTime mUnansweredSince = kNever; // oldest unanswered slot request
  StatedRate mRate;
  // How long work takes there: as its node says (0: not known), by this entry's
  // own answers, and as the target stated last.
  double mNodePace = 0;
  TargetPace mOwnPace;
  double mStatedPace = 1;
  MonoTime mStatedPaceAt{ -kNever.mMicros };
  // By the last reply or report: the rate allows no start before this time.
  MonoTime mNextStartAt{ -kNever.mMicros };
  // Entry that hands out the start times, see entry/start_times.h.
  PeerAddress mDivider;
  uint64_t mDividerTopology = 0; // topology that mDivider was computed for
};

using PlacementLoads = std::map<TargetId, PlacementLoad>;

struct PlacementCandidate
{
  TargetId mTarget;
  ZoneId mZone;
  uint32_t mSlots = 1; // as stated by the target
};

struct PlacementQuery
{
  RequestId mRequest;     // for the log
  WorkspaceId mWorkspace; // for the log
  ZoneId mLocalZone;
  std::vector<TargetId> mExclude; // already asked or tried
  uint64_t mPrefix = 0;    // hash of the shared parts of the prompt, 0: none
  double mPrefixShare = 0; // of the prompt's tokens
};

struct Placement
{
  std::optional<size_t> mIndex; // into the candidates; nullopt: none is left
  bool mHome = false;           // the home of the query's prefix
  DecisionLog mLog;
};

// Targets that failed recently are chosen only when no other is left.
Placement
ChoosePlacement(const std::vector<PlacementCandidate>& aCandidates,
                const PlacementLoads& aLoads,
                const PlacementQuery& aQuery,
                MonoTime aNow,
                Random& aRandom);

// Expected time of work at the target now, against the usual time.
double
PaceAt(const PlacementLoad& aLoad, MonoTime aNow);

// Online requests at the target, by the own count and the last report.
uint32_t
OnlineAt(const PlacementLoad& aLoad, MonoTime aNow);

void
RecordLoadReport(PlacementLoad& aLoad,
                 MonoTime aNow,
                 uint32_t aOnline,
                 uint32_t aBatch,
                 uint32_t aLimit,
                 uint32_t aWaiting);

// Records that a request failed at the target. The target is avoided for a time
// that doubles with each consecutive failure.
void
RecordPlacementFailure(PlacementLoad& aLoad, MonoTime aNow);

void
RecordPlacementSuccess(PlacementLoad& aLoad);

} // namespace caraway
