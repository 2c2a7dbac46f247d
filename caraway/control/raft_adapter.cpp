// Connects the Raft state machine with the events and actions of the control
// role.

#include <type_traits>

#include "caraway/base/absl_view.h"
#include "caraway/control/step.h"

namespace caraway {

namespace {

void
HaltReplica(ControlStep& aStep, const std::string& aReason)
{
  aStep.mControl.mHalted = true;
  aStep.mOut.emplace_back(Halt{ aReason });
}

void
TakeSnapshot(ControlStep& aStep, const SnapshotMark& aMark)
{
  Control& control = aStep.mControl;
  if (aMark.mIndex != control.mState.mApplied) {
    HaltReplica(
      aStep,
      "the requested snapshot does not match the applied state; report "
      "this as a bug");
    return;
  }
  control.mSaving = aMark;
  aStep.mOut.emplace_back(
    SaveSnapshot{ aMark, EncodeControlState(control.mState) });
}

// A replica whose copy of the replica set lacks the recipient's address replies
// to the address that the recipient's messages came from.
void
SendRaft(ControlStep& aStep, RaftSend& aSend)
{
  const auto& senders = aStep.mControl.mDiscovery.mSenders;
  auto sender = senders.find(aSend.mMessage.mTo);
  PeerAddress to(aSend.mAddress);
  if (to.Empty() && sender != senders.end()) {
    to = sender->second;
  }
  if (!to.Empty()) {
    Send(aStep, to, std::move(aSend.mMessage));
  }
}

void
RunRaftAction(ControlStep& aStep, RaftAction& aAction)
{
  std::visit(
    [&](auto& aOne) {
      using T = std::decay_t<decltype(aOne)>;
      if constexpr (std::is_same_v<T, RaftSend>) {
        SendRaft(aStep, aOne);
      } else if constexpr (std::is_same_v<T, RaftApply>) {
        ApplyEntries(aStep, aOne.mEntries);
      } else if constexpr (std::is_same_v<T, RaftTakeSnapshot>) {
        TakeSnapshot(aStep, aOne.mMark);
      } else if constexpr (std::is_same_v<T, RaftRoleChanged>) {
        ++aStep.mControl.mCounters.mLeaderChanges;
        Log(aStep,
            "leader",
            aOne.mLeader.IsNone() ? "none"
                                  : std::to_string(aOne.mLeader.mValue),
            "term " + std::to_string(aOne.mTerm.mValue));
      } else {
        aStep.mOut.emplace_back(std::move(aOne));
      }
    },
    aAction);
}

// Replaces the durable state by an installed snapshot. A snapshot that is not
// newer is ignored, so that the revision never reverts.
bool
InstallState(ControlStep& aStep, const SnapshotPartStored& aEvent)
{
  Control& control = aStep.mControl;
  if (aEvent.mMark.mIndex <= control.mState.mApplied) {
    return true;
  }
  absl::StatusOr<ControlState> state = DecodeControlState(aEvent.mState);
  if (!state.ok()) {
    HaltReplica(aStep,
                "the snapshot received from the leader is corrupt: " +
                  std::string(StdView(state.status().message())));
    return false;
  }
  control.mState = *std::move(state);
  control.mEntryLeft = aStep.mNow;
  control.mState.mApplied = aEvent.mMark.mIndex;
  control.mAppliedReplicas = aEvent.mMark.mReplicas;
  return true;
}

} // namespace

void
RunRaftActions(ControlStep& aStep)
{
  while (!aStep.mRaft.empty()) {
    std::vector<RaftAction> actions;
    actions.swap(aStep.mRaft);
    for (RaftAction& action : actions) {
      RunRaftAction(aStep, action);
    }
  }
}

void
HandleRaftEvent(ControlStep& aStep, const LogWritten& aEvent)
{
  RaftWritten(
    aStep.mControl.mRaft, aStep.mNow, aEvent.mWrite, aEvent.mOk, aStep.mRaft);
  if (!aEvent.mOk) {
    HaltReplica(aStep,
                "the log could not be written; free or replace the disk");
  }
}

void
HandleRaftEvent(ControlStep& aStep, const SnapshotSaved& aEvent)
{
  Control& control = aStep.mControl;
  if (!control.mSaving || control.mSaving->mIndex != aEvent.mIndex) {
    return;
  }
  RaftSnapshotTaken(
    control.mRaft, aStep.mNow, *control.mSaving, aEvent.mOk, aStep.mRaft);
  control.mSaving.reset();
  if (!aEvent.mOk) {
    HaltReplica(aStep,
                "a snapshot could not be written; free or replace the disk");
  }
}

void
HandleRaftEvent(ControlStep& aStep, const SnapshotPartRead& aEvent)
{
  RaftSnapshotPartRead(aStep.mControl.mRaft,
                       aStep.mNow,
                       aEvent.mTo,
                       aEvent.mPart,
                       aEvent.mOk,
                       aStep.mRaft);
}

void
HandleRaftEvent(ControlStep& aStep, const SnapshotPartStored& aEvent)
{
  if (aEvent.mOk && !aEvent.mMark.mIndex.IsNone() &&
      !InstallState(aStep, aEvent)) {
    return;
  }
  RaftSnapshotPartStored(aStep.mControl.mRaft,
                         aStep.mNow,
                         aEvent.mFrom,
                         aEvent.mReply,
                         aEvent.mMark,
                         aEvent.mOk,
                         aStep.mRaft);
  if (!aEvent.mOk) {
    HaltReplica(aStep,
                "a snapshot could not be stored; free or replace the disk");
  }
}

void
HandleRaftEvent(ControlStep& aStep, const StorageFailed&)
{
  Control& control = aStep.mControl;
  const uint64_t write =
    control.mRaft.mPendingWrite ? control.mRaft.mPendingWrite->mWrite : 0;
  RaftWritten(control.mRaft, aStep.mNow, write, false, aStep.mRaft);
}

void
CheckDisk(ControlStep& aStep)
{
  if (!aStep.mControl.mHalted && HasLostDisk(aStep.mControl.mRaft)) {
    HaltReplica(
      aStep,
      "the group knows this replica with another data folder; start it "
      "under a new replica id and add it");
  }
}

} // namespace caraway
