// Candidate nodes, their load and the subscriptions to load reports.

#include "caraway/entry/targets.h"

#include <algorithm>

#include "caraway/routing/subset.h"

namespace caraway {

namespace {

// A Watch expires after 10 s; one lost message must not let it expire.
constexpr Duration kWatchInterval = Seconds(4);
constexpr Duration kGroupLifetime = Seconds(60); // unused groups are evicted

template<class Id>
bool
Contains(const std::vector<Id>& aList, const Id& aId)
{
  return std::find(aList.begin(), aList.end(), aId) != aList.end();
}

bool
Serves(const Member& aMember, const TargetCall& aCall)
{
  return aCall.mModel.Empty()
           ? Contains(aMember.mTarget.mServices, aCall.mService)
           : Contains(aMember.mTarget.mModels, aCall.mModel);
}

SubsetInput
SubsetInputFor(const Entry& aEntry, const TargetCall& aCall)
{
  SubsetInput input;
  input.mSelf = { aEntry.mSettings.mInstance, aEntry.mSettings.mZone };
  input.mSize = aEntry.mSettings.mSubsetPerModel;
  for (const auto& [instance, member] : aEntry.mConfig.mMembers) {
    if (member.mDraining) {
      continue;
    }
    if (member.mRole == MemberRole::eEntry) {
      input.mEntries.push_back({ instance, member.mZone });
    } else if (ZoneInService(aEntry.mConfig, member.mZone) &&
               TargetInService(aEntry.mConfig, member.mTarget.mId) &&
               Serves(member, aCall)) {
      input.mTargets.push_back({ instance, member.mZone });
    }
  }
  return input;
}

void
WatchNode(EntryStep& aStep, const InstanceId& aNode)
{
  Entry& entry = aStep.mEntry;
  const Member* member = NodeMember(entry, aNode);
  MonoTime& watchedAt =
    entry.mWatchedAt.try_emplace(aNode, kLongAgo).first->second;
  if (member == nullptr || aStep.mNow - watchedAt < kWatchInterval) {
    return;
  }
  watchedAt = aStep.mNow;
  StateOf(aStep, aNode, member->mEpoch);
  Send(aStep, member->mAddress, Watch{ entry.mSettings.mAddress });
}

void
BuildGroup(EntryStep& aStep, TargetGroup& aGroup, const TargetCall& aCall)
{
  Entry& entry = aStep.mEntry;
  aGroup.mTopologyVersion = entry.mTopologyVersion;
  aGroup.mCandidates.clear();
  for (const InstanceId& node : ChooseSubset(SubsetInputFor(entry, aCall))) {
    aGroup.mCandidates.push_back(
      { node, entry.mConfig.mMembers.at(node).mZone });
    WatchNode(aStep, node);
  }
  entry.mNextWatch = std::min(entry.mNextWatch, aStep.mNow + kWatchInterval);
}

} // namespace

const Member*
NodeMember(const Entry& aEntry, const InstanceId& aNode)
{
  auto member = aEntry.mConfig.mMembers.find(aNode);
  return member != aEntry.mConfig.mMembers.end() &&
             member->second.mRole == MemberRole::eNode
           ? &member->second
           : nullptr;
}

const std::vector<RouteCandidate>&
CandidatesFor(EntryStep& aStep, const TargetCall& aCall)
{
  Entry& entry = aStep.mEntry;
  const std::string name = aCall.mModel.Empty() ? "s:" + aCall.mService.mValue
                                                : "m:" + aCall.mModel.mValue;
  TargetGroup& group = entry.mGroups[name];
  if (group.mTopologyVersion != entry.mTopologyVersion) {
    BuildGroup(aStep, group, aCall);
  }
  group.mUsedAt = aStep.mNow;
  return group.mCandidates;
}

TargetState&
StateOf(EntryStep& aStep, const InstanceId& aNode, Epoch aEpoch)
{
  TargetState& state = aStep.mEntry.mTargets[aNode];
  if (aEpoch > state.mEpoch) {
    state = {};
    state.mEpoch = aEpoch;
  }
  return state;
}

void
RecordNodeLoad(EntryStep& aStep,
               const InstanceId& aNode,
               Epoch aEpoch,
               const LoadFigures& aFigures)
{
  auto state = aStep.mEntry.mTargets.find(aNode);
  if (aFigures.mLimit != 0 && state != aStep.mEntry.mTargets.end() &&
      state->second.mEpoch == aEpoch) {
    RecordReport(state->second, aStep.mNow, aFigures);
  }
}

void
TopologyChanged(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  ++entry.mTopologyVersion;
  entry.mNodeByTarget.clear();
  entry.mEntriesKnown = 0;
  for (const auto& [id, member] : entry.mConfig.mMembers) {
    if (member.mRole == MemberRole::eEntry) {
      ++entry.mEntriesKnown;
    } else if (!member.mDraining) {
      entry.mNodeByTarget.emplace(member.mTarget.mId, id);
    }
  }
  absl::erase_if(entry.mTargets, [&](const auto& aTarget) {
    return NodeMember(entry, aTarget.first) == nullptr;
  });
  absl::erase_if(entry.mWatchedAt, [&](const auto& aWatched) {
    return NodeMember(entry, aWatched.first) == nullptr;
  });
}

void
TickWatch(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  if (aStep.mNow < entry.mNextWatch) {
    return;
  }
  entry.mNextWatch = kNever;
  std::erase_if(entry.mGroups, [&](const auto& aGroup) {
    return aStep.mNow - aGroup.second.mUsedAt >= kGroupLifetime;
  });
  for (const auto& [name, group] : entry.mGroups) {
    for (const RouteCandidate& candidate : group.mCandidates) {
      WatchNode(aStep, candidate.mNode);
    }
    entry.mNextWatch = aStep.mNow + kWatchInterval;
  }
}

void
TargetPeerLost(EntryStep& aStep, const PeerAddress& aPeer)
{
  Entry& entry = aStep.mEntry;
  for (auto& [node, state] : entry.mTargets) {
    const Member* member = NodeMember(entry, node);
    if (member != nullptr && member->mAddress == aPeer) {
      RecordFailure(state, aStep.mNow);
      entry.mWatchedAt.erase(node);
    }
  }
}

} // namespace caraway
