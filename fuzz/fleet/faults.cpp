// Starts, kills and isolates processes of the fleet.

#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "fuzz/fleet/fleet_internal.h"

namespace caraway::fleet {

namespace {

// Longest time until the peer notices a lost connection.
constexpr Duration kSilence = Seconds(2);

template<class Map>
auto&
Nth(Map& aMap, size_t aIndex)
{
  return *std::next(aMap.begin(), static_cast<ptrdiff_t>(aIndex % aMap.size()));
}

std::vector<PeerAddress>
AllAddresses(const Fleet& aFleet)
{
  std::vector<PeerAddress> all;
  const auto add = [&](const auto& aProcesses) {
    for (const auto& [address, process] : aProcesses) {
      all.push_back(address);
    }
  };
  add(aFleet.mControls);
  add(aFleet.mEntries);
  add(aFleet.mNodes);
  return all;
}

void
TellPeers(Fleet& aFleet, const PeerAddress& aLost)
{
  for (const PeerAddress& peer : AllAddresses(aFleet)) {
    if (peer != aLost) {
      const auto delay = static_cast<int64_t>(
        DrawBelow(aFleet.mRandom, static_cast<uint64_t>(kSilence.mMicros)));
      Enqueue(
        aFleet, aFleet.mNow + Micros(delay), peer, aLost, PeerLost{ aLost });
    }
  }
}

} // namespace

PeerAddress
ControlAddress(const Fleet& aFleet, size_t aIndex)
{
  return Nth(aFleet.mControls, aIndex).first;
}

PeerAddress
EntryAddress(const Fleet& aFleet, size_t aIndex)
{
  return Nth(aFleet.mEntries, aIndex).first;
}

PeerAddress
NodeAddress(const Fleet& aFleet, size_t aIndex)
{
  return Nth(aFleet.mNodes, aIndex).first;
}

PeerAddress
LeaderAddress(const Fleet& aFleet)
{
  for (const auto& [address, process] : aFleet.mControls) {
    if (process.mRole &&
        HoldsLeaderLease(process.mRole->mRaft,
                         LocalTime(process.mClock, aFleet.mNow))) {
      return address;
    }
  }
  return {};
}

void
BootControl(Fleet& aFleet, ControlProcess& aProcess)
{
  CrashDisk(aProcess.mDisk);
  aProcess.mSettings.mSeed = aFleet.mRandom.mEngine();
  aProcess.mSettings.mKeySeed =
    absl::StrCat("seed", aFleet.mRandom.mEngine(), "-padding-to-32-bytes");
  auto control = MakeControl(aProcess.mSettings,
                             aProcess.mDisk.mDurable,
                             aProcess.mDisk.mState,
                             LocalTime(aProcess.mClock, aFleet.mNow),
                             1700000000);
  if (!control.ok()) {
    ReportViolation(aFleet.mOracle,
                    absl::StrCat("restart failed: ",
                                 std::string(control.status().message())));
    return;
  }
  aProcess.mRole = std::make_unique<Control>(std::move(*control));
}

void
BootEntry(Fleet& aFleet, EntryProcess& aProcess)
{
  aProcess.mSettings.mSeed = aFleet.mRandom.mEngine();
  aProcess.mStopping = false;
  aProcess.mRole =
    std::make_unique<Entry>(MakeEntry(aProcess.mSettings,
                                      aFleet.mRandom.mEngine() | 1,
                                      LocalTime(aProcess.mClock, aFleet.mNow)));
}

void
BootNode(Fleet& aFleet, NodeProcess& aProcess)
{
  aProcess.mSettings.mSeed = aFleet.mRandom.mEngine();
  aProcess.mStopping = false;
  aProcess.mRole =
    std::make_unique<Node>(MakeNode(aProcess.mSettings,
                                    aFleet.mRandom.mEngine() | 1,
                                    LocalTime(aProcess.mClock, aFleet.mNow)));
}

void
LoseEntry(Fleet& aFleet, const PeerAddress& aAddress, EntryProcess& aProcess)
{
  aProcess.mRole.reset();
  for (const auto& [call, number] : aProcess.mCalls) {
    CallerRequest& request = aFleet.mOracle.mRequests.at(number);
    request.mDone = request.mLost = true;
    request.mAnswered = aFleet.mNow;
    if (aProcess.mStopping) {
      ReportViolation(aFleet.mOracle,
                      absl::StrCat("I12: a graceful stop of ",
                                   aProcess.mSettings.mInstance.mValue,
                                   " cut ",
                                   request.mMarker));
    }
  }
  aProcess.mCalls.clear();
  TellPeers(aFleet, aAddress);
}

void
LoseNode(Fleet& aFleet, const PeerAddress& aAddress, NodeProcess& aProcess)
{
  aProcess.mRole.reset();
  // The target's side of the calls notices the closed connections.
  aProcess.mTarget.mCalls.clear();
  TellPeers(aFleet, aAddress);
}

void
KillControl(Fleet& aFleet, size_t aIndex)
{
  auto& [address, process] = Nth(aFleet.mControls, aIndex);
  process.mRole.reset();
  CrashDisk(process.mDisk);
  TellPeers(aFleet, address);
}

void
RestartControl(Fleet& aFleet, size_t aIndex)
{
  auto& [address, process] = Nth(aFleet.mControls, aIndex);
  if (!process.mRole) {
    BootControl(aFleet, process);
  }
}

void
KillEntry(Fleet& aFleet, size_t aIndex)
{
  auto& [address, process] = Nth(aFleet.mEntries, aIndex);
  if (process.mRole) {
    process.mStopping = false;
    LoseEntry(aFleet, address, process);
  }
}

void
RestartEntry(Fleet& aFleet, size_t aIndex)
{
  auto& [address, process] = Nth(aFleet.mEntries, aIndex);
  if (!process.mRole) {
    BootEntry(aFleet, process);
  }
}

void
KillNode(Fleet& aFleet, size_t aIndex)
{
  auto& [address, process] = Nth(aFleet.mNodes, aIndex);
  if (process.mRole) {
    LoseNode(aFleet, address, process);
  }
}

void
RestartNode(Fleet& aFleet, size_t aIndex)
{
  auto& [address, process] = Nth(aFleet.mNodes, aIndex);
  if (!process.mRole) {
    BootNode(aFleet, process);
  }
}

void
KillTargetOf(Fleet& aFleet, size_t aIndex)
{
  auto& [address, process] = Nth(aFleet.mNodes, aIndex);
  std::vector<NodeEvent> events;
  KillTarget(process.mTarget, events);
  for (const NodeEvent& event : events) {
    StepAt(aFleet, address, event);
  }
}

void
RestartTarget(Fleet& aFleet, size_t aIndex, bool aCold)
{
  auto& [address, process] = Nth(aFleet.mNodes, aIndex);
  if (process.mTarget.mAlive) {
    return;
  }
  process.mTarget.mAlive = true;
  process.mTarget.mSilent = false;
  process.mTarget.mStartId = absl::StrCat("start-", aFleet.mRandom.mEngine());
  process.mTarget.mCold = aCold;
  process.mTarget.mWarmAt = aFleet.mNow + Seconds(2);
  process.mTarget.mNextAnnounce = aFleet.mNow;
}

void
StopEntry(Fleet& aFleet, size_t aIndex)
{
  auto& [address, process] = Nth(aFleet.mEntries, aIndex);
  if (process.mRole && !process.mStopping) {
    process.mStopping = true;
    StepAt(aFleet, address, EntryEvent(StopRequested{}));
  }
}

void
StopNode(Fleet& aFleet, size_t aIndex)
{
  auto& [address, process] = Nth(aFleet.mNodes, aIndex);
  if (process.mRole && !process.mStopping) {
    process.mStopping = true;
    StepAt(aFleet, address, NodeEvent(StopRequested{}));
  }
}

void
Cut(Fleet& aFleet, const PeerAddress& aFrom, const PeerAddress& aTo)
{
  aFleet.mCut.insert({ aFrom, aTo });
  Enqueue(aFleet, aFleet.mNow + kSilence, aTo, aFrom, PeerLost{ aFrom });
}

void
Isolate(Fleet& aFleet, const PeerAddress& aPeer)
{
  for (const PeerAddress& other : AllAddresses(aFleet)) {
    if (other != aPeer) {
      Cut(aFleet, aPeer, other);
      Cut(aFleet, other, aPeer);
    }
  }
}

void
HealAll(Fleet& aFleet)
{
  aFleet.mCut.clear();
  aFleet.mSettings.mLoss = 0;
  aFleet.mSettings.mDuplicate = 0;
  for (size_t i = 0; i < aFleet.mControls.size(); ++i) {
    RestartControl(aFleet, i);
  }
  for (size_t i = 0; i < aFleet.mEntries.size(); ++i) {
    RestartEntry(aFleet, i);
  }
  for (size_t i = 0; i < aFleet.mNodes.size(); ++i) {
    RestartNode(aFleet, i);
    RestartTarget(aFleet, i, false);
    Nth(aFleet.mNodes, i).second.mTarget.mSilent = false;
  }
}

void
AdvanceTargetOf(Fleet& aFleet,
                const PeerAddress& aAddress,
                NodeProcess& aProcess)
{
  if (!aProcess.mRole) {
    return;
  }
  StubTarget& target = aProcess.mTarget;
  std::vector<NodeEvent> events;
  if (target.mAlive && target.mNextAnnounce <= aFleet.mNow) {
    target.mNextAnnounce = aFleet.mNow + Seconds(1);
    HttpRequest announce;
    announce.mCall = HttpCallId(aFleet.mNextNumber++);
    announce.mMethod = "POST";
    announce.mPath = "/announce";
    announce.mHeaders = { { "Content-Type", "application/json" } };
    announce.mBody = AnnounceBody(target);
    events.emplace_back(announce);
  }
  AdvanceTarget(target, aFleet.mNow, events);
  for (const NodeEvent& event : events) {
    StepAt(aFleet, aAddress, event);
  }
}

} // namespace caraway::fleet
