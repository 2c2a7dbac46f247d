// Plans the next changes of the control group's replica set.

#include "caraway/membership/replica_steps.h"

#include <algorithm>
#include <map>

namespace caraway {

namespace {

constexpr size_t kMaxReplicas = 7; // the same limit as for changes by operators

size_t
CountVoters(const ReplicaGroupStatus& aGroupStatus)
{
  return static_cast<size_t>(
    std::count_if(aGroupStatus.mReplicas.begin(),
                  aGroupStatus.mReplicas.end(),
                  [](const ReplicaView& aOne) { return aOne.mVoter; }));
}

bool
IsUsable(const ReplicaView& aOne)
{
  return aOne.mVoter && aOne.Stays();
}

bool
IsUsableLearner(const ReplicaView& aOne)
{
  return !aOne.mVoter && aOne.Stays();
}

size_t
CountUsable(const ReplicaGroupStatus& aGroupStatus)
{
  return static_cast<size_t>(std::count_if(
    aGroupStatus.mReplicas.begin(), aGroupStatus.mReplicas.end(), IsUsable));
}

// True if a majority of the remaining voters is alive. Only then may a voter be
// removed; otherwise the group could not commit anything afterwards.
bool
MajorityWithout(const ReplicaGroupStatus& aGroupStatus, ReplicaId aId)
{
  size_t left = 0;
  size_t alive = 0;
  for (const ReplicaView& one : aGroupStatus.mReplicas) {
    if (one.mVoter && one.mId != aId) {
      ++left;
      alive += one.mAlive ? 1 : 0;
    }
  }
  return alive * 2 > left;
}

bool
IsMember(const ReplicaGroupStatus& aGroupStatus, ReplicaId aId)
{
  return std::any_of(aGroupStatus.mReplicas.begin(),
                     aGroupStatus.mReplicas.end(),
                     [&](const ReplicaView& aOne) { return aOne.mId == aId; });
}

const ReplicaView*
FindView(const ReplicaGroupStatus& aGroupStatus, ReplicaId aId)
{
  const auto found =
    std::find_if(aGroupStatus.mReplicas.begin(),
                 aGroupStatus.mReplicas.end(),
                 [&](const ReplicaView& aOne) { return aOne.mId == aId; });
  return found == aGroupStatus.mReplicas.end() ? nullptr : &*found;
}

bool
HasToGo(const ReplicaView& aOne)
{
  return aOne.mRetiring || aOne.mLeaving;
}

// True if another replica was heard at the address since: this one is gone.
bool
IsReplaced(const ReplicaGroupStatus& aGroupStatus,
           const JoiningReplica& aJoining)
{
  return std::any_of(aGroupStatus.mJoining.begin(),
                     aGroupStatus.mJoining.end(),
                     [&](const JoiningReplica& aOther) {
                       return aOther.mId != aJoining.mId &&
                              aOther.mAddress == aJoining.mAddress &&
                              aOther.mHeardAt > aJoining.mHeardAt;
                     });
}

// Plans to add joining replicas. A replica that returns at its address under a
// new id has lost its disk, and its former id, which will never answer again,
// is removed first.
void
PlanAdditions(const ReplicaGroupStatus& aGroupStatus,
              std::vector<ReplicaStep>& aSteps)
{
  for (const JoiningReplica& joining : aGroupStatus.mJoining) {
    if (IsMember(aGroupStatus, joining.mId) ||
        IsReplaced(aGroupStatus, joining)) {
      continue;
    }
    bool former = false;
    for (const ReplicaView& one : aGroupStatus.mReplicas) {
      if (one.mAddress == joining.mAddress && one.mId != aGroupStatus.mSelf) {
        former = true;
        if (!one.mVoter || MajorityWithout(aGroupStatus, one.mId)) {
          aSteps.push_back({ ReplicaStepKind::eRemove, one.mId, {} });
        }
      }
    }
    if (!former && aGroupStatus.mReplicas.size() < kMaxReplicas) {
      aSteps.push_back(
        { ReplicaStepKind::eAdd, joining.mId, joining.mAddress });
    }
  }
}

// Plans promotions while there are too few usable voters. Learners in zones
// with the fewest usable voters come first.
void
PlanPromotions(const ReplicaGroupStatus& aGroupStatus,
               std::vector<ReplicaStep>& aSteps)
{
  if (CountUsable(aGroupStatus) >= aGroupStatus.mWantedVoters) {
    return;
  }
  std::map<ZoneId, size_t> voters;
  for (const ReplicaView& one : aGroupStatus.mReplicas) {
    voters[one.mZone] += IsUsable(one) ? 1 : 0;
  }
  std::vector<const ReplicaView*> learners;
  for (const ReplicaView& one : aGroupStatus.mReplicas) {
    if (IsUsableLearner(one)) {
      learners.push_back(&one);
    }
  }
  std::stable_sort(learners.begin(),
                   learners.end(),
                   [&](const ReplicaView* aLeft, const ReplicaView* aRight) {
                     return voters[aLeft->mZone] < voters[aRight->mZone];
                   });
  for (const ReplicaView* learner : learners) {
    aSteps.push_back({ ReplicaStepKind::ePromote, learner->mId, {} });
  }
}

// The voter to remove when there are more than wanted: a lost one, else one
// that retires or leaves, else one that is not alive, else one whose zone has
// another voter; the newest among equals.
const ReplicaView*
SurplusVoter(const ReplicaGroupStatus& aGroupStatus)
{
  std::map<ZoneId, size_t> voters;
  for (const ReplicaView& one : aGroupStatus.mReplicas) {
    voters[one.mZone] += one.mVoter ? 1 : 0;
  }
  const ReplicaView* best = nullptr;
  int bestRank = -1;
  for (const ReplicaView& one : aGroupStatus.mReplicas) {
    if (!one.mVoter || one.mId == aGroupStatus.mSelf) {
      continue;
    }
    const int rank = one.mLost               ? 4
                     : HasToGo(one)          ? 3
                     : !one.mAlive           ? 2
                     : voters[one.mZone] > 1 ? 1
                                             : 0;
    if (rank >= bestRank) {
      best = &one;
      bestRank = rank;
    }
  }
  return best;
}

void
PlanRemovals(const ReplicaGroupStatus& aGroupStatus,
             std::vector<ReplicaStep>& aSteps)
{
  if (CountVoters(aGroupStatus) > aGroupStatus.mWantedVoters &&
      CountUsable(aGroupStatus) >= aGroupStatus.mWantedVoters) {
    const ReplicaView* surplus = SurplusVoter(aGroupStatus);
    const bool others =
      surplus != nullptr && (surplus->mLost || HasToGo(*surplus));
    const ReplicaView* self = FindView(aGroupStatus, aGroupStatus.mSelf);
    if (!others && self != nullptr && HasToGo(*self)) {
      aSteps.push_back({ ReplicaStepKind::eResign, {}, {} });
    } else if (surplus != nullptr &&
               MajorityWithout(aGroupStatus, surplus->mId)) {
      aSteps.push_back({ ReplicaStepKind::eRemove, surplus->mId, {} });
    }
  }
  for (const ReplicaView& one : aGroupStatus.mReplicas) {
    if (!one.mVoter && (one.mLost || one.mRetiring)) {
      aSteps.push_back({ ReplicaStepKind::eRemove, one.mId, {} });
    }
  }
}

} // namespace

std::vector<ReplicaStep>
PlanReplicaSteps(const ReplicaGroupStatus& aGroupStatus)
{
  std::vector<ReplicaStep> steps;
  PlanPromotions(aGroupStatus, steps);
  PlanRemovals(aGroupStatus, steps);
  PlanAdditions(aGroupStatus, steps);
  return steps;
}

DepartureState
PlanDeparture(const ReplicaGroupStatus& aGroupStatus, ReplicaId aId)
{
  const ReplicaView* leaving = FindView(aGroupStatus, aId);
  if (leaving == nullptr || !leaving->mVoter) {
    return DepartureState::eLeft;
  }
  const bool successor =
    CountUsable(aGroupStatus) >= aGroupStatus.mWantedVoters ||
    std::any_of(aGroupStatus.mReplicas.begin(),
                aGroupStatus.mReplicas.end(),
                IsUsableLearner);
  return successor ? DepartureState::eWaits : DepartureState::eKeepsVote;
}

bool
MayHandOver(const ReplicaGroupStatus& aGroupStatus)
{
  return CountUsable(aGroupStatus) >= aGroupStatus.mWantedVoters ||
         std::none_of(aGroupStatus.mReplicas.begin(),
                      aGroupStatus.mReplicas.end(),
                      IsUsableLearner);
}

std::vector<ReplicaId>
Successors(const ReplicaGroupStatus& aGroupStatus)
{
  std::vector<ReplicaId> successors;
  for (const ReplicaView& one : aGroupStatus.mReplicas) {
    if (IsUsable(one) && one.mId != aGroupStatus.mSelf) {
      successors.push_back(one.mId);
    }
  }
  return successors;
}

bool
MayRetire(const ReplicaGroupStatus& aGroupStatus, ReplicaId aId)
{
  const auto left = static_cast<size_t>(
    std::count_if(aGroupStatus.mReplicas.begin(),
                  aGroupStatus.mReplicas.end(),
                  [&](const ReplicaView& aOne) {
                    return aOne.mId != aId && aOne.mAlive && !aOne.mRetiring;
                  }));
  return left >= aGroupStatus.mWantedVoters;
}

} // namespace caraway
