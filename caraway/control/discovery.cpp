// Sends hellos to entries, joins a group, and adjusts the replica set on the
// leader.

#include "caraway/control/discovery.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/control/step.h"
#include "caraway/membership/replica_steps.h"

namespace caraway {

namespace {

constexpr Duration kHelloInterval = Millis(500);
constexpr Duration kHelloToAllInterval = Seconds(2);
// More frequent after a start, since entries may have just started as well and
// know no replica.
constexpr Duration kStartupHelloInterval = Millis(200);
constexpr Duration kStartupHelloPeriod = Seconds(4);
// A replica that has been silent for this long may be removed.
constexpr Duration kLostTimeout = Seconds(4);
// Joining replicas repeat their request every half second.
constexpr Duration kJoinRequestTtl = Seconds(3);

// Null if the replica has not told this process its instance yet.
const InstanceId*
InstanceOf(const Control& aControl, ReplicaId aReplica)
{
  if (aReplica == aControl.mSettings.mReplica) {
    return &aControl.mSettings.mInstance;
  }
  const auto known = aControl.mDiscovery.mKnown.find(aReplica);
  return known == aControl.mDiscovery.mKnown.end() ? nullptr
                                                   : &known->second.mInstance;
}

bool
HasGroup(const Control& aControl)
{
  return !ReplicasOf(aControl.mRaft).mReplicas.empty();
}

void
SendHello(ControlStep& aStep, bool aToAll)
{
  const Control& control = aStep.mControl;
  ReplicaHello hello;
  hello.mReplica = control.mSettings.mReplica;
  hello.mInstance = control.mSettings.mInstance;
  hello.mZone = control.mSettings.mZone;
  hello.mInGroup = HasGroup(control);
  hello.mFirstStart = control.mSettings.mFirstStart;
  std::vector<PeerAddress> to = control.mSettings.mSeeds;
  if (aToAll || to.empty()) {
    to.insert(to.end(),
              control.mDiscovery.mEntries.begin(),
              control.mDiscovery.mEntries.end());
    for (const auto& [id, member] : control.mState.mConfig.mView.mMembers) {
      if (member.mRole == MemberRole::eEntry) {
        to.push_back(member.mAddress);
      }
    }
  }
  std::sort(to.begin(), to.end());
  to.erase(std::unique(to.begin(), to.end()), to.end());
  for (const PeerAddress& entry : to) {
    Send(aStep, entry, hello);
  }
}

void
SendJoinRequest(ControlStep& aStep)
{
  const Control& control = aStep.mControl;
  if (IsLeader(control.mRaft) || control.mStopping) {
    return;
  }
  const JoinGroup join{ control.mSettings.mReplica,
                        control.mSettings.mInstance,
                        control.mSettings.mZone };
  const PeerAddress leader = LeaderAddress(control);
  if (!leader.Empty()) {
    Send(aStep, leader, join);
    return;
  }
  for (const PeerAddress& replica : control.mDiscovery.mReplicas) {
    if (replica != control.mSettings.mAddress) {
      Send(aStep, replica, join);
    }
  }
}

} // namespace

ReplicaGroupStatus
ObserveReplicaGroup(const ControlStep& aStep)
{
  const Control& control = aStep.mControl;
  const ControlDiscovery& discovery = control.mDiscovery;
  ReplicaGroupStatus groupStatus;
  groupStatus.mSelf = control.mSettings.mReplica;
  groupStatus.mWantedVoters = control.mSettings.mWantedVoters;
  for (const Replica& replica : ReplicasOf(control.mRaft).mReplicas) {
    ReplicaView view;
    view.mId = replica.mId;
    view.mAddress = replica.mAddress;
    view.mVoter = replica.mVoter;
    InstanceId instance;
    if (replica.mId == groupStatus.mSelf) {
      view.mZone = control.mSettings.mZone;
      instance = control.mSettings.mInstance;
    } else {
      if (auto known = discovery.mKnown.find(replica.mId);
          known != discovery.mKnown.end()) {
        view.mZone = known->second.mZone;
        instance = known->second.mInstance;
      }
      auto peer = control.mRaft.mPeers.find(replica.mId);
      const Duration silence = peer == control.mRaft.mPeers.end()
                                 ? Duration{}
                                 : aStep.mNow - peer->second.mLastReplyAt;
      view.mAlive = silence < kAliveTimeout;
      view.mLost = silence >= kLostTimeout;
    }
    view.mRetiring = control.mState.mRetiring.contains(instance);
    view.mLeaving = replica.mId == groupStatus.mSelf
                      ? control.mStopping
                      : discovery.mLeaving.contains(replica.mId);
    groupStatus.mReplicas.push_back(std::move(view));
  }
  for (const auto& [id, known] : discovery.mKnown) {
    if (aStep.mNow - known.mHeardAt < kJoinRequestTtl &&
        !control.mState.mRetiring.contains(known.mInstance) &&
        !discovery.mLeaving.contains(id)) {
      groupStatus.mJoining.push_back(
        { id, known.mAddress.mValue, known.mZone, known.mHeardAt });
    }
  }
  return groupStatus;
}

namespace {

ReplicaSet
AfterStep(const ReplicaSet& aSet, const ReplicaStep& aStep)
{
  ReplicaSet changed = aSet;
  auto& replicas = changed.mReplicas;
  switch (aStep.mKind) {
    case ReplicaStepKind::eAdd:
      replicas.push_back({ aStep.mId, aStep.mAddress, false });
      break;
    case ReplicaStepKind::ePromote:
      for (Replica& replica : replicas) {
        replica.mVoter = replica.mVoter || replica.mId == aStep.mId;
      }
      break;
    case ReplicaStepKind::eRemove:
      std::erase_if(replicas,
                    [&](const Replica& aOne) { return aOne.mId == aStep.mId; });
      break;
    case ReplicaStepKind::eResign:
      break;
  }
  return changed;
}

const char*
StepName(ReplicaStepKind aKind)
{
  switch (aKind) {
    case ReplicaStepKind::eAdd:
      return "add";
    case ReplicaStepKind::ePromote:
      return "promote";
    case ReplicaStepKind::eRemove:
      return "remove";
    case ReplicaStepKind::eResign:
      return "resign";
  }
  return "none";
}

} // namespace

void
HandleMessage(ControlStep& aStep, const PeerAddress&, const ControlMap& aMap)
{
  ControlDiscovery& discovery = aStep.mControl.mDiscovery;
  discovery.mReplicas = aMap.mReplicas;
  discovery.mEntries = aMap.mEntries;
}

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const JoinGroup& aMessage)
{
  if (IsLeader(aStep.mControl.mRaft)) {
    aStep.mControl.mDiscovery.mKnown[aMessage.mReplica] = {
      aFrom, aMessage.mInstance, aMessage.mZone, aStep.mNow
    };
    aStep.mControl.mDiscovery.mLeaving.erase(aMessage.mReplica);
  }
}

void
HandleMessage(ControlStep& aStep, const PeerAddress&, const FoundGroup&)
{
  const Control& control = aStep.mControl;
  if (control.mSettings.mFirstStart && !HasGroup(control) &&
      TermOf(control.mRaft).IsNone()) {
    Log(aStep,
        "found_group",
        "founded",
        "an entry chose this replica to found the group");
    aStep.mOut.emplace_back(BeginGroup{});
  }
}

void
TickDiscovery(ControlStep& aStep)
{
  Control& control = aStep.mControl;
  if (control.mSettings.mSeeds.empty() ||
      aStep.mNow < control.mDiscovery.mNextHello) {
    return;
  }
  ControlDiscovery& discovery = control.mDiscovery;
  if (discovery.mFastHelloUntil == MonoTime{}) {
    discovery.mFastHelloUntil = aStep.mNow + kStartupHelloPeriod;
  }
  const bool startingUp = aStep.mNow < discovery.mFastHelloUntil;
  const bool round = startingUp || aStep.mNow >= discovery.mNextRound;
  discovery.mNextHello =
    aStep.mNow + (startingUp ? kStartupHelloInterval : kHelloInterval);
  if (round) {
    discovery.mNextRound = aStep.mNow + kHelloToAllInterval;
  }
  SendHello(aStep, round);
  SendJoinRequest(aStep);
}

void
ReconcileReplicas(ControlStep& aStep)
{
  Control& control = aStep.mControl;
  if (control.mSettings.mSeeds.empty()) {
    return;
  }
  const ReplicaGroupStatus groupStatus = ObserveReplicaGroup(aStep);
  for (const ReplicaStep& next : PlanReplicaSteps(groupStatus)) {
    if (next.mKind == ReplicaStepKind::eResign) {
      Log(aStep,
          "replica_change",
          StepName(next.mKind),
          "this replica goes and is to be removed by another leader");
      RaftResign(control.mRaft,
                 aStep.mNow,
                 BestSuccessor(control.mRaft, Successors(groupStatus)),
                 aStep.mRaft);
      return;
    }
    const absl::StatusOr<LogIndex> index =
      RaftChangeReplicas(control.mRaft,
                         aStep.mNow,
                         AfterStep(ReplicasOf(control.mRaft), next),
                         aStep.mRaft);
    if (index.ok()) {
      Log(aStep,
          "replica_change",
          StepName(next.mKind),
          absl::StrCat("replica ", next.mId.mValue, " ", next.mAddress));
      return;
    }
  }
}

bool
MayRetireInstance(const ControlStep& aStep, const InstanceId& aInstance)
{
  const InstanceReplica found = ReplicaOfInstance(aStep.mControl, aInstance);
  return found.mPresence == Presence::ePresent &&
         MayRetire(ObserveReplicaGroup(aStep), found.mId);
}

InstanceReplica
ReplicaOfInstance(const Control& aControl, const InstanceId& aInstance)
{
  // The newest set may not be committed yet. Until it is, replicas that only
  // the applied set has still belong to the group.
  std::vector<Replica> replicas = ReplicasOf(aControl.mRaft).mReplicas;
  replicas.insert(replicas.end(),
                  aControl.mAppliedReplicas.mReplicas.begin(),
                  aControl.mAppliedReplicas.mReplicas.end());
  InstanceReplica found;
  for (const Replica& replica : replicas) {
    const InstanceId* instance = InstanceOf(aControl, replica.mId);
    if (instance == nullptr) {
      found.mPresence = Presence::eUnknown;
    } else if (*instance == aInstance) {
      return { Presence::ePresent, replica.mId };
    }
  }
  return found;
}

} // namespace caraway
