#pragma once
// Which target gets a request, from what one entry knows of the targets' load.
//
// Load is this entry's own requests there plus the others of the last report,
// per place. Batch items at a target count little, since they give way at once.

#include <map>
#include <optional>
#include <vector>

#include "caraway/base/decision_log.h"
#include "caraway/base/random.h"
#include "caraway/base/time.h"
#include "caraway/scheduling/start_pace.h"

namespace caraway {

struct PlacementLoad
{
  int64_t mStartedAt = 0; // start of the target; another one forgets the rest
  uint32_t mOwn = 0;      // own requests there, asked for or running
  uint32_t mOnline = 0;   // last report: online requests, running and waiting
  uint32_t mBatch = 0;    // last report: batch items
  uint32_t mLimit = 0;    // last report: places, 0: no report yet
  uint32_t mOwnAtReport = 0; // own requests that the report includes
  MonoTime mReportAt{ -kNever.mMicros };
  uint32_t mFailures = 0;  // in a row
  double mFailureRate = 0; // of the latest requests, fading
  MonoTime mAvoidUntil{ -kNever.mMicros };
  MonoTime mSeenAt{ 0 }; // when this entry learned of the start
  // Calls without a grant of the node beside the target.
  uint32_t mUnguarded = 0; // running
  StartPace mUnguardedPace;
  uint64_t mRankTopology = 0; // topology that mRank is of, 0: none
  uint32_t mRank = 0;         // of this entry among those that call unguarded
  MonoTime mUnansweredSince = kNever; // first ask of the node without an answer
};

using PlacementLoads = std::map<TargetId, PlacementLoad>;

struct PlacementCandidate
{
  TargetId mTarget;
  ZoneId mZone;
  uint32_t mSlots = 1; // places, as the target says
};

struct PlacementQuery
{
  RequestId mRequest;     // for the log
  WorkspaceId mWorkspace; // for the log
  ZoneId mLocalZone;
  std::vector<TargetId> mExclude; // asked or tried before
};

struct Placement
{
  std::optional<size_t> mIndex; // of the candidates; none: nothing is left
  DecisionLog mLog;
};

// Targets that failed lately are taken only when no other is left.
Placement
ChoosePlacement(const std::vector<PlacementCandidate>& aCandidates,
                const PlacementLoads& aLoads,
                const PlacementQuery& aQuery,
                MonoTime aNow,
                Random& aRandom);

// Requests at the target that do not give way, by own count and last report.
uint32_t
OnlineAt(const PlacementLoad& aLoad, MonoTime aNow);

void
RecordLoadReport(PlacementLoad& aLoad,
                 MonoTime aNow,
                 uint32_t aOnline,
                 uint32_t aBatch,
                 uint32_t aLimit);

// The target broke a request: it is avoided for a time that doubles with each
// failure in a row.
void
RecordPlacementFailure(PlacementLoad& aLoad, MonoTime aNow);

void
RecordPlacementSuccess(PlacementLoad& aLoad);

} // namespace caraway
