// How a replica that stops leaves its group: a learner takes over its vote
// before it ends, and a leader hands over instead of falling silent. Both take
// a few commits. Without a learner, it keeps its vote and ends at once.

#include <algorithm>

#include "caraway/consensus/raft_internal.h"
#include "caraway/control/step.h"

namespace caraway {

namespace {

constexpr Duration kCheckInterval = Millis(50);

// True if a learner or a surplus voter could take over a vote, as far as a
// replica that does not lead can tell.
bool
HasSpare(const Control& aControl)
{
  const std::vector<Replica>& replicas = ReplicasOf(aControl.mRaft).mReplicas;
  const size_t voters = VoterCount(aControl.mRaft);
  return voters < replicas.size() || voters > aControl.mSettings.mWantedVoters;
}

// True if this leader has resigned, or if there is nobody to resign to.
bool
HandOver(ControlStep& aStep)
{
  Control& control = aStep.mControl;
  const ReplicaGroupStatus group = ObserveReplicaGroup(aStep);
  if (!control.mSettings.mSeeds.empty() && !MayHandOver(group)) {
    ReconcileReplicas(aStep);
    return false;
  }
  if (CommitIndex(control.mRaft) < LastIndex(control.mRaft)) {
    return false;
  }
  const ReplicaId successor = BestSuccessor(control.mRaft, Successors(group));
  if (successor.IsNone()) {
    return true;
  }
  Log(aStep,
      "departure",
      "hand_over",
      "to replica " + std::to_string(successor.mValue));
  RaftResign(control.mRaft, aStep.mNow, successor, aStep.mRaft);
  control.mDeparture.mHandedOverAt = aStep.mNow;
  return false;
}

// The leader that resigned runs until its successor leads, so that its last
// messages are delivered.
bool
IsSucceeded(const ControlStep& aStep)
{
  const Control& control = aStep.mControl;
  const MonoTime since = control.mDeparture.mHandedOverAt;
  return since == kNever || !LeaderOf(control.mRaft).IsNone() ||
         aStep.mNow - since >= control.mSettings.mRaft.mElectionMax;
}

} // namespace

bool
Depart(ControlStep& aStep)
{
  Control& control = aStep.mControl;
  Departure& departure = control.mDeparture;
  if (IsLeader(control.mRaft)) {
    const bool done = HandOver(aStep);
    departure.mNextCheck = aStep.mNow + kCheckInterval;
    return done;
  }
  if (departure.mMayLeave) {
    return true;
  }
  const bool member = FindReplica(ReplicasOf(control.mRaft),
                                  control.mSettings.mReplica) != nullptr;
  if (!member || control.mSettings.mSeeds.empty() || !HasSpare(control)) {
    departure.mNextCheck = aStep.mNow + kCheckInterval;
    return IsSucceeded(aStep);
  }
  if (aStep.mNow >= departure.mNextCheck) {
    departure.mNextCheck = aStep.mNow + kCheckInterval;
    const PeerAddress leader = LeaderAddress(control);
    if (!leader.Empty()) {
      Send(aStep, leader, LeaveGroup{ control.mSettings.mReplica });
    }
  }
  return false;
}

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const LeaveGroup& aMessage)
{
  Control& control = aStep.mControl;
  if (!IsLeader(control.mRaft)) {
    return; // it asks again
  }
  if (control.mDiscovery.mLeaving.insert(aMessage.mReplica).second) {
    Log(aStep,
        "departure",
        "announced",
        "replica " + std::to_string(aMessage.mReplica.mValue));
  }
  const DepartureState state =
    PlanDeparture(ObserveReplicaGroup(aStep), aMessage.mReplica);
  const bool committed =
    control.mRaft.mReplicas.back().mIndex <= CommitIndex(control.mRaft);
  if (state == DepartureState::eWaits || !committed) {
    control.mLeadership.mNextScan = aStep.mNow;
    return;
  }
  Send(aStep,
       aFrom,
       MayLeave{ aMessage.mReplica, state == DepartureState::eKeepsVote });
}

void
HandleMessage(ControlStep& aStep, const PeerAddress&, const MayLeave& aMessage)
{
  Control& control = aStep.mControl;
  if (!control.mStopping || control.mDeparture.mMayLeave ||
      aMessage.mReplica != control.mSettings.mReplica) {
    return;
  }
  control.mDeparture.mMayLeave = true;
  Log(aStep,
      "departure",
      aMessage.mKeepsVote ? "keeps_vote" : "replaced",
      "by the leader's answer");
}

} // namespace caraway
