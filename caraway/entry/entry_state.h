#pragma once
// The state of the entry role.

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "caraway/admission/fallback_share.h"
#include "caraway/admission/token_holder_state.h"
#include "caraway/base/random.h"
#include "caraway/config/config_view.h"
#include "caraway/entry/entry_metrics.h"
#include "caraway/entry/entry_settings.h"
#include "caraway/entry/forward_request.h"
#include "caraway/entry/loans_state.h"
#include "caraway/entry/replica_discovery_state.h"
#include "caraway/entry/request_state.h"
#include "caraway/entry/resumed_streams_state.h"
#include "caraway/entry/rollouts_state.h"
#include "caraway/entry/session_state.h"
#include "caraway/entry/start_times_state.h"
#include "caraway/entry/target_reports_state.h"
#include "caraway/entry/timer_set.h"
#include "caraway/poison/crash_reporter.h"
#include "caraway/routing/choose.h"
#include "caraway/routing/placement.h"
#include "caraway/routing/retry_budget.h"
#include "caraway/routing/target_state.h"
#include "caraway/scheduling/usual_time.h"
#include "caraway/wire/call_messages.h"

namespace caraway {

// The nodes that this entry dispatches to for one model or service: its subset
// of all nodes that offer it.
struct TargetGroup
{
  std::vector<RouteCandidate> mCandidates;
  uint64_t mTopologyVersion =
    0; // Entry::mTopologyVersion at the time of the build
  MonoTime mUsedAt;
};

// A control call in flight, retransmitted every 500 ms until it is answered.
struct PendingCall
{
  ControlCall mMessage;
  uint64_t mRequest = 0;  // serial of the waiting request, 0: none
  MonoTime mDeadline;     // dropped then; the request's own deadline is earlier
  uint32_t mCopies = 0;   // sent under this number
  uint32_t mRefusals = 0; // replies that refused one of them
};

// A request held until the first configuration is confirmed, see
// early_requests.h.
struct EarlyRequest
{
  ForwardRequest mRequest;
  MonoTime mReceivedAt;
  MonoTime mRefuseAt;
};

struct Entry
{
  EntrySettings mSettings;
  uint64_t mIncarnation = 0;
  Random mRandom;
  EntrySession mSession;
  ConfigFetcher mFetcher;
  DrainState mDrain;
  ConfigView mConfig;
  TokenHolder mTokens;

  // Requests by serial. Both indexes refer only to requests in mRequests.
  std::map<uint64_t, CallerRequest> mRequests;
  absl::flat_hash_map<HttpCallId, uint64_t> mByCall; // with a connected caller
  absl::flat_hash_map<RequestId, uint64_t> mById;
  uint64_t mNextSerial = 1;
  std::vector<uint64_t> mFinished;       // erased at the end of the step
  std::deque<uint64_t> mWaitingForGrant; // eAdmitting, in arrival order
  TimerSet mRequestTimers;

  std::map<uint64_t, PendingCall> mCalls; // by call number
  TimerSet mCallTimers;
  uint64_t mNextCall = 1; // a number is never reused in one process

  uint64_t mTopologyVersion =
    1; // incremented when members, zones or targets change
  // Derived from the members at that topology: the nodes that are not draining,
  // by their target, and the number of entries.
  absl::flat_hash_map<TargetId, InstanceId> mNodeByTarget;
  uint32_t mEntriesKnown = 0;
  std::map<std::string, TargetGroup> mGroups;
  TargetStates mTargets;
  absl::flat_hash_map<InstanceId, MonoTime> mWatchedAt;
  MonoTime mNextWatch = kNever;
  absl::flat_hash_map<Epoch, uint64_t> mSequences; // last used, by node epoch
  RetryBudget mRetries;
  uint64_t mRoundRobin = 0;
  EntryMetrics mMetrics;

  // Direct requests, see direct.h.
  PlacementLoads mPlacement;
  StartTimes mStartTimes;
  absl::flat_hash_map<TargetCallId, uint64_t> mByTargetCall; // request serials
  uint64_t mNextTargetCall = 1;
  MonoTime mNextSlotsHeld{ 0 };   // when SlotsHeld is sent to the nodes next
  MonoTime mNextDirectWatch{ 0 }; // when Watch is sent to the nodes next
  // Targets, by id and start time, that no longer get requests although the
  // configuration still has them: they deregistered, announced that they leave,
  // or another target answers at their address.
  std::set<std::pair<TargetId, int64_t>> mGoneTargets;
  FallbackShares mFallback;
  EntryLoans mLoans;
  // Of calls that were answered, from their start to the end of the answer.
  std::map<RouteId, UsualTime> mAnswerTimes;
  std::map<RouteId, UsualPace> mUsualPaces; // of targets that state a pace

  // Requests received before the first confirmed configuration, in order of
  // arrival.
  std::deque<EarlyRequest> mEarlyRequests;
  ReplicaDiscovery mReplicaDiscovery;
  TargetReports mReports;
  CrashReporter mCrashReporter;
  ResumedStreams mStreams;
  EntryRollouts mRollouts;
};

} // namespace caraway
