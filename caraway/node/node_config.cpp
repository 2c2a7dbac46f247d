// Fetches the configuration from control and reacts to changes in it.

#include "caraway/config/target_use.h"
#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

constexpr Duration kFetchTimeout = Millis(1400); // a replica answers within 1 s
constexpr Duration kFetchPause = Millis(100); // after an answer without changes

// Reacts to withdrawn keys and contracts, ended entry sessions and the removal
// of this node.
void
HandleConfigChange(Node& aNode,
                   MonoTime aNow,
                   const ConfigChange& aChange,
                   NodeActions& aOut)
{
  if (const auto* key = std::get_if<WithdrawKey>(&aChange)) {
    RefuseWithdrawnCalls(aNode, aNow, key->mKey, {}, aOut);
  } else if (const auto* contract = std::get_if<WithdrawContract>(&aChange)) {
    RefuseWithdrawnCalls(aNode, aNow, {}, contract->mWorkspace, aOut);
  } else if (const auto* set = std::get_if<SetMember>(&aChange)) {
    const Member& member = set->mMember;
    if (member.mRole == MemberRole::eEntry) {
      DropEntryCalls(aNode, aNow, {}, member.mInstance, member.mEpoch, aOut);
    }
  } else if (const auto* gone = std::get_if<RemoveMember>(&aChange)) {
    const bool self = gone->mInstance == aNode.mSettings.mInstance;
    if (!self) {
      const Epoch next(gone->mEpoch.mValue + 1);
      DropEntryCalls(aNode, aNow, {}, gone->mInstance, next, aOut);
    } else if (gone->mEpoch == aNode.mSession.mEpoch && aNode.mSession.mLive) {
      if (aNode.mStop == StopState::eLeaving) {
        aNode.mStop = StopState::eStopped;
      }
      EndSession(aNode, aNow, aOut);
    }
  }
}

// Refuses queued calls and returns waiting items if the zone or target was
// taken out of service, so that other targets run them.
void
RefuseWorkOutOfService(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  if (RefusalReason(aNode, aNow) == ErrorKind::eZoneOut) {
    RefuseQueuedCalls(aNode,
                      aNow,
                      ErrorKind::eZoneOut,
                      "the zone or target was taken out of service",
                      aOut);
    ReturnWaitingItems(aNode, aNow, aOut);
  }
}

// Returns waiting items if a roll-out takes the target's version out of use.
void
ReturnItemsByRollout(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  if (IsOutOfUse(aNode.mSession.mView, aNode.mRecord)) {
    ReturnWaitingItems(aNode, aNow, aOut);
  }
}

void
FinishFetch(Node& aNode, MonoTime aNow, bool aChanged, NodeActions& aOut)
{
  aNode.mSession.mFetching = false;
  aNode.mSession.mFetchTimeout = aChanged ? aNow : aNow + kFetchPause;
  if (!aChanged) {
    return;
  }
  RefuseWorkOutOfService(aNode, aNow, aOut);
  ReturnItemsByRollout(aNode, aNow, aOut);
  FetchConfig(aNode, aNow, aOut);
  if (aNode.mSession.mLive) {
    SendRenew(aNode, aNow, aOut);
  }
}

} // namespace

void
FetchConfig(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  NodeSession& session = aNode.mSession;
  const auto& control = aNode.mSettings.mControl;
  if (control.empty() || aNow < session.mFetchTimeout) {
    return;
  }
  if (session.mFetching) {
    ++session.mConfigIndex; // timed out: ask the next replica
  }
  session.mFetching = true;
  ConfigFetch fetch;
  fetch.mHeld = session.mView.mRevision;
  fetch.mScope = ConfigScope::eNodeOnly;
  fetch.mSnapshotRevision = session.mSnapshotRevision;
  fetch.mSnapshotOffset = session.mSnapshot.size();
  session.mFetchTimeout = aNow + kFetchTimeout;
  aOut.emplace_back(
    SendMessage{ control[session.mConfigIndex % control.size()], fetch });
}

void
OnConfigDelta(Node& aNode,
              MonoTime aNow,
              const ConfigDelta& aDelta,
              NodeActions& aOut)
{
  ConfigView& view = aNode.mSession.mView;
  if (aDelta.mFrom > view.mRevision || aDelta.mTo <= view.mRevision) {
    FinishFetch(aNode, aNow, false, aOut);
    return;
  }
  const Revision before = view.mRevision;
  for (const RevisedChange& change : aDelta.mChanges) {
    ApplyChange(view, change);
  }
  view.mRevision = std::max(view.mRevision, aDelta.mTo);
  for (const RevisedChange& change : aDelta.mChanges) {
    if (change.mRevision > before) {
      HandleConfigChange(aNode, aNow, change.mChange, aOut);
    }
  }
  FinishFetch(aNode, aNow, true, aOut);
}

void
OnSnapshotPart(Node& aNode,
               MonoTime aNow,
               const ConfigSnapshotPart& aPart,
               NodeActions& aOut)
{
  NodeSession& session = aNode.mSession;
  if (aPart.mRevision <= session.mView.mRevision) {
    FinishFetch(aNode, aNow, false, aOut);
    return;
  }
  if (aPart.mRevision != session.mSnapshotRevision) {
    session.mSnapshot.clear();
    session.mSnapshotRevision = aPart.mRevision;
  }
  if (aPart.mOffset != session.mSnapshot.size()) {
    return; // duplicate or out of order; the fetch is repeated on timeout
  }
  session.mSnapshot.insert(
    session.mSnapshot.end(), aPart.mChanges.begin(), aPart.mChanges.end());
  if (!aPart.mLast) {
    session.mFetching = false;
    session.mFetchTimeout = aNow;
    FetchConfig(aNode, aNow, aOut);
    return;
  }
  const std::vector<ConfigChange> changes = std::move(session.mSnapshot);
  session.mSnapshot.clear();
  session.mSnapshotRevision = {};
  const ConfigView before = session.mView;
  if (!ApplySnapshot(session.mView, aPart.mRevision, changes).ok()) {
    return;
  }
  for (const ConfigChange& change : changes) {
    HandleConfigChange(aNode, aNow, change, aOut);
  }
  // Members that are not in the snapshot have been removed.
  for (const auto& [instance, member] : before.mMembers) {
    if (!session.mView.mMembers.contains(instance)) {
      HandleConfigChange(
        aNode, aNow, RemoveMember{ instance, member.mEpoch }, aOut);
    }
  }
  FinishFetch(aNode, aNow, true, aOut);
}

} // namespace caraway
