#pragma once
// Simulates a group of replicas in virtual time: unreliable links, disks that
// keep only synced bytes, drifting clocks, and an oracle that checks them after
// every event.
//
// Checked invariants: all replicas apply the same entries, each once and in
// order; each term has at most one leader; at most one replica holds the leader
// lease at any moment, and it has applied every entry that a leader committed.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>

#include "caraway/base/error.h"
#include "caraway/consensus/log_codec.h"
#include "caraway/consensus/raft_api.h"
#include "caraway/consensus/replica_codec.h"

namespace caraway {

struct OracleError : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

inline void
Expect(bool aTrue, const std::string& aWhat)
{
  if (!aTrue) {
    throw OracleError(aWhat);
  }
}

struct WorldDisk
{
  uint64_t mId = 0;
  std::string mLog = EncodeSegmentHeader(1);
  size_t mSynced = mLog.size();
  SnapshotMark mMark;
  std::string mState; // of the snapshot
};

struct WorldNode
{
  ReplicaId mId;
  ReplicaSet mInitial;
  WorldDisk mDisk;
  std::optional<Raft> mRaft; // empty while the replica is stopped
  uint64_t mStart = 0;  // start count; events of earlier starts are dropped
  uint64_t mWake = 0;   // wakeup count; superseded wakeups are dropped
  int64_t mRate = 1000; // local milliseconds per 1000 ms
  int64_t mOffset = 0;  // of the local clock
  uint64_t mApplied = 0;
  uint64_t mHash = 0; // hash over the applied entries
  SnapshotMark mIncoming;
  std::string mIncomingState;
  bool mFailWrites = false;
  bool mLost = false; // its disk was emptied
};

struct World
{
  RaftSettings mSettings;
  Random mRandom;
  int64_t mNow = 0; // µs
  uint64_t mOrder = 0;
  std::map<std::pair<int64_t, uint64_t>, std::function<void()>> mEvents;
  std::map<ReplicaId, std::unique_ptr<WorldNode>> mNodes;
  std::set<std::pair<ReplicaId, ReplicaId>> mCut; // one-way
  uint32_t mLossPercent = 0;
  uint32_t mDoublePercent = 0;
  int64_t mDelay = 1000; // µs, one way
  int64_t mExtraDelay =
    0; // µs, upper limit of a random delay; reorders messages
  int64_t mSyncTime = 500;       // µs
  std::vector<std::string> mLog; // reference log: each entry as first applied
  std::vector<uint64_t> mHashes{ 0 };
  std::map<Term, ReplicaId> mLeaders;
  uint64_t mCommitted = 0; // highest entry that a leader applied
  uint64_t mInstalled = 0; // snapshots received

  explicit World(uint64_t aSeed)
    : mRandom(aSeed)
  {
    mSettings.mSnapshotEvery = 25;
    mSettings.mTailEntries = 5;
  }

  MonoTime Local(const WorldNode& aNode) const
  {
    return { aNode.mOffset + mNow / 1000 * aNode.mRate +
             mNow % 1000 * aNode.mRate / 1000 };
  }

  WorldNode& Node(uint64_t aId) { return *mNodes.at(ReplicaId(aId)); }

  void At(int64_t aTime, std::function<void()> aWhat)
  {
    mEvents[{ aTime, ++mOrder }] = std::move(aWhat);
  }

  // Adds and starts a replica. aInitial is empty for one that joins later.
  void Add(uint64_t aId, const ReplicaSet& aInitial)
  {
    auto node = std::make_unique<WorldNode>();
    node->mId = ReplicaId(aId);
    node->mInitial = aInitial;
    node->mDisk.mId = mRandom.mEngine() | 1;
    node->mRate = 996 + static_cast<int64_t>(DrawBelow(mRandom, 9));
    node->mOffset = static_cast<int64_t>(DrawBelow(mRandom, 1000000000));
    mNodes[node->mId] = std::move(node);
    Start(Node(aId));
  }

  void Start(WorldNode& aNode)
  {
    WorldDisk& disk = aNode.mDisk;
    auto contents = DecodeSegment(disk.mLog, "log", 1, true);
    Expect(contents.ok(),
           "recovery refused: " + std::string(contents.status().message()));
    auto recovered = ReplayWrites(std::move(contents->mWrites), disk.mMark);
    Expect(recovered.ok(),
           "replay refused: " + std::string(recovered.status().message()));
    disk.mLog.resize(std::max<size_t>(contents->mLength, 32));
    disk.mSynced = disk.mLog.size();
    recovered->mDisk = disk.mId;
    aNode.mApplied = disk.mMark.mIndex.mValue;
    LoadState(aNode, disk.mState);
    ++aNode.mStart;
    aNode.mIncoming = {};
    aNode.mFailWrites = false;
    aNode.mRaft = MakeRaft(mSettings,
                           GroupId(0),
                           aNode.mId,
                           *std::move(recovered),
                           aNode.mInitial,
                           mRandom.mEngine(),
                           Local(aNode));
    ScheduleWakeup(aNode);
  }

  // Stops the replica and drops its unsynced bytes, except for a random prefix
  // of them whose last byte may be corrupt (a torn write).
  void Crash(WorldNode& aNode)
  {
    aNode.mRaft.reset();
    ++aNode.mStart;
    WorldDisk& disk = aNode.mDisk;
    const size_t unsynced = disk.mLog.size() - disk.mSynced;
    disk.mLog.resize(disk.mSynced + DrawBelow(mRandom, unsynced + 1));
    if (disk.mLog.size() > disk.mSynced && DrawBelow(mRandom, 2) == 0) {
      disk.mLog.back() ^= 0x55;
    }
  }

  // Restarts the replica under its old id with an empty disk.
  void Wipe(WorldNode& aNode)
  {
    Crash(aNode);
    aNode.mDisk = WorldDisk{};
    aNode.mDisk.mId = mRandom.mEngine() | 1;
    aNode.mLost = true;
    Start(aNode);
  }

  void ScheduleWakeup(WorldNode& aNode)
  {
    const MonoTime due = NextWakeup(*aNode.mRaft);
    if (due >= kNever) {
      return;
    }
    const int64_t wait = std::max<int64_t>((due - Local(aNode)).mMicros, 0);
    const uint64_t wake = ++aNode.mWake;
    At(mNow + wait * 1000 / aNode.mRate + 1, [this, &aNode, wake] {
      if (aNode.mRaft && aNode.mWake == wake) {
        Do(aNode,
           [&](auto& aOut) { RaftWakeup(*aNode.mRaft, Local(aNode), aOut); });
      }
    });
  }

  // Passes one input to the replica and executes the actions it returns.
  void Do(WorldNode& aNode,
          const std::function<void(std::vector<RaftAction>&)>& aInput)
  {
    std::vector<RaftAction> out;
    aInput(out);
    for (RaftAction& action : out) {
      std::visit([&](auto& aAction) { Execute(aNode, aAction); }, action);
    }
    if (aNode.mRaft) {
      ScheduleWakeup(aNode);
    }
  }

  // Runs an input after aDelay, unless the replica has stopped by then.
  void Later(WorldNode& aNode,
             int64_t aDelay,
             std::function<void(std::vector<RaftAction>&)> aInput)
  {
    const uint64_t start = aNode.mStart;
    At(mNow + aDelay, [this, &aNode, start, input = std::move(aInput)] {
      if (aNode.mRaft && aNode.mStart == start) {
        Do(aNode, input);
      }
    });
  }

  void Execute(WorldNode& aNode, RaftWrite& aWrite)
  {
    WorldDisk& disk = aNode.mDisk;
    std::erase_if(aWrite.mAppend, [&](const LogEntry& aEntry) {
      return aEntry.mIndex <= disk.mMark.mIndex;
    });
    if (!aNode.mFailWrites) {
      disk.mLog += EncodeLogRecord(aWrite, disk.mLog.size(), disk.mSynced);
    }
    const size_t size = disk.mLog.size();
    const bool ok = !aNode.mFailWrites;
    Later(aNode,
          mSyncTime,
          [this, &aNode, size, ok, write = aWrite.mWrite](auto& aOut) {
            // A snapshot may have rewritten the log since the write.
            aNode.mDisk.mSynced = std::max(
              aNode.mDisk.mSynced, std::min(size, aNode.mDisk.mLog.size()));
            RaftWritten(*aNode.mRaft, Local(aNode), write, ok, aOut);
          });
  }

  void Execute(WorldNode& aNode, RaftSend& aSend)
  {
    const ReplicaId to = aSend.mMessage.mTo;
    const auto found = mNodes.find(to);
    const uint64_t copies = DrawBelow(mRandom, 100) < mDoublePercent ? 2 : 1;
    for (uint64_t copy = 0; copy < copies; ++copy) {
      if (found == mNodes.end() || mCut.contains({ aNode.mId, to }) ||
          DrawBelow(mRandom, 100) < mLossPercent) {
        continue;
      }
      const auto extra = static_cast<int64_t>(
        DrawBelow(mRandom, static_cast<uint64_t>(mExtraDelay) + 1));
      WorldNode& target = *found->second;
      // Messages in flight are delivered even if either side restarts.
      At(mNow + mDelay + extra, [this, &target, message = aSend.mMessage] {
        if (target.mRaft) {
          Do(target, [&](auto& aOut) {
            RaftReceive(*target.mRaft, Local(target), message, aOut);
          });
        }
      });
    }
  }

  void Execute(WorldNode& aNode, RaftApply& aApply)
  {
    for (const LogEntry& entry : aApply.mEntries) {
      const uint64_t index = entry.mIndex.mValue;
      Expect(index == aNode.mApplied + 1, "applied out of order");
      const std::string text =
        std::to_string(entry.mTerm.mValue) + ":" + entry.mPayload;
      if (index > mLog.size()) {
        mLog.push_back(text);
        mHashes.push_back(mHashes.back() * 31 + std::hash<std::string>()(text));
      }
      Expect(mLog[index - 1] == text, "two logs differ, an entry was lost");
      aNode.mApplied = index;
      aNode.mHash = aNode.mHash * 31 + std::hash<std::string>()(text);
      if (IsLeader(*aNode.mRaft)) {
        mCommitted = std::max(mCommitted, index);
      }
    }
  }

  static std::string StateOf(const WorldNode& aNode)
  {
    std::string state(40, '.'); // makes a transfer take two parts
    state += std::to_string(aNode.mHash);
    return state;
  }

  void LoadState(WorldNode& aNode, const std::string& aState)
  {
    aNode.mHash = aState.empty() ? 0 : std::stoull(aState.substr(40));
    Expect(aNode.mHash == mHashes.at(aNode.mApplied),
           "a snapshot differs from the log");
  }

  // Stores a snapshot and rewrites the log as the real storage does: entries
  // that the snapshot covers are removed.
  void Place(WorldNode& aNode, const SnapshotMark& aMark, std::string aState)
  {
    WorldDisk& disk = aNode.mDisk;
    auto contents = DecodeSegment(disk.mLog, "log", 1, true);
    Expect(contents.ok(), "the own log cannot be read");
    auto left = ReplayWrites(std::move(contents->mWrites), aMark);
    Expect(left.ok(), "the own log has a gap");
    disk.mMark = aMark;
    disk.mState = std::move(aState);
    disk.mLog = EncodeSegmentHeader(1);
    RaftWrite write;
    write.mHard = left->mHard;
    write.mAppend = std::move(left->mEntries);
    disk.mLog += EncodeLogRecord(write, disk.mLog.size(), disk.mLog.size());
    disk.mSynced = disk.mLog.size();
  }

  void Execute(WorldNode& aNode, RaftTakeSnapshot& aTake)
  {
    Expect(aTake.mUpTo.mValue == aNode.mApplied, "snapshot of another state");
    Place(aNode, aTake.mMark, StateOf(aNode));
    Later(aNode, mSyncTime, [this, &aNode, mark = aTake.mMark](auto& aOut) {
      RaftSnapshotTaken(*aNode.mRaft, Local(aNode), mark, true, aOut);
    });
  }

  void Execute(WorldNode& aNode, RaftReadSnapshotPart& aRead)
  {
    constexpr size_t kPart = 40;
    // The snapshot file holds the mark in front of the state.
    const std::string file =
      EncodeSnapshotFile(aNode.mDisk.mMark, aNode.mDisk.mState);
    SnapshotPart part;
    part.mLastIndex = aNode.mDisk.mMark.mIndex;
    part.mLastTerm = aNode.mDisk.mMark.mTerm;
    part.mFile = "state";
    part.mOffset = aRead.mFile.empty() ? 0 : aRead.mOffset;
    const bool ok = part.mOffset < file.size();
    if (ok) {
      part.mBytes = file.substr(part.mOffset, kPart);
      part.mFileDone = part.mAllDone =
        part.mOffset + part.mBytes.size() == file.size();
    }
    Later(aNode, 100, [this, &aNode, to = aRead.mTo, part, ok](auto& aOut) {
      RaftSnapshotPartRead(*aNode.mRaft, Local(aNode), to, part, ok, aOut);
    });
  }

  void Execute(WorldNode& aNode, RaftStoreSnapshotPart& aStore)
  {
    const SnapshotPart& part = aStore.mPart;
    if (part.mOffset == 0) {
      aNode.mIncoming.mIndex = part.mLastIndex;
      aNode.mIncomingState.clear();
    }
    SnapshotPartReply reply;
    reply.mLastIndex = part.mLastIndex;
    SnapshotMark mark;
    if (aNode.mIncoming.mIndex == part.mLastIndex) {
      reply.mFile = "state";
      if (part.mOffset == aNode.mIncomingState.size()) {
        aNode.mIncomingState += part.mBytes;
        if (part.mAllDone) {
          InstallIncoming(aNode, mark);
        }
      }
      reply.mNextOffset = aNode.mIncomingState.size();
    }
    // The part came from the leader that this replica follows.
    const ReplicaId from = LeaderOf(*aNode.mRaft);
    Later(aNode, mSyncTime, [this, &aNode, from, reply, mark](auto& aOut) {
      RaftSnapshotPartStored(
        *aNode.mRaft, Local(aNode), from, reply, mark, true, aOut);
    });
  }

  void InstallIncoming(WorldNode& aNode, SnapshotMark& aMark)
  {
    auto contents = DecodeSnapshotFile(aNode.mIncomingState, "incoming");
    aNode.mIncoming = {};
    if (!contents.ok()) {
      return; // parts of two snapshots were mixed; the transfer restarts
    }
    aMark = contents->mMark;
    aNode.mApplied = aMark.mIndex.mValue;
    LoadState(aNode, contents->mState);
    Place(aNode, aMark, contents->mState);
    ++mInstalled;
  }

  void Execute(WorldNode& aNode, RaftRoleChanged& aChange)
  {
    if (aChange.mRole == RaftRole::eLeader) {
      const auto [found, added] = mLeaders.emplace(aChange.mTerm, aNode.mId);
      Expect(added || found->second == aNode.mId, "two leaders in one term");
      Expect(!aNode.mLost, "a replica without its disk became leader");
    }
  }

  void CheckLease() const
  {
    const WorldNode* holder = nullptr;
    for (const auto& [id, node] : mNodes) {
      if (node->mRaft && HoldsLeaderLease(*node->mRaft, Local(*node))) {
        Expect(holder == nullptr, "two replicas hold the leader lease");
        Expect(node->mApplied >= mCommitted, "a lease holder serves old state");
        holder = node.get();
      }
    }
    for (const auto& [id, node] : mNodes) {
      Expect(holder == nullptr || !node->mRaft || !IsLeader(*node->mRaft) ||
               TermOf(*node->mRaft) <= TermOf(*holder->mRaft),
             "a leader was elected during the lease of another");
    }
  }

  void Run(int64_t aMicros)
  {
    const int64_t end = mNow + aMicros;
    while (!mEvents.empty() && mEvents.begin()->first.first <= end) {
      auto event = mEvents.extract(mEvents.begin());
      mNow = std::max(mNow, event.key().first);
      event.mapped()();
      CheckLease();
    }
    mNow = end;
    CheckLease();
  }

  // Runs until the condition holds. Returns the time that passed in µs, or -1
  // if aLimit passed first.
  int64_t RunUntil(int64_t aLimit, const std::function<bool()>& aDone)
  {
    const int64_t start = mNow;
    while (!aDone()) {
      if (mNow - start >= aLimit) {
        return -1;
      }
      Run(1000);
    }
    return mNow - start;
  }

  // Returns the replica that holds the leader lease, nullptr if none does.
  WorldNode* Leader()
  {
    for (auto& [id, node] : mNodes) {
      if (node->mRaft && HoldsLeaderLease(*node->mRaft, Local(*node))) {
        return node.get();
      }
    }
    return nullptr;
  }

  absl::StatusOr<LogIndex> Propose(WorldNode& aNode, std::string aPayload)
  {
    absl::StatusOr<LogIndex> index;
    Do(aNode, [&](auto& aOut) {
      index = RaftPropose(*aNode.mRaft,
                          Local(aNode),
                          LogEntryKind::eCommand,
                          std::move(aPayload),
                          aOut);
    });
    return index;
  }

  absl::Status Change(WorldNode& aNode, const ReplicaSet& aNew)
  {
    absl::Status status;
    Do(aNode, [&](auto& aOut) {
      status =
        RaftChangeReplicas(*aNode.mRaft, Local(aNode), aNew, aOut).status();
    });
    return status;
  }

  void Resign(WorldNode& aNode, ReplicaId aSuccessor)
  {
    Do(aNode, [&](auto& aOut) {
      RaftResign(*aNode.mRaft, Local(aNode), aSuccessor, aOut);
    });
  }

  void CutOff(ReplicaId aId)
  {
    for (const auto& [id, node] : mNodes) {
      mCut.insert({ aId, id });
      mCut.insert({ id, aId });
    }
  }
};

inline ReplicaSet
MakeReplicaSet(uint64_t aCount)
{
  ReplicaSet set;
  for (uint64_t id = 1; id <= aCount; ++id) {
    set.mReplicas.push_back(
      { ReplicaId(id), "10.0.0." + std::to_string(id) + ":1", true, 0 });
  }
  return set;
}

// Starts a group of aCount voters.
inline std::unique_ptr<World>
MakeWorld(uint64_t aSeed, uint64_t aCount)
{
  auto world = std::make_unique<World>(aSeed);
  for (uint64_t id = 1; id <= aCount; ++id) {
    world->Add(id, MakeReplicaSet(aCount));
  }
  return world;
}

} // namespace caraway
