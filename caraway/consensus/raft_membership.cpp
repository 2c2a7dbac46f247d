// The replica set: changes of one replica at a time, learners, and the data
// folder that holds each voter's vote.

#include <algorithm>

#include "caraway/base/error.h"
#include "caraway/consensus/raft_internal.h"
#include "caraway/consensus/replica_codec.h"

namespace caraway {

const Replica*
FindReplica(const ReplicaSet& aReplicas, ReplicaId aId)
{
  for (const Replica& replica : aReplicas.mReplicas) {
    if (replica.mId == aId) {
      return &replica;
    }
  }
  return nullptr;
}

bool
IsVoter(const Raft& aRaft, ReplicaId aId)
{
  const Replica* replica = FindReplica(aRaft.mReplicas.back().mReplicas, aId);
  return replica != nullptr && replica->mVoter;
}

size_t
VoterCount(const Raft& aRaft)
{
  const auto& replicas = aRaft.mReplicas.back().mReplicas.mReplicas;
  return static_cast<size_t>(std::count_if(
    replicas.begin(), replicas.end(), [](const Replica& aReplica) {
      return aReplica.mVoter;
    }));
}

const ReplicaSet&
ReplicasAt(const Raft& aRaft, LogIndex aIndex)
{
  for (auto at = aRaft.mReplicas.rbegin(); at != aRaft.mReplicas.rend(); ++at) {
    if (at->mIndex <= aIndex) {
      return at->mReplicas;
    }
  }
  return aRaft.mReplicas.front().mReplicas;
}

ReplicaId
BestSuccessor(const Raft& aRaft, const std::vector<ReplicaId>& aAmong)
{
  ReplicaId best;
  LogIndex match;
  for (const ReplicaId id : aAmong) {
    const auto peer = aRaft.mPeers.find(id);
    if (peer != aRaft.mPeers.end() && IsVoter(aRaft, id) &&
        (best.IsNone() || peer->second.mMatch > match)) {
      best = id;
      match = peer->second.mMatch;
    }
  }
  return best;
}

void
OnReplicasChanged(Raft& aRaft, MonoTime aNow)
{
  const ReplicaSet& replicas = aRaft.mReplicas.back().mReplicas;
  const Replica* self = FindReplica(replicas, aRaft.mSelf);
  if (self != nullptr && self->mDisk != 0 && self->mDisk != aRaft.mDisk) {
    aRaft.mLostDisk = true;
  }
  if (aRaft.mRole != RaftRole::eLeader) {
    return;
  }
  std::erase_if(aRaft.mPeers, [&](const auto& aPeer) {
    return FindReplica(replicas, aPeer.first) == nullptr;
  });
  for (const Replica& replica : replicas.mReplicas) {
    if (replica.mId == aRaft.mSelf || aRaft.mPeers.contains(replica.mId)) {
      continue;
    }
    RaftPeer& peer = aRaft.mPeers[replica.mId];
    peer.mNext = LogIndex(LastIndex(aRaft).mValue + 1);
    peer.mLastReplyAt = aNow; // it has one election timeout to reply
  }
}

bool
IsTrustedSender(const Raft& aRaft, const RaftMessage& aMessage)
{
  const Replica* sender =
    FindReplica(aRaft.mReplicas.back().mReplicas, aMessage.mFrom);
  return sender == nullptr || sender->mDisk == 0 ||
         sender->mDisk == aMessage.mDisk;
}

RaftSend
MakeMessage(const Raft& aRaft, ReplicaId aTo)
{
  RaftSend send;
  send.mMessage.mGroup = aRaft.mGroup;
  send.mMessage.mFrom = aRaft.mSelf;
  send.mMessage.mTo = aTo;
  send.mMessage.mDisk = aRaft.mDisk;
  for (auto at = aRaft.mReplicas.rbegin(); at != aRaft.mReplicas.rend(); ++at) {
    if (const Replica* replica = FindReplica(at->mReplicas, aTo)) {
      send.mAddress = replica->mAddress;
      break;
    }
  }
  return send;
}

namespace {

// Under load a learner's replies always trail the newest commit, by up to two
// syncs of its disk. If the group needs its vote, the first commits after the
// promotion wait for this long at most.
Duration
CatchUpTime(const Raft& aRaft)
{
  return aRaft.mSettings.mElectionMax * 2;
}

} // namespace

void
MarkCommit(Raft& aRaft, MonoTime aNow)
{
  auto& marks = aRaft.mCommitMarks;
  marks.push_back({ aNow, std::max(aRaft.mCommit, marks.back().mCommit) });
  while (marks.size() > 1 && marks[1].mAt + CatchUpTime(aRaft) <= aNow) {
    marks.pop_front();
  }
}

namespace {

// How two sets differ. A change may concern only one replica.
struct SetChange
{
  size_t mCount = 0;
  const Replica* mOld = nullptr; // null: added
  const Replica* mNew = nullptr; // null: removed
};

SetChange
CompareReplicaSets(const ReplicaSet& aOld, const ReplicaSet& aNew)
{
  SetChange change;
  for (const Replica& replica : aNew.mReplicas) {
    const Replica* old = FindReplica(aOld, replica.mId);
    if (old == nullptr || old->mVoter != replica.mVoter ||
        old->mAddress != replica.mAddress) {
      ++change.mCount;
      change.mOld = old;
      change.mNew = &replica;
    }
  }
  for (const Replica& replica : aOld.mReplicas) {
    if (FindReplica(aNew, replica.mId) == nullptr) {
      ++change.mCount;
      change.mOld = &replica;
      change.mNew = nullptr;
    }
  }
  return change;
}

bool
HasDuplicateIds(const ReplicaSet& aSet)
{
  std::set<ReplicaId> ids;
  return !std::all_of(
    aSet.mReplicas.begin(), aSet.mReplicas.end(), [&](const Replica& aReplica) {
      return !aReplica.mId.IsNone() && ids.insert(aReplica.mId).second;
    });
}

absl::Status
CheckPromotion(const Raft& aRaft, MonoTime aNow, ReplicaId aId)
{
  const auto found = aRaft.mPeers.find(aId);
  const bool caughtUp =
    found != aRaft.mPeers.end() && !found->second.mTransfer &&
    found->second.mMatch >= aRaft.mCommitMarks.front().mCommit &&
    found->second.mLastReplyAt + aRaft.mSettings.mElectionMin >= aNow;
  if (caughtUp) {
    return absl::OkStatus();
  }
  return MakeError(ErrorKind::eUnavailable,
                   "the learner has not caught up with the log yet",
                   "retry the promotion after a short delay");
}

absl::Status
CheckChange(const Raft& aRaft,
            MonoTime aNow,
            const ReplicaSet& aNew,
            const SetChange& aChange)
{
  if (aRaft.mCommit < aRaft.mTermFirstIndex ||
      aRaft.mReplicas.back().mIndex > aRaft.mCommit) {
    return MakeError(ErrorKind::eUnavailable,
                     "the last change of replicas is not committed yet",
                     "retry the change after a short delay");
  }
  const bool anyVoter =
    std::any_of(aNew.mReplicas.begin(),
                aNew.mReplicas.end(),
                [](const Replica& aReplica) { return aReplica.mVoter; });
  if (aChange.mCount != 1 || !anyVoter || HasDuplicateIds(aNew)) {
    return MakeError(ErrorKind::eInvalidArgument,
                     "a change must concern exactly one replica and leave at "
                     "least one voter",
                     "add, promote or remove one replica at a time");
  }
  if (aChange.mNew == nullptr || !aChange.mNew->mVoter) {
    return absl::OkStatus();
  }
  if (aChange.mOld == nullptr) {
    return MakeError(
      ErrorKind::eInvalidArgument,
      "a new replica cannot be added as a voter",
      "add it as a learner and promote it once it has caught up");
  }
  return aChange.mOld->mVoter ? absl::OkStatus()
                              : CheckPromotion(aRaft, aNow, aChange.mNew->mId);
}

// Fills in the data folders: voters keep the recorded one, a promoted learner
// gets the one named in its replies.
ReplicaSet
WithVoterDisks(const Raft& aRaft, ReplicaSet aNew)
{
  for (Replica& replica : aNew.mReplicas) {
    const Replica* old =
      FindReplica(aRaft.mReplicas.back().mReplicas, replica.mId);
    replica.mDisk = old != nullptr && old->mVoter ? old->mDisk : 0;
    const auto peer = aRaft.mPeers.find(replica.mId);
    if (replica.mVoter && old != nullptr && !old->mVoter &&
        peer != aRaft.mPeers.end()) {
      replica.mDisk = peer->second.mDisk;
    }
  }
  return aNew;
}

} // namespace

absl::StatusOr<LogIndex>
RaftChangeReplicas(Raft& aRaft,
                   MonoTime aNow,
                   const ReplicaSet& aNew,
                   std::vector<RaftAction>& aOut)
{
  if (IsLeader(aRaft)) {
    const SetChange change =
      CompareReplicaSets(aRaft.mReplicas.back().mReplicas, aNew);
    if (absl::Status status = CheckChange(aRaft, aNow, aNew, change);
        !status.ok()) {
      return status;
    }
  }
  // Takes effect when appended, not when committed.
  return RaftPropose(aRaft,
                     aNow,
                     LogEntryKind::eMembership,
                     EncodeReplicaSet(WithVoterDisks(aRaft, aNew)),
                     aOut);
}

} // namespace caraway
