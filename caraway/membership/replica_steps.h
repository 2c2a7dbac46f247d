#pragma once
// Decides which replicas of the control group vote, without an operator.
//
// The group needs two voters for each instance whose loss it tolerates, and one
// more, in different availability zones if possible. Further replicas stay
// learners and replace voters that are lost or retiring.

#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

struct ReplicaView
{
  ReplicaId mId;
  std::string mAddress;
  ZoneId mZone; // empty if not known yet
  bool mVoter = false;
  bool mAlive = true; // answered recently
  bool mLost = false; // silent for so long that it may be removed
  bool mRetiring = false;
  bool mLeaving = false; // its process stops; it may come back or not

  // Invariant of the plan: a replica that stays is promoted before a voter that
  // does not is removed, and the latter runs until its removal is committed.
  // Between two committed steps the group bears the losses that it did before.
  bool Stays() const { return mAlive && !mRetiring && !mLeaving; }
};

// A replica that asks to join, a member or not. Replicas with new ids may
// follow each other at one address; the one heard last is there now.
struct JoiningReplica
{
  ReplicaId mId;
  std::string mAddress;
  ZoneId mZone;
  MonoTime mHeardAt{};
};

// The control group as its leader sees it.
struct ReplicaGroupStatus
{
  std::vector<ReplicaView> mReplicas;
  std::vector<JoiningReplica> mJoining;
  ReplicaId mSelf; // the leader; never removed
  size_t mWantedVoters = 3;
};

enum class ReplicaStepKind : uint8_t
{
  eAdd,     // as a learner
  ePromote, // to a voter
  eRemove,
  eResign, // the leader retires: another replica has to lead and remove it
};

struct ReplicaStep
{
  ReplicaStepKind mKind = ReplicaStepKind::eAdd;
  ReplicaId mId;
  std::string mAddress; // of eAdd
};

// The steps that would improve the group now, the most urgent first. Only one
// change of the replica set may be in progress; a step that is not possible yet
// is planned again next time.
std::vector<ReplicaStep>
PlanReplicaSteps(const ReplicaGroupStatus& aGroupStatus);

// What a replica that stops has to wait for.
enum class DepartureState : uint8_t
{
  eWaits,     // a successor can take over its vote
  eLeft,      // it has no vote
  eKeepsVote, // there is no successor; the group counts on its return
};

DepartureState
PlanDeparture(const ReplicaGroupStatus& aGroupStatus, ReplicaId aId);

// True if a leader that leaves has nothing left to do before another replica
// leads: the voters that stay suffice, or no learner can join them.
bool
MayHandOver(const ReplicaGroupStatus& aGroupStatus);

// Voters that stay, without the leader.
std::vector<ReplicaId>
Successors(const ReplicaGroupStatus& aGroupStatus);

// True if enough live replicas that are not retiring remain without aId to
// provide mWantedVoters.
bool
MayRetire(const ReplicaGroupStatus& aGroupStatus, ReplicaId aId);

} // namespace caraway
