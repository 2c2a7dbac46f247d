// The leader's part in finding input that crashes targets: gathers evidence
// from the members and proposes blocks.

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
  if (!CheckLeader(aStep, aFrom)) {
    return;
  }
  CrashEvidence& evidence = aStep.mControl.mLeadership.mEvidence;
  const uint64_t before = evidence.mReported;
  HandleCrashReport(evidence, aStep.mNow, aMessage);
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
  HandleStartedParts(
    aStep.mControl.mLeadership.mEvidence, aStep.mNow, aMessage);
  DecideInputBlocks(aStep);
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
  EvidenceActions actions = WeighEvidence(control.mLeadership.mEvidence,
                                          aStep.mNow,
                                          LogicalNow(aStep),
                                          view,
                                          members);
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
