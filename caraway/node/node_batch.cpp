// Batch work: leasing items from the ledger and returning them.

#include <algorithm>
#include <cmath>

#include "caraway/base/absl_view.h"
#include "caraway/config/target_use.h"
#include "caraway/node/batch_line.h"
#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

constexpr uint32_t kMaxItemsPerLease = 64;
constexpr Duration kResend = Millis(500);
constexpr Duration kMinLeasePause = Millis(50); // after an answer without items
constexpr Duration kPollEvery = Millis(200);
// Items that come this long after they were asked for are checked before they
// start: their job may have ended or moved on their way.
constexpr Duration kMaxLeaseAge = Seconds(1);
constexpr size_t kMaxUnacked = 8; // result messages; at this, leasing stops

// Number of waiting items to keep: those that finish within mPrefetchSeconds at
// the measured rate.
uint32_t
ItemsToPrefetch(const Node& aNode)
{
  const NodeBatch& batch = aNode.mBatch;
  if (batch.mItemSeconds <= 0) {
    return 0;
  }
  const auto running = static_cast<double>(aNode.mScheduler.mRunning.size() -
                                           aNode.mScheduler.mRunningOnline);
  return static_cast<uint32_t>(
    std::min<double>(kMaxItemsPerLease,
                     std::ceil(running * aNode.mSettings.mPrefetchSeconds /
                               batch.mItemSeconds)));
}

uint32_t
ItemsWanted(const Node& aNode, MonoTime aNow)
{
  const uint32_t room = BatchRoom(aNode.mScheduler, aNow);
  const uint32_t ahead = ItemsToPrefetch(aNode);
  const auto waiting = static_cast<uint32_t>(aNode.mScheduler.mBatch.size());
  if (room > 0) {
    return std::min(kMaxItemsPerLease, room + ahead);
  }
  return waiting * 2 < ahead ? ahead - waiting : 0;
}

bool
MayLease(const Node& aNode, MonoTime aNow)
{
  return RefusalReason(aNode, aNow) == ErrorKind::eNone &&
         !aNode.mScheduler.mHeld &&
         !aNode.mTarget.mAnnounced.mInfo.mModels.empty() &&
         aNode.mBatch.mUnacked.size() < kMaxUnacked;
}

void
SendLease(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  LeaseItems lease;
  lease.mNode = aNode.mSettings.mInstance;
  lease.mNodeEpoch = aNode.mSession.mEpoch;
  lease.mSequence = aNode.mBatch.mLeaseSequence;
  lease.mModels = aNode.mTarget.mAnnounced.mInfo.mModels;
  lease.mWanted = aNode.mBatch.mLeaseWanted;
  lease.mTimePerToken =
    Micros(static_cast<int64_t>(aNode.mBatch.mTokenSeconds * 1e6));
  aNode.mBatch.mLeaseSendAt = aNow + kResend;
  SendToLeader(aNode, std::move(lease), aOut);
}

void
AddTask(Node& aNode,
        MonoTime aNow,
        const BatchLease& aLease,
        const BatchItem& aItem)
{
  BatchTask task;
  task.mWork = WorkId(aNode.mNextWork++);
  task.mLease = aLease;
  task.mIndex = aItem.mIndex;
  task.mWaitingSince = aNow;
  auto line = ParseBatchLine(aItem.mBody, aLease.mEndpoint);
  if (!line.ok()) {
    ++aNode.mCounters.mItemsFailed;
    AddResult(
      aNode,
      aNow,
      task,
      ItemVerdict::ePermanent,
      ErrorLine(task, "invalid_line", StdView(line.status().message())));
    return;
  }
  task.mCustomId = line->mCustomId;
  task.mPath = line->mUrl;
  task.mBody = line->mBody;
  task.mPrompt = line->mPrompt;
  task.mOutput = line->mOutput;
  task.mStreamed =
    line->mRaw || (line->mCanStream &&
                   aNode.mTarget.mAnnounced.mInfo.mKind == TargetKind::eEngine);
  task.mRaw = line->mRaw;
  task.mHeaders = line->mHeaders;
  task.mInputParts = std::move(line->mPromptParts);
  task.mInputParts.push_back(WholeInput("POST", task.mPath, task.mBody));
  task.mStatedTokens = aItem.mTokens;
  if (task.mRaw && aItem.mProgress.mLastEvent > 0) {
    task.mEvents.mLast = aItem.mProgress.mLastEvent;
    task.mText = aItem.mProgress.mText;
    task.mHasData = true;
    task.mVersion = aItem.mProgress.mVersion;
  }
  Work work;
  work.mId = task.mWork;
  work.mWorkspace = aLease.mWorkspace;
  work.mWeight = aLease.mWeight;
  work.mPrompt = task.mPrompt;
  work.mCost = static_cast<double>(task.mPrompt) + task.mOutput;
  work.mStreamed = task.mStreamed;
  work.mDeadline = aLease.mDeadline;
  work.mWindow = aLease.mWindow;
  if (task.mRaw && aLease.mGoal != MonoTime{}) {
    // Waiting items are ordered by the time at which they are due.
    work.mDeadline = work.mGoal = aLease.mGoal;
    work.mRunTime = Micros(
      static_cast<int64_t>(aNode.mBatch.mTokenSeconds * aItem.mTokens * 1e6));
  }
  AddBatch(aNode.mScheduler, work);
  aNode.mBatch.mTasks.emplace(task.mWork, std::move(task));
}

// Returns the waiting items that aReturned accepts.
template<class Predicate>
void
ReturnItems(Node& aNode, MonoTime aNow, Predicate aReturned)
{
  auto& tasks = aNode.mBatch.mTasks;
  for (auto task = tasks.begin(); task != tasks.end();) {
    const bool waiting = task->second.mTargetCall.IsNone();
    if (!waiting || !aReturned(task->second)) {
      ++task;
      continue;
    }
    RemoveWaiting(aNode.mScheduler, task->first);
    ++aNode.mCounters.mItemsReturned;
    AddResult(aNode, aNow, task->second, ItemVerdict::eReturned, {});
    task = tasks.erase(task);
  }
}

} // namespace

void
RequestItems(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  NodeBatch& batch = aNode.mBatch;
  if (!aNode.mSession.mLive) {
    return;
  }
  if (batch.mLeasing) {
    // Retransmit even while draining: the items may already be leased.
    if (aNow >= batch.mLeaseSendAt) {
      SendLease(aNode, aNow, aOut);
    }
    return;
  }
  batch.mPollAt = aNow + kPollEvery;
  if (aNow < batch.mNextLeaseAt || !MayLease(aNode, aNow)) {
    return;
  }
  const uint32_t wanted = ItemsWanted(aNode, aNow);
  if (wanted == 0) {
    return;
  }
  ++batch.mLeaseSequence;
  batch.mLeasing = true;
  batch.mLeaseWanted = wanted;
  batch.mLeaseAskedAt = aNow;
  SendLease(aNode, aNow, aOut);
}

namespace {

// True if the node has items or undelivered results of this lease.
bool
HasItemsOfLease(const NodeBatch& aBatch, const ItemBatch& aItems)
{
  const auto isSame = [&](const JobId& aJob, FencingToken aToken) {
    return aJob == aItems.mJob && aToken == aItems.mToken;
  };
  return aBatch.mGroups.contains({ aItems.mJob, aItems.mToken }) ||
         std::any_of(aBatch.mTasks.begin(),
                     aBatch.mTasks.end(),
                     [&](const auto& aTask) {
                       const BatchLease& lease = aTask.second.mLease;
                       return isSame(lease.mJob, lease.mToken);
                     }) ||
         std::any_of(aBatch.mUnacked.begin(),
                     aBatch.mUnacked.end(),
                     [&](const auto& aResults) {
                       const ItemResults& message = aResults.second.mMessage;
                       return isSame(message.mJob, message.mToken);
                     });
}

// Returns the items of an ItemBatch that no request waits for. A delayed copy
// of a LeaseItems can lease items although an earlier copy was answered with
// none, and the ledger counts them as held by this node. If the lease has
// already finished, the ledger refuses the returned items as stale.
void
ReturnUnrequestedItems(Node& aNode, MonoTime aNow, const ItemBatch& aItems)
{
  if (aItems.mJob.Empty() || aItems.mNodeEpoch != aNode.mSession.mEpoch ||
      HasItemsOfLease(aNode.mBatch, aItems)) {
    return;
  }
  BatchTask returned;
  returned.mLease.mJob = aItems.mJob;
  returned.mLease.mToken = aItems.mToken;
  returned.mLease.mNodeEpoch = aItems.mNodeEpoch;
  for (const BatchItem& item : aItems.mItems) {
    returned.mIndex = item.mIndex;
    ++aNode.mCounters.mItemsReturned;
    AddResult(aNode, aNow, returned, ItemVerdict::eReturned, {});
  }
}

} // namespace

void
OnItemBatch(Node& aNode,
            MonoTime aNow,
            const ItemBatch& aBatch,
            NodeActions& aOut)
{
  NodeBatch& batch = aNode.mBatch;
  if (!batch.mLeasing || aBatch.mNodeEpoch != aNode.mSession.mEpoch ||
      aBatch.mSequence != batch.mLeaseSequence) {
    ReturnUnrequestedItems(aNode, aNow, aBatch);
    return;
  }
  batch.mLeasing = false;
  if (aBatch.mJob.Empty() || aBatch.mItems.empty()) {
    batch.mNextLeaseAt = aNow + std::max(aBatch.mRetryAfter, kMinLeasePause);
    return;
  }
  BatchLease lease;
  lease.mJob = aBatch.mJob;
  lease.mToken = aBatch.mToken;
  lease.mWorkspace = aBatch.mWorkspace;
  lease.mWeight = aBatch.mWeight;
  lease.mModel = aBatch.mModel;
  lease.mEndpoint = aBatch.mEndpoint;
  lease.mDeadline = aNow + aBatch.mDeadline;
  lease.mWindow = aBatch.mWindow;
  if (aBatch.mGoal != Duration{}) {
    lease.mGoal = aNow + aBatch.mGoal;
  }
  lease.mNodeEpoch = aBatch.mNodeEpoch;
  for (const BatchItem& item : aBatch.mItems) {
    AddTask(aNode, aNow, lease, item);
  }
  if (aNow - batch.mLeaseAskedAt > kMaxLeaseAge) {
    batch.mCheckLeasesAfter = aNow;
    SendRenew(aNode, aNow, aOut);
  }
  const ErrorKind reason = RefusalReason(aNode, aNow);
  if (reason == ErrorKind::eDraining || reason == ErrorKind::eZoneOut ||
      IsOutOfUse(aNode.mSession.mView, aNode.mRecord)) {
    ReturnWaitingItems(aNode, aNow, aOut);
  }
}

void
DropTasks(Node& aNode,
          MonoTime aNow,
          const JobId* aJob,
          const FencingToken* aToken,
          NodeActions& aOut)
{
  auto& tasks = aNode.mBatch.mTasks;
  for (auto task = tasks.begin(); task != tasks.end();) {
    const BatchLease& lease = task->second.mLease;
    const bool drop = (aJob == nullptr || lease.mJob == *aJob) &&
                      (aToken == nullptr || lease.mToken == *aToken);
    if (!drop) {
      ++task;
      continue;
    }
    RemoveWaiting(aNode.mScheduler, task->first);
    RecordCallEnd(aNode.mScheduler, aNow, task->first, Ending::eCancelled, 0);
    CloseTargetCall(aNode, task->second.mTargetCall, aOut);
    task = tasks.erase(task);
  }
}

void
ReturnAllItems(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  for (const auto& [work, task] : aNode.mBatch.mTasks) {
    ++aNode.mCounters.mItemsReturned;
    AddResult(aNode, aNow, task, ItemVerdict::eReturned, {});
  }
  DropTasks(aNode, aNow, nullptr, nullptr, aOut);
}

void
OnItemsRevoked(Node& aNode,
               MonoTime aNow,
               const ItemsRevoked& aRevoked,
               NodeActions& aOut)
{
  DropTasks(aNode, aNow, &aRevoked.mJob, nullptr, aOut);
  auto& groups = aNode.mBatch.mGroups;
  for (auto group = groups.begin(); group != groups.end();) {
    group = group->first.first == aRevoked.mJob ? groups.erase(group)
                                                : std::next(group);
  }
}

void
ReturnWaitingItems(Node& aNode, MonoTime aNow, NodeActions&)
{
  ReturnItems(aNode, aNow, [](const BatchTask&) { return true; });
}

void
ReturnOverdueItems(Node& aNode, MonoTime aNow, NodeActions&)
{
  ReturnItems(aNode, aNow, [&](const BatchTask& aTask) {
    return aNow - aTask.mWaitingSince >= aNode.mSettings.mMaxItemWait;
  });
}

std::vector<FencingToken>
HeldLeases(const Node& aNode)
{
  std::set<FencingToken> leases;
  for (const auto& [work, task] : aNode.mBatch.mTasks) {
    leases.insert(task.mLease.mToken);
  }
  return { leases.begin(), leases.end() };
}

void
OnLeasesChecked(Node& aNode,
                MonoTime aNow,
                const RenewReply& aReply,
                NodeActions& aOut)
{
  NodeBatch& batch = aNode.mBatch;
  const MonoTime sent{ aReply.mSentAt };
  if (sent < batch.mLeasesCheckedAt) {
    return; // overtaken by a newer reply
  }
  batch.mLeasesCheckedAt = sent;
  batch.mMovedLeases = { aReply.mMovedLeases.begin(),
                         aReply.mMovedLeases.end() };
  for (const FencingToken token : aReply.mEndedLeases) {
    DropTasks(aNode, aNow, nullptr, &token, aOut);
    std::erase_if(batch.mGroups, [&](const auto& aGroup) {
      return aGroup.first.second == token;
    });
  }
}

void
ReturnMovedItems(Node& aNode, MonoTime aNow)
{
  const auto& moved = aNode.mBatch.mMovedLeases;
  if (!moved.empty()) {
    ReturnItems(aNode, aNow, [&](const BatchTask& aTask) {
      return moved.contains(aTask.mLease.mToken);
    });
  }
}

bool
MayStartItems(const Node& aNode, MonoTime aNow)
{
  const NodeBatch& batch = aNode.mBatch;
  return aNode.mSession.mLive && aNow < aNode.mSession.mLeaseEnd &&
         batch.mLeasesCheckedAt >= batch.mCheckLeasesAfter;
}

MonoTime
NextBatchWakeup(const Node& aNode)
{
  const NodeBatch& batch = aNode.mBatch;
  MonoTime next = kNever;
  if (batch.mLeasing && aNode.mSession.mLive) {
    next = std::min(next, batch.mLeaseSendAt);
  } else if (aNode.mSession.mLive) {
    next = std::min(next, std::max(batch.mNextLeaseAt, batch.mPollAt));
  }
  for (const auto& [key, group] : batch.mGroups) {
    next = std::min(next, group.mFirstReady + Millis(100));
  }
  for (const auto& [sequence, pending] : batch.mUnacked) {
    next = std::min(next, pending.mSendAt);
  }
  return next;
}

} // namespace caraway
