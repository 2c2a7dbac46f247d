// Replication on the follower.

#include <algorithm>

#include "caraway/consensus/raft_internal.h"

namespace caraway {

namespace {

// Where the leader should continue: before all entries of the conflicting term.
LogIndex
NextIndexHint(const Raft& aRaft, LogIndex aPrevious)
{
  if (aPrevious > LastIndex(aRaft)) {
    return LastIndex(aRaft);
  }
  const std::optional<Term> conflicting = TermAt(aRaft, aPrevious);
  LogIndex hint = aPrevious;
  while (hint > aRaft.mCommit && TermAt(aRaft, hint) == conflicting) {
    hint = LogIndex(hint.mValue - 1);
  }
  return std::max(hint, aRaft.mCommit);
}

bool
MatchesLog(const Raft& aRaft, const AppendRequest& aRequest)
{
  // Entries up to the commit index are the same on all replicas.
  return aRequest.mPreviousIndex <= aRaft.mCommit ||
         TermAt(aRaft, aRequest.mPreviousIndex) == aRequest.mPreviousTerm;
}

// Appends the entries that are missing here, truncating the log at a conflict.
void
AppendNewEntries(Raft& aRaft, MonoTime aNow, const AppendRequest& aRequest)
{
  const size_t sets = aRaft.mReplicas.size();
  const LogIndex set = aRaft.mReplicas.back().mIndex;
  for (const LogEntry& entry : aRequest.mEntries) {
    if (entry.mIndex <= aRaft.mCommit ||
        TermAt(aRaft, entry.mIndex) == entry.mTerm) {
      continue;
    }
    if (entry.mIndex <= LastIndex(aRaft)) {
      TruncateLog(aRaft, entry.mIndex);
    }
    AppendToLog(aRaft, entry);
  }
  if (sets != aRaft.mReplicas.size() || set != aRaft.mReplicas.back().mIndex) {
    OnReplicasChanged(aRaft, aNow);
  }
}

} // namespace

void
OnAppendRequest(Raft& aRaft,
                MonoTime aNow,
                const RaftMessage& aMessage,
                const AppendRequest& aRequest,
                RaftActions& aOut)
{
  if (aRaft.mInstallingSnapshot || aRaft.mLostDisk ||
      (aRaft.mRole == RaftRole::eLeader && aRequest.mTerm == aRaft.mTerm)) {
    return;
  }
  AppendReply reply;
  reply.mSentAt = aRequest.mSentAt;
  RaftSend send = MakeMessage(aRaft, aMessage.mFrom);
  if (aRequest.mTerm < aRaft.mTerm) {
    reply.mTerm = aRaft.mTerm;
    send.mMessage.mBody = reply;
    SendWhenSynced(aRaft, std::move(send), aOut);
    return;
  }
  BecomeFollower(aRaft, aNow, aRequest.mTerm, aMessage.mFrom);
  HeardLeader(aRaft, aNow, aMessage.mFrom);
  reply.mTerm = aRaft.mTerm;
  if (!MatchesLog(aRaft, aRequest)) {
    reply.mNextHint = NextIndexHint(aRaft, aRequest.mPreviousIndex);
    send.mMessage.mBody = reply;
    SendWhenSynced(aRaft, std::move(send), aOut);
    return;
  }
  AppendNewEntries(aRaft, aNow, aRequest);
  const LogIndex matched(aRequest.mPreviousIndex.mValue +
                         aRequest.mEntries.size());
  CommitTo(aRaft, std::min(aRequest.mCommit, matched), aOut);
  // The commit index of a leader is up to date once it covers an entry of its
  // own term.
  if (aRaft.mCommit >= aRequest.mCommit &&
      TermAt(aRaft, aRequest.mCommit) == aRequest.mTerm) {
    aRaft.mKnowsCommit = true;
  }
  reply.mAccepted = true;
  if (aRaft.mDurableTerm == aRaft.mTerm &&
      (aRequest.mEntries.empty() || matched <= aRaft.mDurable)) {
    // Nothing new to write: reply at once with what is synced, so that a slow
    // disk does not cost the leader its lease.
    reply.mMatch = std::min(matched, aRaft.mDurable);
    send.mMessage.mBody = reply;
    aOut.emplace_back(std::move(send));
    return;
  }
  reply.mMatch = matched;
  send.mMessage.mBody = reply;
  SendWhenSynced(aRaft, std::move(send), aOut);
}

} // namespace caraway
