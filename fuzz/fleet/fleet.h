#pragma once
// Simulated fleet: several processes of each role, joined by in-memory links
// and stepped on a virtual clock. It runs the same role state machines as the
// daemons; it has no separate model of them.

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>

#include "caraway/caraway.h"
#include "caraway/consensus/raft_api.h"
#include "caraway/control/control.h"
#include "caraway/entry/entry.h"
#include "caraway/node/node.h"
#include "fuzz/fleet/memory_disk.h"
#include "fuzz/fleet/oracle.h"
#include "fuzz/fleet/stub_target.h"

namespace caraway::fleet {

struct FleetSettings
{
  uint64_t mSeed = 1;
  int mControls = 3;
  int mEntries = 2;
  int mEngines = 3;            // nodes with an engine, spread over the zones
  int mServices = 2;           // nodes with a plain service
  double mLoss = 0;            // share of messages lost
  double mDuplicate = 0;       // share of messages duplicated
  Duration mDelay = Millis(2); // usual upper limit
  uint32_t mSnapshotEvery = 200;
  double mRate = 20; // rate of the contract, requests per second
  double mBurst = 20;
};

// Local clock of a process: an offset, and a drift within the configured bound.
struct LocalClock
{
  int64_t mOffsetMicros = 0;
  int64_t mDriftPerMillion = 0;
};

struct ControlProcess
{
  ControlSettings mSettings;
  LocalClock mClock;
  MemoryDisk mDisk;
  std::unique_ptr<Control> mRole; // empty while not running
};

struct EntryProcess
{
  EntrySettings mSettings;
  LocalClock mClock;
  std::unique_ptr<Entry> mRole;
  std::map<HttpCallId, uint64_t> mCalls; // open calls of callers
  bool mStopping = false;
};

struct NodeProcess
{
  NodeSettings mSettings;
  LocalClock mClock;
  std::unique_ptr<Node> mRole;
  StubTarget mTarget;
  bool mStopping = false;
};

// Event due at a time: a message, a finished disk write or a lost connection.
struct Due
{
  MonoTime mAt;
  uint64_t mOrder = 0;
  PeerAddress mTo;
  PeerAddress mFrom;
  std::variant<Message, PeerLost, LogWritten, SnapshotSaved> mWhat;
};

struct DueLater
{
  bool operator()(const Due& aLeft, const Due& aRight) const
  {
    return std::tie(aLeft.mAt, aLeft.mOrder) >
           std::tie(aRight.mAt, aRight.mOrder);
  }
};

struct OperatorAnswer
{
  HttpCallId mCall;
  int mStatus = 0;
  std::string mBody;
};

struct Fleet
{
  FleetSettings mSettings;
  Random mRandom;
  MonoTime mNow{ 1000000 };
  uint64_t mOrder = 0;
  uint64_t mNextNumber = 1;
  std::map<PeerAddress, ControlProcess> mControls;
  std::map<PeerAddress, EntryProcess> mEntries;
  std::map<PeerAddress, NodeProcess> mNodes;
  std::priority_queue<Due, std::vector<Due>, DueLater> mDue;
  std::set<std::pair<PeerAddress, PeerAddress>> mCut; // one direction each
  std::map<LogIndex, SnapshotMark> mMarks;
  std::optional<OperatorAnswer> mOperatorAnswer;
  std::string mKeyText; // of the workspace under test
  std::string mKeyId;
  std::map<std::string, std::string> mSecrets; // key id -> text
  Oracle mOracle;
  std::vector<std::string> mTrace; // decisions, printed when a check fails

  Fleet() = default;
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
};

// Starts all processes and waits for the first leader, the first contract,
// route and key.
std::unique_ptr<Fleet>
StartFleet(const FleetSettings& aSettings);

// Advances the virtual clock by aDuration.
void
RunFor(Fleet& aFleet, Duration aDuration);

// Sends an operator's write or read, retrying across replicas for at most 20 s
// until the leader answers. Returns status 0 if none did.
OperatorAnswer
Operate(Fleet& aFleet,
        const std::string& aMethod,
        const std::string& aPath,
        const std::string& aBody);

// Sends a caller's request to one entry. Returns the number of the request.
uint64_t
SendRequest(Fleet& aFleet,
            size_t aEntry,
            RequestKind aKind,
            const std::string& aIdempotencyKey = "",
            const std::string& aMarker = "");

// Sends any request of a caller and runs until it is answered or 30 s have
// passed.
CallerRequest
Exchange(Fleet& aFleet,
         size_t aEntry,
         const std::string& aMethod,
         const std::string& aPath,
         const Headers& aHeaders,
         const std::string& aBody);

// Faults. Indexes wrap around.
void
KillControl(Fleet& aFleet, size_t aIndex);
void
RestartControl(Fleet& aFleet, size_t aIndex);
void
KillEntry(Fleet& aFleet, size_t aIndex);
void
RestartEntry(Fleet& aFleet, size_t aIndex);
void
KillNode(Fleet& aFleet, size_t aIndex);
void
RestartNode(Fleet& aFleet, size_t aIndex);
void
KillTargetOf(Fleet& aFleet, size_t aIndex);
void
RestartTarget(Fleet& aFleet, size_t aIndex, bool aCold);
void
StopEntry(Fleet& aFleet, size_t aIndex);
void
StopNode(Fleet& aFleet, size_t aIndex);
void
Cut(Fleet& aFleet, const PeerAddress& aFrom, const PeerAddress& aTo);
// Cuts all links of one process, in both directions.
void
Isolate(Fleet& aFleet, const PeerAddress& aPeer);
// Heals all links, restarts all processes and targets, stops message faults.
void
HealAll(Fleet& aFleet);

PeerAddress
ControlAddress(const Fleet& aFleet, size_t aIndex);
PeerAddress
EntryAddress(const Fleet& aFleet, size_t aIndex);
PeerAddress
NodeAddress(const Fleet& aFleet, size_t aIndex);

// The replica that holds the leader lease, empty if none does.
PeerAddress
LeaderAddress(const Fleet& aFleet);

} // namespace caraway::fleet
