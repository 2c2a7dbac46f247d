// Batch work: collecting results and delivering them to the ledger.

#include <algorithm>

#include "caraway/node/batch_line.h"
#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

constexpr size_t kGroupItems = 32;
constexpr size_t kGroupBytes = 768 * 1024; // keeps a message below 1 MiB
// Of one result; a group of one still fits into a message.
constexpr size_t kMaxResult = kGroupBytes - 16 * 1024;
constexpr Duration kGroupWait = Millis(100);
constexpr Duration kResend = Millis(500);

// Moves the results of a group into one or more messages.
void
PackGroup(Node& aNode,
          MonoTime aNow,
          const BatchLeaseKey& aKey,
          ResultGroup& aGroup)
{
  NodeBatch& batch = aNode.mBatch;
  size_t next = 0;
  while (next < aGroup.mResults.size()) {
    PendingResults pending;
    ItemResults& message = pending.mMessage;
    message.mNode = aNode.mSettings.mInstance;
    message.mNodeEpoch = aGroup.mNodeEpoch;
    message.mSequence = ++batch.mResultSequence;
    message.mJob = aKey.first;
    message.mToken = aKey.second;
    size_t bytes = 0;
    while (next < aGroup.mResults.size() &&
           message.mResults.size() < kGroupItems &&
           (bytes == 0 ||
            bytes + EncodedBound(aGroup.mResults[next]) <= kGroupBytes)) {
      bytes += EncodedBound(aGroup.mResults[next]);
      message.mResults.push_back(std::move(aGroup.mResults[next++]));
    }
    pending.mSendAt = aNow;
    batch.mUnacked.emplace(message.mSequence, std::move(pending));
  }
}

bool
IsReady(const ResultGroup& aGroup, MonoTime aNow)
{
  if (aGroup.mResults.size() >= kGroupItems ||
      aNow - aGroup.mFirstReady >= kGroupWait) {
    return true;
  }
  size_t bytes = 0;
  for (const ItemResult& result : aGroup.mResults) {
    bytes += EncodedBound(result);
  }
  return bytes >= kGroupBytes / 2;
}

} // namespace

void
AddResult(Node& aNode,
          MonoTime aNow,
          const BatchTask& aTask,
          ItemVerdict aVerdict,
          std::string aBody)
{
  ResultGroup& group =
    aNode.mBatch.mGroups[{ aTask.mLease.mJob, aTask.mLease.mToken }];
  if (group.mResults.empty()) {
    group.mFirstReady = aNow;
    group.mNodeEpoch = aTask.mLease.mNodeEpoch;
  }
  ItemResult result;
  result.mIndex = aTask.mIndex;
  result.mVerdict = aVerdict;
  result.mStatus = static_cast<uint16_t>(aTask.mStatus);
  result.mBody = std::move(aBody);
  if (aVerdict == ItemVerdict::eReturned && aTask.mEvents.mLast) {
    result.mProgress = { *aTask.mEvents.mLast, aTask.mText, {} };
    result.mBody = aTask.mVersion;
  }
  if (EncodedBound(result) > kMaxResult) {
    result.mVerdict = ItemVerdict::ePermanent;
    result.mBody = ErrorLine(
      aTask, "too_large", "the answer exceeds 752 KiB; ask for less output");
    result.mProgress = {};
  }
  group.mResults.push_back(std::move(result));
}

void
SendResults(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  NodeBatch& batch = aNode.mBatch;
  for (auto group = batch.mGroups.begin(); group != batch.mGroups.end();) {
    if (!IsReady(group->second, aNow)) {
      ++group;
      continue;
    }
    PackGroup(aNode, aNow, group->first, group->second);
    group = batch.mGroups.erase(group);
  }
  for (auto& [sequence, pending] : batch.mUnacked) {
    if (aNow >= pending.mSendAt) {
      pending.mSendAt = aNow + kResend;
      SendToLeader(aNode, pending.mMessage, aOut);
    }
  }
}

void
OnResultsAck(Node& aNode,
             MonoTime aNow,
             const ItemResultsAck& aAck,
             NodeActions& aOut)
{
  auto found = aNode.mBatch.mUnacked.find(aAck.mSequence);
  if (found == aNode.mBatch.mUnacked.end()) {
    return;
  }
  const ItemResults acked = std::move(found->second.mMessage);
  aNode.mBatch.mUnacked.erase(found);
  if (aAck.mStale) {
    DropTasks(aNode, aNow, &acked.mJob, &acked.mToken, aOut);
    aNode.mBatch.mGroups.erase({ acked.mJob, acked.mToken });
  }
}

} // namespace caraway
