// Functions shared by the control role: sending, logging, proposing and the
// check for the leader.

#include "caraway/control/step.h"

#include "caraway/base/error.h"
#include "caraway/consensus/raft_internal.h"

namespace caraway {

namespace {

// The log takes payloads of up to 768 KiB.
constexpr size_t kMaxCommandBytes = 768 * 1024;

} // namespace

void
Send(ControlStep& aStep, const PeerAddress& aTo, Message aMessage)
{
  aStep.mOut.emplace_back(SendMessage{ aTo, std::move(aMessage) });
}

void
Log(ControlStep& aStep,
    std::string aEvent,
    std::string aChoice,
    std::string aReason)
{
  DecisionLog line;
  line.mEvent = std::move(aEvent);
  line.mChoice = std::move(aChoice);
  line.mReason = std::move(aReason);
  aStep.mOut.emplace_back(std::move(line));
}

bool
MayServe(const ControlStep& aStep)
{
  const Control& control = aStep.mControl;
  return control.mLeadership.mStarted && !control.mStopping &&
         HoldsLeaderLease(control.mRaft, aStep.mNow);
}

PeerAddress
LeaderAddress(const Control& aControl)
{
  const ReplicaId leader = LeaderOf(aControl.mRaft);
  for (const Replica& replica : ReplicasOf(aControl.mRaft).mReplicas) {
    if (!leader.IsNone() && replica.mId == leader) {
      return PeerAddress(replica.mAddress);
    }
  }
  return {};
}

bool
CheckLeader(ControlStep& aStep, const PeerAddress& aFrom)
{
  if (MayServe(aStep)) {
    return true;
  }
  const Control& control = aStep.mControl;
  NotLeader reply;
  reply.mTerm = TermOf(control.mRaft);
  reply.mVoters = static_cast<uint32_t>(VoterCount(control.mRaft));
  reply.mVotes = static_cast<uint32_t>(VotesGot(control.mRaft));
  if (!IsLeader(control.mRaft)) {
    reply.mLeader = LeaderAddress(control);
    Send(aStep, aFrom, std::move(reply));
  } else if (control.mLeadership.mStarted) {
    // Cut off from the majority or stopping; another replica may know the next
    // leader.
    Send(aStep, aFrom, std::move(reply));
  }
  return false;
}

MonoTime
LogicalNow(const ControlStep& aStep)
{
  const Leadership& leadership = aStep.mControl.mLeadership;
  return leadership.mLogicalBase + (aStep.mNow - leadership.mStartedAt);
}

absl::Status
Propose(ControlStep& aStep, CommandBody aBody, PendingReply aPendingReply)
{
  Control& control = aStep.mControl;
  ControlCommand command;
  command.mLogical = LogicalNow(aStep);
  command.mUnixSeconds = aStep.mUnixSeconds;
  command.mBody = std::move(aBody);
  std::string payload = EncodeCommand(command);
  if (payload.size() > kMaxCommandBytes) {
    return MakeError(ErrorKind::eTooLarge,
                     "the command is larger than 768 KiB",
                     "send it in smaller parts");
  }
  absl::StatusOr<LogIndex> index = RaftPropose(control.mRaft,
                                               aStep.mNow,
                                               LogEntryKind::eCommand,
                                               std::move(payload),
                                               aStep.mRaft);
  if (!index.ok()) {
    return index.status();
  }
  ++control.mCounters.mProposals;
  control.mLeadership.mProposals[*index] = { TermOf(control.mRaft),
                                             std::move(aPendingReply) };
  return absl::OkStatus();
}

} // namespace caraway
