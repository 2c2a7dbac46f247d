#pragma once
// Which replicas of the control group vote, decided without an operator.
//
// The group wants two voters for each instance that may be lost, and one more,
// in different availability zones where there are some. Replicas beyond that
// stay learners and take the place of a voter that is lost or to be retired.

#include <string>
#include <vector>

#include "caraway/base/ids.h"

namespace caraway {

struct ReplicaView
{
  ReplicaId mId;
  std::string mAddress;
  ZoneId mZone; // empty if not known yet
  bool mVoter = false;
  bool mAlive = true; // answered lately
  bool mLost = false; // silent for so long that it is to be removed
  bool mRetiring = false;
};

// A replica outside the group that asks to be taken in.
struct JoiningReplica
{
  ReplicaId mId;
  std::string mAddress;
  ZoneId mZone;
};

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
};

struct ReplicaStep
{
  ReplicaStepKind mKind = ReplicaStepKind::eAdd;
  ReplicaId mId;
  std::string mAddress; // of eAdd
};

// Steps worth taking now, the most urgent first. Only one may be taken at a
// time; a step that is not possible yet is left for the next time.
std::vector<ReplicaStep>
PlanReplicaSteps(const ReplicaGroupStatus& aGroupStatus);

// True if the group keeps mWantedVoters without the replica.
bool
MayRetire(const ReplicaGroupStatus& aGroupStatus, ReplicaId aId);

} // namespace caraway
