// Discovery of control replicas, and the choice of the replica that founds the
// group.

#include "caraway/entry/replica_discovery.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr Duration kQueryEvery = Millis(100);  // while no replica is known
constexpr Duration kRefreshEvery = Seconds(5); // afterwards
// Replicas send a hello every half second and all instances start within a
// fraction of a second. So after this time, every replica of the first start
// has sent one.
constexpr Duration kFoundingDelay = Millis(1200);
constexpr Duration kReplicaExpiry = Seconds(6);

bool
ChoosesFounder(const Entry& aEntry)
{
  return aEntry.mSettings.mFirstStart && !aEntry.mSettings.mSeeds.empty() &&
         aEntry.mSettings.mSeeds.front() == aEntry.mSettings.mAddress;
}

std::vector<PeerAddress>
GroupReplicas(const Entry& aEntry, MonoTime aNow)
{
  std::vector<PeerAddress> group;
  for (const auto& [address, replica] : aEntry.mReplicaDiscovery.mReplicas) {
    if (replica.mInGroup && aNow - replica.mHeardAt < kReplicaExpiry) {
      group.push_back(address);
    }
  }
  for (const auto& [address, toldAt] :
       aEntry.mReplicaDiscovery.mReportedReplicas) {
    if (aNow - toldAt < kReplicaExpiry &&
        std::find(group.begin(), group.end(), address) == group.end()) {
      group.push_back(address);
    }
  }
  return group;
}

// Uses the known replicas for sessions and configuration fetches. An empty list
// changes nothing, since the previous replicas may come back.
void
UseReplicas(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  std::vector<PeerAddress> group = GroupReplicas(entry, aStep.mNow);
  std::vector<PeerAddress>& control = entry.mSettings.mControl;
  if (group.empty() || group == control) {
    return;
  }
  DecisionLog log;
  log.mEvent = "control_replicas";
  log.mChoice = std::to_string(group.size());
  log.mReason = "the set of known replicas has changed";
  aStep.mOut.emplace_back(std::move(log));
  const bool first = control.empty();
  control = std::move(group);
  if (first) {
    entry.mSession.mReplica = DrawBelow(entry.mRandom, control.size());
    entry.mSession.mLeader = control[entry.mSession.mReplica];
    entry.mSession.mNextSend = aStep.mNow;
    entry.mFetcher.mReplica = DrawBelow(entry.mRandom, control.size());
    entry.mFetcher.mNextFetch = aStep.mNow;
  }
}

ControlMap
ControlMapFor(const EntryStep& aStep)
{
  ControlMap map;
  map.mReplicas = GroupReplicas(aStep.mEntry, aStep.mNow);
  map.mEntries.push_back(aStep.mEntry.mSettings.mAddress);
  for (const auto& [id, member] : aStep.mEntry.mConfig.mMembers) {
    if (member.mRole == MemberRole::eEntry) {
      map.mEntries.push_back(member.mAddress);
    }
  }
  return map;
}

// Chooses the founder once every replica had time to send a hello, and only if
// none of them is in a group.
void
ChooseFounder(EntryStep& aStep)
{
  ReplicaDiscovery& discovery = aStep.mEntry.mReplicaDiscovery;
  const bool any =
    std::any_of(discovery.mReplicas.begin(),
                discovery.mReplicas.end(),
                [](const auto& aEntry) { return aEntry.second.mInGroup; });
  if (!ChoosesFounder(aStep.mEntry) || any || discovery.mReplicas.empty() ||
      aStep.mNow < discovery.mFirstHello + kFoundingDelay) {
    return;
  }
  for (const auto& [address, replica] : discovery.mReplicas) {
    if (replica.mFirstStart) {
      Send(aStep, address, FoundGroup{});
      return;
    }
  }
}

} // namespace

void
HandleReplicaHello(EntryStep& aStep,
                   const PeerAddress& aFrom,
                   const ReplicaHello& aHello)
{
  ReplicaDiscovery& discovery = aStep.mEntry.mReplicaDiscovery;
  if (discovery.mFirstHello == kNever) {
    discovery.mFirstHello = aStep.mNow;
  }
  discovery.mReplicas[aFrom] = { aHello.mInGroup,
                                 aHello.mFirstStart,
                                 aStep.mNow };
  UseReplicas(aStep);
  ChooseFounder(aStep);
  Send(aStep, aFrom, ControlMapFor(aStep));
}

void
HandleControlQuery(EntryStep& aStep, const PeerAddress& aFrom)
{
  Send(aStep, aFrom, ControlMapFor(aStep));
}

void
NoteLeaderAddress(EntryStep& aStep, const PeerAddress& aLeader)
{
  if (!aStep.mEntry.mSettings.mSeeds.empty()) {
    aStep.mEntry.mReplicaDiscovery.mReportedReplicas[aLeader] = aStep.mNow;
    UseReplicas(aStep);
  }
}

void
HandleControlMap(EntryStep& aStep, const ControlMap& aMap)
{
  for (const PeerAddress& replica : aMap.mReplicas) {
    aStep.mEntry.mReplicaDiscovery.mReportedReplicas[replica] = aStep.mNow;
  }
  UseReplicas(aStep);
}

void
TickReplicaDiscovery(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  ReplicaDiscovery& discovery = entry.mReplicaDiscovery;
  const std::vector<PeerAddress>& seeds = entry.mSettings.mSeeds;
  if (seeds.empty() || aStep.mNow < discovery.mNextQuery) {
    return;
  }
  std::erase_if(discovery.mReportedReplicas, [&](const auto& aTold) {
    return aStep.mNow - aTold.second >= kReplicaExpiry;
  });
  std::erase_if(discovery.mReplicas, [&](const auto& aReplica) {
    return aStep.mNow - aReplica.second.mHeardAt >= kReplicaExpiry;
  });
  const bool known = !entry.mSettings.mControl.empty();
  discovery.mNextQuery = aStep.mNow + (known ? kRefreshEvery : kQueryEvery);
  const PeerAddress& seed = seeds[discovery.mNextSeed++ % seeds.size()];
  if (seed != entry.mSettings.mAddress) {
    Send(aStep, seed, ControlQuery{});
  }
}

MonoTime
ReplicaDiscoveryWakeup(const Entry& aEntry)
{
  return aEntry.mSettings.mSeeds.empty() ? kNever
                                         : aEntry.mReplicaDiscovery.mNextQuery;
}

} // namespace caraway
