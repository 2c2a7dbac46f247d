// Commit index, applying entries, quorums and the leader lease.

#include <algorithm>

#include "caraway/base/lease.h"
#include "caraway/consensus/raft_internal.h"

namespace caraway {

namespace {

// The largest value that a majority of the voters has reached.
template<class Value, class ValueOf>
Value
MajorityValue(const Raft& aRaft, Value aNothing, ValueOf aValueOf)
{
  std::vector<Value> values;
  for (const Replica& replica : aRaft.mReplicas.back().mReplicas.mReplicas) {
    if (replica.mVoter) {
      values.push_back(aValueOf(replica.mId));
    }
  }
  if (values.empty()) {
    return aNothing;
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

const RaftPeer*
FindPeer(const Raft& aRaft, ReplicaId aId)
{
  const auto found = aRaft.mPeers.find(aId);
  return found == aRaft.mPeers.end() ? nullptr : &found->second;
}

// A leader steps down once its own removal is committed.
void
StepDownIfRemoved(Raft& aRaft, MonoTime aNow)
{
  if (!IsVoter(aRaft, aRaft.mSelf) &&
      aRaft.mReplicas.back().mIndex <= aRaft.mCommit) {
    BecomeFollower(aRaft, aNow, aRaft.mTerm, ReplicaId());
  }
}

} // namespace

void
CommitTo(Raft& aRaft, LogIndex aIndex, RaftActions& aOut)
{
  const LogIndex commit = std::min(aIndex, LastIndex(aRaft));
  if (commit <= aRaft.mCommit) {
    return;
  }
  RaftApply apply;
  RaftLog& log = aRaft.mLog;
  for (uint64_t at = aRaft.mCommit.mValue - log.mBase.mValue;
       at < commit.mValue - log.mBase.mValue;
       ++at) {
    apply.mEntries.push_back(log.mEntries[at]);
    log.mPendingBytes -= log.mEntries[at].mPayload.size();
    aRaft.mAppliedBytes += log.mEntries[at].mPayload.size();
  }
  aRaft.mCommit = commit;
  aRaft.mApplied = commit;
  aOut.emplace_back(std::move(apply));
  MaybeTakeSnapshot(aRaft, aOut);
}

void
AdvanceLeaderCommit(Raft& aRaft, MonoTime aNow, RaftActions& aOut)
{
  if (aRaft.mRole != RaftRole::eLeader) {
    return;
  }
  const LogIndex reached = MajorityValue(aRaft, LogIndex(), [&](ReplicaId aId) {
    if (aId == aRaft.mSelf) {
#ifdef CARAWAY_PLANTED_FAULT_ack_before_sync
      return LastIndex(aRaft);
#endif
      return aRaft.mDurable;
    }
    const RaftPeer* peer = FindPeer(aRaft, aId);
    return peer == nullptr ? LogIndex() : peer->mMatch;
  });
  // Entries of earlier terms are committed only together with one of this term
  // (Raft, section 3.6.2).
  if (reached >= aRaft.mTermFirstIndex) {
    CommitTo(aRaft, reached, aOut);
    aRaft.mKnowsCommit = true;
    StepDownIfRemoved(aRaft, aNow);
  }
}

MonoTime
QuorumReplySentAt(const Raft& aRaft, MonoTime aNow)
{
  const MonoTime never{ INT64_MIN / 4 };
  return MajorityValue(aRaft, never, [&](ReplicaId aId) {
    if (aId == aRaft.mSelf) {
      return aNow;
    }
    const RaftPeer* peer = FindPeer(aRaft, aId);
    return peer == nullptr ? never : peer->mLastReplySentAt;
  });
}

bool
HasQuorumRepliedSince(const Raft& aRaft, MonoTime aSince)
{
  const MonoTime never{ INT64_MIN / 4 };
  return MajorityValue(aRaft, never, [&](ReplicaId aId) {
           if (aId == aRaft.mSelf) {
             return kNever;
           }
           const RaftPeer* peer = FindPeer(aRaft, aId);
           return peer == nullptr ? never : peer->mLastReplyAt;
         }) >= aSince;
}

bool
HoldsLeaderLease(const Raft& aRaft, MonoTime aNow)
{
  if (!IsLeader(aRaft) || aRaft.mCommit < aRaft.mTermFirstIndex) {
    return false;
  }
  Duration length = aRaft.mSettings.mElectionMin;
#ifdef CARAWAY_PLANTED_FAULT_lease_past_expiry
  length = length * 3;
#endif
  return aNow < HolderLeaseEnd(QuorumReplySentAt(aRaft, aNow), length);
}

} // namespace caraway
