// The log in memory and its writes to disk. One write is in progress at a time;
// changes made meanwhile go into the next one together.

#include <algorithm>

#include "caraway/consensus/raft_internal.h"
#include "caraway/consensus/replica_codec.h"

namespace caraway {

namespace {

// What is kept in memory for replicas that catch up, in snapshot intervals. A
// transfer takes up to four of them.
constexpr uint64_t kMostKeptFactor = 5;

} // namespace

LogIndex
LastIndex(const Raft& aRaft)
{
  return LogIndex(aRaft.mLog.mBase.mValue + aRaft.mLog.mEntries.size());
}

std::optional<Term>
TermAt(const Raft& aRaft, LogIndex aIndex)
{
  const RaftLog& log = aRaft.mLog;
  if (aIndex == log.mBase) {
    return log.mBaseTerm;
  }
  if (aIndex < log.mBase || aIndex > LastIndex(aRaft)) {
    return std::nullopt;
  }
  return log.mEntries[aIndex.mValue - log.mBase.mValue - 1].mTerm;
}

Term
LastTerm(const Raft& aRaft)
{
  return *TermAt(aRaft, LastIndex(aRaft));
}

void
AppendToLog(Raft& aRaft, LogEntry aEntry)
{
  if (aEntry.mKind == LogEntryKind::eMembership) {
    if (auto replicas = DecodeReplicaSet(aEntry.mPayload); replicas.ok()) {
      aRaft.mReplicas.push_back({ aEntry.mIndex, *std::move(replicas) });
    }
  }
  aRaft.mLog.mBytes += aEntry.mPayload.size();
  aRaft.mLog.mPendingBytes += aEntry.mPayload.size();
  aRaft.mLog.mEntries.push_back(std::move(aEntry));
}

void
TruncateLog(Raft& aRaft, LogIndex aFrom)
{
  RaftLog& log = aRaft.mLog;
  while (!log.mEntries.empty() && log.mEntries.back().mIndex >= aFrom) {
    log.mBytes -= log.mEntries.back().mPayload.size();
    log.mPendingBytes -= log.mEntries.back().mPayload.size();
    log.mEntries.pop_back();
  }
  while (aRaft.mReplicas.size() > 1 && aRaft.mReplicas.back().mIndex >= aFrom) {
    aRaft.mReplicas.pop_back();
  }
  const LogIndex last = LastIndex(aRaft);
  if (aRaft.mWrittenTo > last) {
    if (aRaft.mTruncateFrom.IsNone() || aFrom < aRaft.mTruncateFrom) {
      aRaft.mTruncateFrom = aFrom;
    }
    aRaft.mWrittenTo = last;
  }
  aRaft.mDurable = std::min(aRaft.mDurable, last);
}

void
CompactLog(Raft& aRaft)
{
  RaftLog& log = aRaft.mLog;
  // Entries that were not passed to a write yet are still needed.
  const uint64_t limit =
    std::min(aRaft.mSnapshot.mIndex.mValue, aRaft.mWrittenTo.mValue);
  // A replica that catches up with the log would need another snapshot without
  // the entries that it lacks.
  uint64_t confirmed = limit;
  for (const auto& [id, peer] : aRaft.mPeers) {
    if (!peer.mTransfer && !peer.mMatch.IsNone()) {
      confirmed = std::min(confirmed, peer.mMatch.mValue);
    }
  }
  const uint64_t mostKept = kMostKeptFactor * aRaft.mSettings.mSnapshotBytes;
  while (!log.mEntries.empty() && log.mEntries.front().mIndex.mValue <= limit &&
         (log.mEntries.front().mIndex.mValue <= confirmed ||
          log.mBytes > mostKept) &&
         (limit - log.mBase.mValue > aRaft.mSettings.mTailEntries ||
          log.mBytes > aRaft.mSettings.mTailBytes)) {
    log.mBytes -= log.mEntries.front().mPayload.size();
    log.mBase = log.mEntries.front().mIndex;
    log.mBaseTerm = log.mEntries.front().mTerm;
    log.mEntries.pop_front();
  }
  while (aRaft.mReplicas.size() > 1 &&
         aRaft.mReplicas[1].mIndex <= aRaft.mSnapshot.mIndex) {
    aRaft.mReplicas.pop_front();
  }
}

void
ResetLog(Raft& aRaft, const SnapshotMark& aMark)
{
  RaftLog& log = aRaft.mLog;
  const bool continues = TermAt(aRaft, aMark.mIndex) == aMark.mTerm;
  aRaft.mSnapshot = aMark;
  if (!continues) {
    log = RaftLog{ aMark.mIndex, aMark.mTerm, {}, 0, 0 };
    // Entries on disk after the snapshot do not continue it.
    aRaft.mTruncateFrom = LogIndex(aMark.mIndex.mValue + 1);
    aRaft.mWrittenTo = aMark.mIndex;
    aRaft.mDurable = aMark.mIndex;
    aRaft.mReplicas.clear();
    aRaft.mReplicas.push_back({ aMark.mIndex, aMark.mReplicas });
  }
  aRaft.mWrittenTo = std::max(aRaft.mWrittenTo, aMark.mIndex);
  aRaft.mDurable = std::max(aRaft.mDurable, aMark.mIndex);
  CompactLog(aRaft);
}

void
SetTerm(Raft& aRaft, Term aTerm, ReplicaId aVotedFor)
{
  aRaft.mTerm = aTerm;
  aRaft.mVotedFor = aVotedFor;
  aRaft.mHardStateDirty = true;
}

namespace {

bool
NeedsWrite(const Raft& aRaft)
{
  return aRaft.mHardStateDirty || !aRaft.mTruncateFrom.IsNone() ||
         aRaft.mWrittenTo < LastIndex(aRaft);
}

} // namespace

void
SendWhenSynced(Raft& aRaft, RaftSend aSend, RaftActions& aOut)
{
#ifdef CARAWAY_PLANTED_FAULT_ack_before_sync
  aOut.emplace_back(std::move(aSend));
  return;
#endif
  if (NeedsWrite(aRaft)) {
    aRaft.mDeferred.push_back({ aRaft.mNextWrite, std::move(aSend) });
  } else if (aRaft.mPendingWrite) {
    aRaft.mDeferred.push_back(
      { aRaft.mPendingWrite->mWrite, std::move(aSend) });
  } else {
    aOut.emplace_back(std::move(aSend));
  }
}

void
FlushWrites(Raft& aRaft, RaftActions& aOut)
{
  if (aRaft.mPendingWrite || aRaft.mInstallingSnapshot || aRaft.mFailed ||
      !NeedsWrite(aRaft)) {
    return;
  }
  RaftWrite write;
  write.mWrite = aRaft.mNextWrite++;
  if (aRaft.mHardStateDirty) {
    write.mHard = HardState{ aRaft.mTerm, aRaft.mVotedFor };
  }
  write.mTruncateFrom = aRaft.mTruncateFrom;
  const RaftLog& log = aRaft.mLog;
  for (uint64_t at = aRaft.mWrittenTo.mValue - log.mBase.mValue;
       at < log.mEntries.size();
       ++at) {
    write.mAppend.push_back(log.mEntries[at]);
  }
  aRaft.mHardStateDirty = false;
  aRaft.mTruncateFrom = LogIndex();
  aRaft.mWrittenTo = LastIndex(aRaft);
  aRaft.mPendingWrite = RaftPendingWrite{
    write.mWrite, aRaft.mTerm, LastIndex(aRaft), LastTerm(aRaft)
  };
  aOut.emplace_back(std::move(write));
}

void
OnWritten(Raft& aRaft, MonoTime aNow, uint64_t aWrite, RaftActions& aOut)
{
  if (!aRaft.mPendingWrite || aRaft.mPendingWrite->mWrite != aWrite) {
    return;
  }
  const RaftPendingWrite done = *aRaft.mPendingWrite;
  aRaft.mPendingWrite.reset();
  aRaft.mDurableTerm = done.mTerm;
  // If the log was truncated since, the next write contains the rest of it.
  if (TermAt(aRaft, done.mLast) == done.mLastTerm) {
    aRaft.mDurable = std::max(aRaft.mDurable, done.mLast);
  }
  while (!aRaft.mDeferred.empty() && aRaft.mDeferred.front().mWrite <= aWrite) {
    RaftSend send = std::move(aRaft.mDeferred.front().mSend);
    aRaft.mDeferred.pop_front();
    const auto* vote = std::get_if<VoteReply>(&send.mMessage.mBody);
    if (vote != nullptr && send.mMessage.mTo == aRaft.mSelf) {
      OnVoteReply(aRaft, aNow, send.mMessage, *vote, aOut);
    } else {
      aOut.emplace_back(std::move(send));
    }
  }
}

} // namespace caraway
