// Handles sessions, configuration leases and grants of members.

#include "caraway/admission/grantor.h"
#include "caraway/config/view_digest.h"
#include "caraway/control/step.h"
#include "caraway/ledger/ledger.h"

namespace caraway {

namespace {

constexpr size_t kMaxInstanceName = 128;

// How long until a member's changed target is proposed again.
constexpr Duration kUpdateRetryInterval = Seconds(1);

const ConfigView&
ViewOf(const ControlStep& aStep)
{
  return aStep.mControl.mState.mConfig.mView;
}

void
SendUnknownSession(ControlStep& aStep,
                   const PeerAddress& aTo,
                   const InstanceId& aInstance,
                   Epoch aEpoch)
{
  RenewReply reply;
  reply.mInstance = aInstance;
  reply.mEpoch = aEpoch;
  reply.mVerdict = RenewVerdict::eUnknownSession;
  Send(aStep, aTo, reply);
}

// The digest of the newest configuration, computed once a revision.
uint64_t
NewestDigest(ControlStep& aStep)
{
  Leadership& leadership = aStep.mControl.mLeadership;
  const ConfigView& view = ViewOf(aStep);
  if (leadership.mDigest == 0 || leadership.mDigestRevision != view.mRevision) {
    leadership.mDigestRevision = view.mRevision;
    leadership.mDigest = ViewDigest(view);
  }
  return leadership.mDigest;
}

void
LogDifference(ControlStep& aStep, const Renew& aRenew)
{
  DecisionLog line;
  line.mLevel = LogLevel::eError;
  line.mEvent = "copy_differs";
  line.mChoice = aRenew.mInstance.mValue;
  line.mReason = "the member's configuration is not that of its revision";
  line.mExtra = { { "revision", std::to_string(aRenew.mRevision.mValue) },
                  { "epoch", std::to_string(aRenew.mEpoch.mValue) } };
  aStep.mOut.emplace_back(std::move(line));
}

// Proposes the member's new target or draining flag if it differs.
void
UpdateFromRenewal(ControlStep& aStep, const Renew& aRenew)
{
  const Member& member = ViewOf(aStep).mMembers.at(aRenew.mInstance);
  const bool node = member.mRole == MemberRole::eNode;
  if (member.mDraining == aRenew.mDraining &&
      (!node || member.mTarget == aRenew.mTarget)) {
    return;
  }
  Session& session =
    aStep.mControl.mLeadership.mSessions.mSessions.at(aRenew.mInstance);
  if (session.mUpdateProposedAt != MonoTime{} &&
      aStep.mNow < session.mUpdateProposedAt + kUpdateRetryInterval) {
    return;
  }
  session.mUpdateProposedAt = aStep.mNow;
  (void)Propose(aStep,
                UpdateMember{ aRenew.mInstance,
                              aRenew.mEpoch,
                              node ? aRenew.mTarget : TargetInfo{},
                              aRenew.mDraining },
                {});
}

// Tells the node which of its batch leases have ended or moved. A lease that
// this replica has not applied yet is neither.
void
CheckLeases(const ControlStep& aStep, const Renew& aRenew, RenewReply& aReply)
{
  const ControlState& state = aStep.mControl.mState;
  for (const FencingToken token : aRenew.mLeases) {
    if (token.mValue > state.mApplied.mValue) {
      continue;
    }
    switch (StateOfLease(state.mLedger,
                         aRenew.mInstance,
                         aRenew.mEpoch,
                         token,
                         aRenew.mTarget.mModels)) {
      case LeaseState::eHeld:
        break;
      case LeaseState::eMoved:
        aReply.mMovedLeases.push_back(token);
        break;
      case LeaseState::eEnded:
        aReply.mEndedLeases.push_back(token);
        break;
    }
  }
}

} // namespace

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const Register& aMessage)
{
  const Member& member = aMessage.mMember;
  if (member.mInstance.Empty() ||
      member.mInstance.mValue.size() > kMaxInstanceName ||
      member.mAddress.Empty() || !CheckLeader(aStep, aFrom)) {
    return;
  }
  const auto& members = ViewOf(aStep).mMembers;
  auto present = members.find(member.mInstance);
  if (present != members.end() &&
      present->second.mIncarnation == member.mIncarnation) {
    Send(aStep,
         aFrom,
         RegisterReply{ member.mInstance,
                        member.mIncarnation,
                        present->second.mEpoch,
                        aMessage.mSentAt });
    return;
  }
  (void)Propose(
    aStep,
    RegisterMember{ member },
    PendingRegisterReply{
      aFrom, member.mInstance, member.mIncarnation, aMessage.mSentAt });
}

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const Renew& aMessage)
{
  if (!CheckLeader(aStep, aFrom)) {
    return;
  }
  ++aStep.mControl.mCounters.mRenewals;
  RenewReply reply = HandleRenew(aStep.mControl.mLeadership.mSessions,
                                 aStep.mNow,
                                 aMessage,
                                 ViewOf(aStep).mRevision,
                                 NewestDigest(aStep));
  if (reply.mVerdict == RenewVerdict::eCopyDiffers) {
    LogDifference(aStep, aMessage);
  }
  if (reply.mVerdict == RenewVerdict::eGranted) {
    CheckLeases(aStep, aMessage, reply);
    // What entries report next is weighed by the share: a new leader credits
    // the bursts once.
    UpdateRateShare(aStep);
  }
  Send(aStep, aFrom, reply);
  if (reply.mVerdict != RenewVerdict::eUnknownSession) {
    UpdateFromRenewal(aStep, aMessage);
  }
}

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const Leave& aMessage)
{
  if (!CheckLeader(aStep, aFrom)) {
    return;
  }
  if (!IsCurrentSession(ViewOf(aStep), aMessage.mInstance, aMessage.mEpoch)) {
    SendUnknownSession(aStep, aFrom, aMessage.mInstance, aMessage.mEpoch);
    return;
  }
  (void)Propose(
    aStep,
    EndSession{ aMessage.mInstance, aMessage.mEpoch },
    PendingLeaveReply{ aFrom, aMessage.mInstance, aMessage.mEpoch });
}

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const GrantRequest& aMessage)
{
  if (!CheckLeader(aStep, aFrom)) {
    return;
  }
  const ConfigView& view = ViewOf(aStep);
  if (!IsCurrentSession(view, aMessage.mInstance, aMessage.mEpoch)) {
    SendUnknownSession(aStep, aFrom, aMessage.mInstance, aMessage.mEpoch);
    return;
  }
  if (view.mMembers.at(aMessage.mInstance).mRole != MemberRole::eEntry) {
    return;
  }
  ++aStep.mControl.mCounters.mGrants;
  Send(aStep,
       aFrom,
       HandleGrantRequest(
         aStep.mControl.mLeadership.mGrantor, aStep.mNow, view, aMessage));
}

} // namespace caraway
