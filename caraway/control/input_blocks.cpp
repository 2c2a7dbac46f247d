// The leader's part in finding input that crashes targets: gathers evidence
// from the members and proposes blocks.

#include <algorithm>

#include "caraway/control/step.h"

namespace caraway {

namespace {

// A change of a block that was not applied by then is proposed again.
constexpr Duration kProposeAgain = Seconds(1);

bool
MayPropose(ControlStep& aStep, InputBlockId aBlock)
{
  auto& proposed = aStep.mControl.mLeadership.mBlockProposedAt;
  std::erase_if(proposed, [&](const auto& aEntry) {
    return aStep.mNow - aEntry.second >= kProposeAgain;
  });
  return proposed.try_emplace(aBlock, aStep.mNow).second;
}

bool
IsReplica(const Control& aControl, const PeerAddress& aPeer)
{
  const std::vector<Replica>& replicas = ReplicasOf(aControl.mRaft).mReplicas;
  return std::any_of(
    replicas.begin(), replicas.end(), [&](const Replica& aReplica) {
      return aReplica.mAddress == aPeer.mValue;
    });
}

void
PassOn(ControlStep& aStep, const CrashReport& aReport)
{
  const Raft& raft = aStep.mControl.mRaft;
  for (const Replica& replica : ReplicasOf(raft).mReplicas) {
    if (replica.mId != raft.mSelf) {
      Send(aStep, PeerAddress(replica.mAddress), aReport);
    }
  }
}

void
AskMembers(ControlStep& aStep, const InputParts& aParts)
{
  for (const auto& [id, member] :
       aStep.mControl.mState.mConfig.mView.mMembers) {
    Send(aStep, member.mAddress, SuspectQuery{ aParts });
  }
}

} // namespace

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const CrashReport& aMessage)
{
  CrashEvidence& evidence = aStep.mControl.mEvidence;
  if (IsReplica(aStep.mControl, aFrom)) {
    HandleCrashReport(evidence, aStep.mNow, aMessage);
    return; // passed on by the leader
  }
  if (!CheckLeader(aStep, aFrom)) {
    return;
  }
  const uint64_t before = evidence.mReported;
  HandleCrashReport(evidence, aStep.mNow, aMessage);
  PassOn(aStep, aMessage);
  aStep.mControl.mCounters.mCrashesReported += evidence.mReported - before;
  Send(aStep, aFrom, CrashReportAck{ aMessage.mNumber });
  DecideInputBlocks(aStep);
}

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const StartedParts& aMessage)
{
  if (!CheckLeader(aStep, aFrom)) {
    return;
  }
  HandleStartedParts(aStep.mControl.mEvidence, aStep.mNow, aMessage);
  DecideInputBlocks(aStep);
}

void
PardonLiftedInput(ControlStep& aStep, const CommandBody& aCommand)
{
  std::vector<InputBlockId> lifted;
  if (const auto* operation = std::get_if<ConfigOperation>(&aCommand)) {
    if (const auto* lift = std::get_if<RemoveInputBlock>(&operation->mChange)) {
      lifted.push_back(lift->mBlock);
    }
  } else if (const auto* change = std::get_if<ChangeInputBlocks>(&aCommand)) {
    // A block that is removed as another one is set is replaced by it.
    if (change->mSet.empty()) {
      lifted = change->mRemove;
    }
  }
  const auto& blocks = aStep.mControl.mState.mConfig.mView.mInputBlocks;
  for (const InputBlockId& id : lifted) {
    if (auto block = blocks.find(id); block != blocks.end()) {
      PardonParts(aStep.mControl.mEvidence, aStep.mNow, block->second.mParts);
    }
  }
}

void
DecideInputBlocks(ControlStep& aStep)
{
  Control& control = aStep.mControl;
  const ConfigView& view = control.mState.mConfig.mView;
  std::set<InstanceId> members;
  for (const auto& [id, member] : view.mMembers) {
    members.insert(id);
  }
  EvidenceActions actions = WeighEvidence(
    control.mEvidence, aStep.mNow, LogicalNow(aStep), view, members);
  if (!actions.mAsk.empty()) {
    AskMembers(aStep, actions.mAsk);
  }
  ChangeInputBlocks change;
  for (const InputBlock& block : actions.mLift) {
    if (MayPropose(aStep, block.mId)) {
      change.mRemove.push_back(block.mId);
    }
  }
  for (const InputBlock& block : actions.mBlock) {
    // WeighEvidence decides on a new block once, but on a probation until it is
    // in the configuration.
    if (MayPropose(aStep, block.mId) || !block.mProbation) {
      change.mSet.push_back(block);
    }
  }
  if (change.mSet.empty() && change.mRemove.empty()) {
    return;
  }
  for (DecisionLog& log : actions.mLogs) {
    aStep.mOut.emplace_back(std::move(log));
  }
  control.mCounters.mBlocksSet += change.mSet.size();
  control.mCounters.mBlocksLifted += change.mRemove.size();
  (void)Propose(aStep, std::move(change), {});
}

} // namespace caraway
