#pragma once
// The state of the node role.

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

namespace caraway {

// Counters since the process started, for metrics.
struct NodeCounters
{
  uint64_t mDispatches = 0;
  uint64_t mStarted = 0;
  uint64_t mAnswered = 0;
  uint64_t mRefused = 0;
  uint64_t mFailed = 0; // broken by the target
  uint64_t mPreempted = 0;
  uint64_t mItemsDone = 0;
  uint64_t mItemsFailed = 0;
  uint64_t mItemsReturned = 0;
  uint64_t mDuplicateDispatches = 0; // dispatches seen before
  uint64_t mTurnedCold = 0;
};

struct WatchState
{
  MonoTime mUntil;
};

struct NodeReports
{
  std::map<PeerAddress, WatchState> mWatchers;
  MonoTime mNextAt{ 0 };   // regular report
  MonoTime mLastAt{ 0 };   // last report of any kind
  uint32_t mLastLoad = 0;  // running + queued, as reported
  uint32_t mLastLimit = 0; // as reported
};

enum class StopState : uint8_t
{
  eServing,
  eDraining, // finishes what runs
  eLeaving,  // Leave sent, waiting for its confirmation
  eStopped,
};

struct Node
{
  NodeSettings mSettings;
  NodeSession mSession;
  NodeTarget mTarget;
  Scheduler mScheduler;
  std::map<AttemptKey, NodeCall> mCalls; // running ones and kept answers
  std::map<WorkId, AttemptKey> mCallOf;  // queued and running online calls
  size_t mKeptBytes = 0;                 // of all kept answers
  std::deque<AttemptKey> mEndedOrder;    // final calls, oldest first
  std::map<std::pair<InstanceId, Epoch>, DispatchWindow> mWindows; // this epoch
  NodeSlots mSlots;
  NodeBatch mBatch;
  std::map<TargetCallId, TargetCallInfo> mTargetCalls;
  uint64_t mNextTargetCall = 1;
  uint64_t mNextWork = 1;
  NodeReports mReports;
  FencingToken mOrderToken; // highest seen; older orders are refused
  std::map<std::pair<FencingToken, uint64_t>, LoadOrderReply> mOrderReplies;
  StopState mStop = StopState::eServing;
  MonoTime mStopSince{ 0 };    // StopRequested
  MonoTime mDrainAckedAt{ 0 }; // control acknowledged the drain, 0 = not yet
  MonoTime mLeaveSince{ 0 };   // first Leave
  MonoTime mLeaveAt{ 0 };      // next Leave
  MonoTime mNextTick{ 0 };     // housekeeping, once a second
  Revision mRecordRevision;    // configuration whose target record is followed
  Target mRecord;              // of that configuration
  MonoTime mColdUntil{ 0 };    // as the target said when its record changed
  MonoTime mQueryAt{ 0 };      // next ControlQuery
  size_t mNextSeed = 0;
  NodeCounters mCounters;
};

} // namespace caraway
