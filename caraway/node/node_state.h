#pragma once
// Complete state of the node role.

#include <map>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "caraway/node/dispatch_window.h"
#include "caraway/node/node_batch_state.h"
#include "caraway/node/node_call.h"
#include "caraway/node/node_session.h"
#include "caraway/node/node_settings.h"
#include "caraway/node/node_slots.h"
#include "caraway/node/node_target.h"
#include "caraway/poison/crash_reporter.h"
#include "caraway/scheduling/stated_rate.h"
#include "caraway/scheduling/target_pace.h"

namespace caraway {

// Counters since the process started, for metrics.
struct NodeCounters
{
  uint64_t mDispatches = 0;
  uint64_t mStarted = 0;
  uint64_t mAnswered = 0;
  uint64_t mRefused = 0;
  uint64_t mFailed = 0; // calls that failed at the target
  uint64_t mPreempted = 0;
  uint64_t mItemsDone = 0;
  uint64_t mItemsFailed = 0;
  uint64_t mItemsReturned = 0;
  uint64_t mDuplicateDispatches = 0; // dispatches received again
  uint64_t mTurnedCold = 0;
};

struct WatchState
{
  MonoTime mUntil; // the watch expires then
};

// Load reports to the entries that watch this node.
struct NodeReports
{
  std::map<PeerAddress, WatchState> mWatchers;
  MonoTime mNextAt{ 0 };   // next periodic report
  MonoTime mLastAt{ 0 };   // last report of any kind
  uint32_t mLastLoad = 0;  // running + queued in the last report
  uint32_t mLastLimit = 0; // limit in the last report
  double mLastRate = 0;    // stated rate in the last report
};

enum class StopState : uint8_t
{
  eServing,
  eDraining, // refuses new work, finishes running work
  eLeaving,  // Leave was sent and is not confirmed yet
  eStopped,
};

struct Node
{
  NodeSettings mSettings;
  NodeSession mSession;
  NodeTarget mTarget;
  Scheduler mScheduler;
  std::map<AttemptKey, NodeCall> mCalls; // live, or ended with a kept answer
  std::map<WorkId, AttemptKey> mAttemptByWork; // queued and running calls
  size_t mKeptBytes = 0;              // accounted to all calls in mCalls
  std::deque<AttemptKey> mEndedOrder; // ended calls, oldest first
  // By entry session; cleared when the node's epoch changes.
  std::map<std::pair<InstanceId, Epoch>, DispatchWindow> mWindows;
  NodeSlots mSlots;
  NodeBatch mBatch;
  std::map<TargetCallId, TargetCallInfo> mTargetCalls;
  uint64_t mNextTargetCall = 1;
  uint64_t mNextWork = 1;
  NodeReports mReports;
  FencingToken mOrderToken; // highest seen; orders with older ones are refused
  std::map<std::pair<FencingToken, uint64_t>, LoadOrderReply> mOrderReplies;
  StopState mStop = StopState::eServing;
  MonoTime mStopSince{ 0 };    // time of StopRequested
  MonoTime mDrainAckedAt{ 0 }; // control acknowledged the drain, 0: not yet
  MonoTime mLeaveSince{ 0 };   // time of the first Leave
  MonoTime mLeaveAt{ 0 };      // next (re)transmission of Leave
  MonoTime mNextTick{ 0 };     // next housekeeping, once a second
  Revision mRecordRevision;    // revision in which the record was last read
  Target mRecord;              // the target's record in the configuration
  MonoTime mColdUntil{ 0 };    // as stated by the record when it last changed
  TargetPace mPace;            // of this start of the target
  StatedRate mRate;            // of this start of the target
  MonoTime mQueryAt{ 0 };      // next ControlQuery to a seed
  size_t mNextSeed = 0;
  CrashReporter mCrashReporter;
  NodeCounters mCounters;
};

} // namespace caraway
