#pragma once
// The state of the control role: the replicated log, the durable state built
// from it, and the soft state of the leader.

#include <map>
#include <optional>
#include <set>
#include <variant>

#include "caraway/admission/grantor_state.h"
#include "caraway/base/http.h"
#include "caraway/consensus/raft_state.h"
#include "caraway/control/blob_fetch.h"
#include "caraway/control/command.h"
#include "caraway/control/config_polls.h"
#include "caraway/control/control_settings.h"
#include "caraway/control/discovery.h"
#include "caraway/control/group_watch.h"
#include "caraway/membership/sessions.h"
#include "caraway/poison/crash_evidence.h"
#include "caraway/rollout/verdict.h"
#include "caraway/wire/rollout_messages.h"

namespace caraway {

// The reply to send once a proposed entry is applied. The proposal took effect
// only if the entry applied at its index has the same term; otherwise it is
// lost.

struct PendingRegisterReply
{
  PeerAddress mFrom;
  InstanceId mInstance;
  uint64_t mIncarnation = 0;
  int64_t mSentAt = 0;
};

struct PendingLeaveReply
{
  PeerAddress mFrom;
  InstanceId mInstance;
  Epoch mEpoch;
};

struct PendingWriteReply
{
  HttpCallId mCall;
  std::string mKeyText; // text of a key being created; shown once
};

struct PendingReplicasReply
{
  HttpCallId mCall;
};

struct PendingCallReply
{
  PeerAddress mFrom;
  GroupId mGroup;
  uint64_t mCall = 0;
  Epoch mEntryEpoch;
};

// Acknowledges a plan once it is in force at the entries, see plan_replies.cpp.
struct WaitingPlanReply
{
  PendingCallReply mTo;
  Revision mRevision;
  MonoTime mReplyBy; // then in any case
};

struct PendingLeaseReply
{
  PeerAddress mFrom;
  InstanceId mNode;
  std::vector<ModelId> mServed; // by the node's target
};

// Sends a batch once the items that do not fit into it are returned.
struct PendingBatchReply
{
  PeerAddress mTo;
  ItemBatch mBatch;
};

struct PendingResultsReply
{
  PeerAddress mFrom;
};

struct PendingTick
{};

// Of a call that an operator made at this replica.
struct PendingOperatorCall
{
  HttpCallId mCall;
};

using PendingReply = std::variant<std::monostate,
                                  PendingRegisterReply,
                                  PendingLeaveReply,
                                  PendingWriteReply,
                                  PendingReplicasReply,
                                  PendingCallReply,
                                  PendingLeaseReply,
                                  PendingBatchReply,
                                  PendingResultsReply,
                                  PendingTick,
                                  PendingOperatorCall>;

struct Proposal
{
  Term mTerm;
  PendingReply mPendingReply;
};

// Origins of streams kept by one replica: of some hundred streams a second for
// as long as callers resume them. Takes up 5 MB.
constexpr size_t kMaxStreamOrigins = 65536;

// What the leader knows of the active roll-out of a service.
struct RolloutWatch
{
  uint64_t mNumber = 0; // of the roll-out
  // Last report of each entry. Those of entries that left keep counting.
  std::map<InstanceId, RolloutReport> mReports;
  // Batch items, which nodes run.
  uint64_t mItemsLeased = 0;
  uint64_t mTrialItemsLeased = 0;
  // Nodes of targets on trial whose next lease is proposed and not applied yet.
  std::set<InstanceId> mTrialLeases;
  AnswerCounts mItemsBeside;
  std::map<TargetId, AnswerCounts> mTrialItems;
  // The last results of each node that are counted. Nodes send them again until
  // they are acknowledged.
  std::map<InstanceId, std::pair<Epoch, uint64_t>> mResultsCounted;
  MonoTime mProposedAt{ -kNever.mMicros }; // when a step was last proposed
  MonoTime mNextLine;                      // of the log, while it is active
};

// What the leader knows of an unlisted target.
struct UnlistedTargetWatch
{
  MonoTime mHeardAt;
  MonoTime mProposedAt; // when a change was last proposed
};

// Soft state that only the leader has; cleared when the leadership ends.
struct Leadership
{
  bool mStarted = false; // held the leader lease at least once in this term
  Term mTerm;
  MonoTime mStartedAt;
  MonoTime mLogicalBase; // logical time at mStartedAt
  Sessions mSessions;
  // ViewDigest of the configuration at this revision.
  Revision mDigestRevision;
  uint64_t mDigest = 0;
  Grantor mGrantor;
  std::map<LogIndex, Proposal> mProposals;
  std::vector<WaitingPlanReply> mPlanReplies;
  // Of the newest plan. A new leader takes every plan that it finds as new.
  Revision mPlanRevision;
  MonoTime mPlanAppliedAt;
  MonoTime mNextScan;        // next run of the leader's periodic duties
  bool mTickPending = false; // a ledger tick is proposed and not applied yet
  MonoTime mLastTick;
  // When an entry last reported a heartbeat of the target, or when the removal
  // of the target was last proposed.
  std::map<TargetId, MonoTime> mTargetHeardAt;
  std::map<UnlistedTargetKey, UnlistedTargetWatch> mUnlistedWatches;
  MonoTime mStraysProposedAt; // when a removal of stray records was proposed
  // When a change of the block was last proposed.
  std::map<InputBlockId, MonoTime> mBlockProposedAt;
  // Since when no target has had a software version that is still remembered.
  std::map<std::pair<ServiceId, std::string>, MonoTime> mVersionUnusedSince;
  MonoTime mToleranceAskedAt; // when UseRateTolerance was proposed
  std::map<ServiceId, RolloutWatch> mRollouts;
  std::set<PeerAddress> mIdleNodes; // asked for items when none were ready
};

struct ControlCounters
{
  uint64_t mProposals = 0;
  uint64_t mRenewals = 0;
  uint64_t mGrants = 0;
  uint64_t mCalls = 0;
  uint64_t mItemsLeased = 0;
  uint64_t mRemoved = 0;
  uint64_t mLeaderChanges = 0;
  uint64_t mCrashesReported = 0; // ended targets, with suspects
  uint64_t mBlocksSet = 0;
  uint64_t mBlocksLifted = 0;
  uint64_t mRolloutSteps = 0; // phases of roll-outs that this replica proposed
};

struct Control
{
  ControlSettings mSettings;
  Raft mRaft;
  ControlState mState;
  ReplicaSet mAppliedReplicas; // replica set as of mState.mApplied
  ConfigPolls mPolls;
  ControlDiscovery mDiscovery;
  Leadership mLeadership;
  MonoTime mLeaderlessSince; // since when no leader is known; or the last step
  bool mLeaderlessLogged = false;
  MonoTime mNextLeaderlessLine;
  GroupWatch mWatch;
  CommitWatch mCommitWatch;
  MonoTime mEntryLeft; // when an entry last left the configuration, or the
                       // state was loaded
  BlobFetches mFetches;
  // Soft state of every replica, as entries report it.
  StreamOrigins mStreamOrigins{ kMaxStreamOrigins };
  // Soft state of every replica: the leader passes the reports of members on,
  // so that it outlives the leader together with the members that reported.
  CrashEvidence mEvidence;
  std::optional<SnapshotMark> mSaving; // snapshot being written
  uint64_t mKeyNumber = 0;             // keys derived since the start
  bool mHalted = false; // disk failed or data is corrupt; answers HTTP only
  bool mStopping = false;
  bool mStopped = false;
  MonoTime mStopDeadline;
  Departure mDeparture; // once mStopping
  ControlCounters mCounters;
};

} // namespace caraway
