// The state machine of the control role: start, events and wakeups.

#include "caraway/control/control.h"

#include <algorithm>
#include <type_traits>

#include "absl/strings/str_cat.h"
#include "caraway/consensus/raft_internal.h"
#include "caraway/control/step.h"

namespace caraway {

namespace {

// How long a stopping replica waits for proposals to be answered.
constexpr Duration kStopTimeout = Seconds(2);
// Between looks at them.
constexpr Duration kProposalCheck = Millis(50);

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const ConfigFetch& aFetch)
{
  for (SendMessage& answer : HandleConfigFetch(aStep.mControl.mPolls,
                                               aStep.mNow,
                                               aStep.mControl.mState.mConfig,
                                               aFrom,
                                               aFetch)) {
    aStep.mOut.emplace_back(std::move(answer));
  }
}

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const RaftMessage& aMessage)
{
  aStep.mControl.mDiscovery.mSenders[aMessage.mFrom] = aFrom;
  RaftReceive(aStep.mControl.mRaft, aStep.mNow, aMessage, aStep.mRaft);
}

// Messages that are not for control are ignored.
template<class T>
constexpr bool kIsControlMessage =
  std::is_same_v<T, RaftMessage> || std::is_same_v<T, Register> ||
  std::is_same_v<T, Renew> || std::is_same_v<T, ConfigFetch> ||
  std::is_same_v<T, Leave> || std::is_same_v<T, GrantRequest> ||
  std::is_same_v<T, LeaseItems> || std::is_same_v<T, ItemResults> ||
  std::is_same_v<T, ControlCall> || std::is_same_v<T, ControlMap> ||
  std::is_same_v<T, JoinGroup> || std::is_same_v<T, FoundGroup> ||
  std::is_same_v<T, LeaveGroup> || std::is_same_v<T, MayLeave> ||
  std::is_same_v<T, TargetsHeard> || std::is_same_v<T, CrashReport> ||
  std::is_same_v<T, StartedParts> || std::is_same_v<T, StreamsBegun> ||
  std::is_same_v<T, OriginQuery> || std::is_same_v<T, RolloutReport>;

struct EventHandler
{
  ControlStep& mStep;

  void operator()(const Wakeup&) const
  {
    RaftWakeup(mStep.mControl.mRaft, mStep.mNow, mStep.mRaft);
  }

  void operator()(const MessageReceived& aEvent) const
  {
    std::visit(
      [&](const auto& aMessage) {
        if constexpr (kIsControlMessage<std::decay_t<decltype(aMessage)>>) {
          HandleMessage(mStep, aEvent.mFrom, aMessage);
        }
      },
      aEvent.mMessage);
  }

  void operator()(const PeerLost& aEvent) const
  {
    mStep.mControl.mPolls.mPolls.erase(aEvent.mPeer);
  }

  void operator()(const HttpRequest& aEvent) const
  {
    HandleHttp(mStep, aEvent);
  }

  // The write continues; only its reply is dropped.
  void operator()(const HttpClosed& aEvent) const
  {
    for (auto& [index, proposal] : mStep.mControl.mLeadership.mProposals) {
      const auto* write =
        std::get_if<PendingWriteReply>(&proposal.mPendingReply);
      const auto* change =
        std::get_if<PendingReplicasReply>(&proposal.mPendingReply);
      const auto* order =
        std::get_if<PendingOperatorCall>(&proposal.mPendingReply);
      if ((order != nullptr && order->mCall == aEvent.mCall) ||
          (write != nullptr && write->mCall == aEvent.mCall) ||
          (change != nullptr && change->mCall == aEvent.mCall)) {
        proposal.mPendingReply = std::monostate{};
      }
    }
  }

  void operator()(const BlobRead& aEvent) const
  {
    HandleBlobRead(mStep, aEvent);
  }

  void operator()(const StopRequested&) const
  {
    if (!mStep.mControl.mStopping) {
      mStep.mControl.mStopping = true;
      mStep.mControl.mStopDeadline = mStep.mNow + kStopTimeout;
    }
  }

  template<class T>
  void operator()(const T& aEvent) const
  {
    HandleRaftEvent(mStep, aEvent);
  }
};

void
AnswerDuePolls(ControlStep& aStep)
{
  for (SendMessage& answer : AnswerPolls(
         aStep.mControl.mPolls, aStep.mNow, aStep.mControl.mState.mConfig)) {
    aStep.mOut.emplace_back(std::move(answer));
  }
}

void
TickStop(ControlStep& aStep)
{
  Control& control = aStep.mControl;
  if (!control.mStopping || control.mStopped) {
    return;
  }
  const bool late = aStep.mNow >= control.mStopDeadline;
  if (!late && !control.mLeadership.mProposals.empty()) {
    control.mDeparture.mNextCheck = aStep.mNow + kProposalCheck;
    return;
  }
  if (!late && !Depart(aStep)) {
    return;
  }
  const char* choice = late                           ? "late"
                       : control.mDeparture.mMayLeave ? "by_leader"
                                                      : "at_once";
  Log(aStep,
      "departure",
      choice,
      absl::StrCat("voters ",
                   VoterCount(control.mRaft),
                   ", replicas ",
                   ReplicasOf(control.mRaft).mReplicas.size()));
  control.mStopped = true;
  aStep.mOut.emplace_back(Stopped{});
}

} // namespace

absl::StatusOr<Control>
MakeControl(const ControlSettings& aSettings,
            RaftRecovered aRecovered,
            const std::string& aState,
            MonoTime aNow,
            int64_t /*aUnixSeconds*/)
{
  absl::StatusOr<ControlState> state = DecodeControlState(aState);
  if (!state.ok()) {
    return state.status();
  }
  Control control;
  control.mSettings = aSettings;
  control.mState = *std::move(state);
  control.mState.mApplied = aRecovered.mSnapshot.mIndex;
  control.mEntryLeft = aNow;
  control.mPolls.mCurrent = false;
  control.mLeaderlessSince = aNow;
  control.mCommitWatch = { aNow, control.mState.mConfig.mView.mRevision };
  control.mAppliedReplicas = aRecovered.mSnapshot.mIndex.IsNone()
                               ? aSettings.mInitialReplicas
                               : aRecovered.mSnapshot.mReplicas;
  control.mRaft = MakeRaft(aSettings.mRaft,
                           GroupId(),
                           aSettings.mReplica,
                           std::move(aRecovered),
                           aSettings.mInitialReplicas,
                           aSettings.mSeed,
                           aNow);
  return control;
}

void
StepControl(Control& aControl,
            MonoTime aNow,
            int64_t aUnixSeconds,
            const ControlEvent& aEvent,
            std::vector<ControlAction>& aOut)
{
  ControlStep step{ aControl, aNow, aUnixSeconds, aOut, {} };
  if (aControl.mHalted) {
    if (const auto* request = std::get_if<HttpRequest>(&aEvent)) {
      HandleHttp(step, *request);
    }
    return;
  }
  const Revision before = aControl.mState.mConfig.mView.mRevision;
  std::visit(EventHandler{ step }, aEvent);
  RunRaftActions(step);
  UpdateLeadership(step);
  RunLeaderDuties(step);
  TickDiscovery(step);
  TickStop(step);
  RunRaftActions(step);
  UpdateLeadership(step);
  const bool current = KnowsCommit(aControl.mRaft);
  const bool changed = aControl.mState.mConfig.mView.mRevision != before ||
                       current != aControl.mPolls.mCurrent;
  aControl.mPolls.mCurrent = current;
  if (changed || NextPollDue(aControl.mPolls) <= aNow) {
    AnswerDuePolls(step);
  }
  CheckDisk(step);
  WatchGroup(step);
  WatchLeader(step);
  WatchCommit(step);
}

MonoTime
NextWakeup(const Control& aControl)
{
  if (aControl.mHalted) {
    return kNever;
  }
  MonoTime next =
    std::min(NextWakeup(aControl.mRaft), NextPollDue(aControl.mPolls));
  if (aControl.mLeadership.mStarted) {
    next = std::min(
      { next, aControl.mLeadership.mNextScan, NextWakeup(aControl.mEvidence) });
  }
  if (!aControl.mSettings.mSeeds.empty()) {
    next = std::min(next, aControl.mDiscovery.mNextHello);
  }
  if (aControl.mStopping && !aControl.mStopped) {
    next = std::min(
      { next, aControl.mStopDeadline, aControl.mDeparture.mNextCheck });
  }
  return next;
}

} // namespace caraway
