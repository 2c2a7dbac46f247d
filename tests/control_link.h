#pragma once
// Simulates a group of control replicas in one process, with an event queue in
// virtual time, fixed delays, and disks that keep everything written.

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <tuple>

#include "caraway/consensus/raft_api.h"
#include "caraway/control/control.h"

namespace caraway {

// The settings of deployments: short elections.
inline RaftSettings
QuickElections()
{
  RaftSettings raft;
  raft.mHeartbeat = Millis(60);
  raft.mElectionMin = Millis(300);
  raft.mElectionMax = Millis(500);
  return raft;
}

struct LinkDisk
{
  RaftRecovered mRecovered;
  std::string mState;
  std::map<std::string, std::string> mBlobs;
};

struct LinkReplica
{
  ControlSettings mSettings;
  LinkDisk mDisk;
  std::optional<Control> mControl; // none while the replica is down
  uint64_t mStart = 0;             // events of an earlier start are dropped
  bool mHalted = false;
  bool mStopped = false;
};

struct LinkEvent
{
  MonoTime mAt;
  uint64_t mOrder = 0;
  size_t mReplica = 0;
  uint64_t mStart = 0;
  std::shared_ptr<ControlEvent> mEvent; // null: run mCall
  std::function<void()> mCall;

  bool operator<(const LinkEvent& aOther) const
  {
    return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
  }
};

// Receives the messages sent to a process other than a replica.
using LinkPeer = std::function<void(const PeerAddress&, const Message&)>;

struct ControlLink
{
  MonoTime mNow = MonoTime{} + Seconds(100);
  Duration mDelay = Micros(1500); // one way
  Duration mSync = Millis(1);
  std::map<size_t, Duration> mSyncOf; // of replicas with a slower disk
  std::vector<LinkReplica> mReplicas;
  std::map<PeerAddress, LinkPeer> mPeers;
  std::set<PeerAddress> mCut; // no message to or from these is delivered
  std::map<HttpCallId, HttpResponse> mResponses;
  std::vector<DecisionLog> mLines; // of all replicas
  std::priority_queue<LinkEvent> mQueue;
  uint64_t mOrder = 0;
  uint64_t mLastCall = 0;
  uint64_t mControlBytes = 0; // size of encoded messages to peers
  uint64_t mTooLarge = 0;     // messages dropped because of their size

  explicit ControlLink(size_t aReplicas, uint64_t aSeed = 1)
  {
    ReplicaSet set;
    for (size_t at = 0; at < aReplicas; ++at) {
      set.mReplicas.push_back({ ReplicaId(at + 1), AddressOf(at).mValue });
    }
    for (size_t at = 0; at < aReplicas; ++at) {
      LinkReplica replica;
      replica.mSettings.mReplica = ReplicaId(at + 1);
      replica.mSettings.mAddress = AddressOf(at);
      replica.mSettings.mInitialReplicas = set;
      // SHA-256 of "token".
      replica.mSettings.mOperatorTokenDigest =
        "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0";
      replica.mSettings.mSeed = aSeed * 100 + at;
      replica.mSettings.mKeySeed = "seed of replica " + std::to_string(at);
      mReplicas.push_back(std::move(replica));
    }
  }

  static PeerAddress AddressOf(size_t aReplica)
  {
    return PeerAddress("10.0.0." + std::to_string(aReplica + 1) + ":1");
  }

  void Start(size_t aReplica)
  {
    LinkReplica& replica = mReplicas[aReplica];
    ++replica.mStart;
    absl::StatusOr<Control> control = MakeControl(replica.mSettings,
                                                  replica.mDisk.mRecovered,
                                                  replica.mDisk.mState,
                                                  mNow,
                                                  1000);
    if (control.ok()) {
      replica.mControl = *std::move(control);
      Wake(aReplica);
    }
  }

  void StartAll()
  {
    for (size_t at = 0; at < mReplicas.size(); ++at) {
      Start(at);
    }
  }

  void Kill(size_t aReplica)
  {
    mReplicas[aReplica].mControl.reset();
    ++mReplicas[aReplica].mStart;
  }

  void At(MonoTime aAt, std::function<void()> aCall)
  {
    mQueue.push({ aAt, ++mOrder, 0, 0, nullptr, std::move(aCall) });
  }

  void Post(size_t aReplica, MonoTime aAt, ControlEvent aEvent)
  {
    mQueue.push({ aAt,
                  ++mOrder,
                  aReplica,
                  mReplicas[aReplica].mStart,
                  std::make_shared<ControlEvent>(std::move(aEvent)),
                  {} });
  }

  // Delivers a message from a process to a replica.
  void SendFrom(const PeerAddress& aFrom, const PeerAddress& aTo, Message aOne)
  {
    if (EncodeMessage(aOne).size() > kMaxFrameBytes) {
      ++mTooLarge;
      return;
    }
    for (size_t at = 0; at < mReplicas.size(); ++at) {
      if (AddressOf(at) == aTo && !mCut.contains(aFrom) &&
          !mCut.contains(aTo)) {
        Post(at, mNow + mDelay, MessageReceived{ aFrom, std::move(aOne) });
        return;
      }
    }
  }

  void Wake(size_t aReplica)
  {
    const LinkReplica& replica = mReplicas[aReplica];
    Post(aReplica, std::max(mNow, NextWakeup(*replica.mControl)), Wakeup{});
  }

  void Step(size_t aReplica, const ControlEvent& aEvent)
  {
    LinkReplica& replica = mReplicas[aReplica];
    std::vector<ControlAction> actions;
    StepControl(*replica.mControl,
                mNow,
                1000 + (mNow.mMicros / 1000000),
                aEvent,
                actions);
    for (ControlAction& action : actions) {
      std::visit([&](auto& aOne) { Do(aReplica, aOne); }, action);
    }
    // Every step adds a wakeup; RunUntil drops those that are not due yet.
    Wake(aReplica);
  }

  template<class T>
  void Do(size_t, T&)
  {
  }
  void Do(size_t aReplica, SendMessage& aSend)
  {
    if (mCut.contains(AddressOf(aReplica)) || mCut.contains(aSend.mTo)) {
      return;
    }
    auto peer = mPeers.find(aSend.mTo);
    if (peer == mPeers.end()) {
      SendFrom(AddressOf(aReplica), aSend.mTo, std::move(aSend.mMessage));
      return;
    }
    const size_t bytes = EncodeMessage(aSend.mMessage).size();
    if (bytes > kMaxFrameBytes) {
      ++mTooLarge;
      return;
    }
    mControlBytes += bytes;
    At(mNow + mDelay,
       [this, to = aSend.mTo, from = AddressOf(aReplica), aSend] {
         if (!mCut.contains(to)) {
           mPeers.at(to)(from, aSend.mMessage);
         }
       });
  }
  void Do(size_t, HttpResponse& aResponse)
  {
    mResponses[aResponse.mCall] = std::move(aResponse);
  }
  void Do(size_t aReplica, RaftWrite& aWrite)
  {
    RaftRecovered& disk = mReplicas[aReplica].mDisk.mRecovered;
    if (aWrite.mHard) {
      disk.mHard = *aWrite.mHard;
    }
    if (!aWrite.mTruncateFrom.IsNone()) {
      std::erase_if(disk.mEntries, [&](const LogEntry& aEntry) {
        return aEntry.mIndex >= aWrite.mTruncateFrom;
      });
    }
    for (LogEntry& entry : aWrite.mAppend) {
      disk.mEntries.push_back(std::move(entry));
    }
    const auto slow = mSyncOf.find(aReplica);
    Post(aReplica,
         mNow + (slow == mSyncOf.end() ? mSync : slow->second),
         LogWritten{ aWrite.mWrite, true });
  }
  void Do(size_t aReplica, SaveSnapshot& aSave)
  {
    LinkDisk& disk = mReplicas[aReplica].mDisk;
    disk.mState = std::move(aSave.mState);
    disk.mRecovered.mSnapshot = aSave.mMark;
    std::erase_if(disk.mRecovered.mEntries, [&](const LogEntry& aEntry) {
      return aEntry.mIndex <= aSave.mMark.mIndex;
    });
    Post(aReplica, mNow + mSync, SnapshotSaved{ aSave.mMark.mIndex, true });
  }
  void Do(size_t aReplica, RaftReadSnapshotPart& aRead)
  {
    const LinkDisk& disk = mReplicas[aReplica].mDisk;
    SnapshotPartRead read{ aRead.mTo, {}, true };
    read.mPart.mLastIndex = disk.mRecovered.mSnapshot.mIndex;
    read.mPart.mLastTerm = disk.mRecovered.mSnapshot.mTerm;
    read.mPart.mFile = "state";
    read.mPart.mBytes = disk.mState;
    read.mPart.mFileDone = read.mPart.mAllDone = true;
    Post(aReplica, mNow + mSync, std::move(read));
  }
  void Do(size_t aReplica, RaftStoreSnapshotPart& aStore)
  {
    LinkDisk& disk = mReplicas[aReplica].mDisk;
    disk.mState = aStore.mPart.mBytes;
    // A whole state is one part here; the replica set comes from the sender's
    // snapshot.
    for (const LinkReplica& other : mReplicas) {
      if (other.mDisk.mRecovered.mSnapshot.mIndex == aStore.mPart.mLastIndex) {
        disk.mRecovered.mSnapshot = other.mDisk.mRecovered.mSnapshot;
      }
    }
    disk.mRecovered.mEntries.clear();
    SnapshotPartStored stored;
    stored.mFrom = LeaderOf(mReplicas[aReplica].mControl->mRaft);
    stored.mReply.mFile = "state";
    stored.mReply.mNextOffset = disk.mState.size();
    stored.mMark = disk.mRecovered.mSnapshot;
    stored.mState = disk.mState;
    Post(aReplica, mNow + mSync, std::move(stored));
  }
  void Do(size_t aReplica, WriteBlob& aWrite)
  {
    std::string& blob = mReplicas[aReplica].mDisk.mBlobs[aWrite.mName];
    if (blob.size() < aWrite.mOffset + aWrite.mBytes.size()) {
      blob.resize(aWrite.mOffset + aWrite.mBytes.size());
    }
    blob.replace(aWrite.mOffset, aWrite.mBytes.size(), aWrite.mBytes);
  }
  void Do(size_t aReplica, ReadBlob& aRead)
  {
    const auto& blobs = mReplicas[aReplica].mDisk.mBlobs;
    const auto blob = blobs.find(aRead.mName);
    BlobRead read{ aRead.mRead, blob != blobs.end(), {} };
    if (read.mOk && aRead.mOffset < blob->second.size()) {
      read.mBytes = blob->second.substr(aRead.mOffset, aRead.mLength);
    }
    Post(aReplica, mNow + mSync, std::move(read));
  }
  void Do(size_t aReplica, RemoveBlob& aRemove)
  {
    mReplicas[aReplica].mDisk.mBlobs.erase(aRemove.mName);
  }
  void Do(size_t, DecisionLog& aLine) { mLines.push_back(std::move(aLine)); }
  void Do(size_t aReplica, Halt&) { mReplicas[aReplica].mHalted = true; }
  void Do(size_t, BeginGroup&) {}
  void Do(size_t aReplica, Stopped&) { mReplicas[aReplica].mStopped = true; }

  void RunUntil(MonoTime aEnd)
  {
    while (!mQueue.empty() && mQueue.top().mAt <= aEnd) {
      const LinkEvent event = mQueue.top();
      mQueue.pop();
      mNow = std::max(mNow, event.mAt);
      if (!event.mEvent) {
        event.mCall();
        continue;
      }
      LinkReplica& replica = mReplicas[event.mReplica];
      // A wakeup that a later step has superseded is dropped.
      const bool stale = std::holds_alternative<Wakeup>(*event.mEvent) &&
                         replica.mControl &&
                         NextWakeup(*replica.mControl) > mNow;
      if (replica.mControl && replica.mStart == event.mStart && !stale) {
        Step(event.mReplica, *event.mEvent);
      }
    }
    mNow = std::max(mNow, aEnd);
  }
  void Run(Duration aLength) { RunUntil(mNow + aLength); }

  // The leader that may serve, or none.
  std::optional<size_t> Leader() const
  {
    for (size_t at = 0; at < mReplicas.size(); ++at) {
      const auto& control = mReplicas[at].mControl;
      if (control && !control->mHalted && control->mLeadership.mStarted &&
          HoldsLeaderLease(control->mRaft, mNow)) {
        return at;
      }
    }
    return std::nullopt;
  }
  Control& LeaderControl() { return *mReplicas[Leader().value()].mControl; }

  // Runs until a leader may serve, for at most aLimit.
  bool AwaitLeader(Duration aLimit = Seconds(5))
  {
    const MonoTime end = mNow + aLimit;
    while (!Leader() && mNow < end) {
      Run(Millis(10));
    }
    return Leader().has_value();
  }

  // Sends a request and returns at once.
  HttpCallId Ask(size_t aReplica,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody = "",
                 Headers aHeaders = {})
  {
    HttpRequest request;
    request.mCall = HttpCallId(++mLastCall);
    request.mMethod = aMethod;
    const size_t query = aPath.find('?');
    request.mPath = aPath.substr(0, query);
    request.mQuery = query == std::string::npos ? "" : aPath.substr(query + 1);
    request.mHeaders = std::move(aHeaders);
    request.mHeaders.emplace_back("Authorization", "Bearer token");
    request.mBody = aBody;
    Post(aReplica, mNow, request);
    return request.mCall;
  }

  // Sends a request and runs until the response; status 0 if there is none in
  // time.
  HttpResponse Call(size_t aReplica,
                    const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aBody = "",
                    Headers aHeaders = {})
  {
    const HttpCallId call =
      Ask(aReplica, aMethod, aPath, aBody, std::move(aHeaders));
    for (int round = 0; round < 400 && !mResponses.contains(call); ++round) {
      Run(Millis(5));
    }
    HttpResponse none;
    none.mStatus = 0;
    return mResponses.contains(call) ? mResponses[call] : none;
  }

  // Sends a write with the given operation id, or a new one if it is empty.
  HttpResponse Write(const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aBody = "",
                     std::string aOperation = "",
                     std::string aExpected = "")
  {
    if (aOperation.empty()) {
      aOperation = "op-" + std::to_string(mLastCall + 1);
    }
    Headers headers{ { "X-Operation-Id", aOperation } };
    if (!aExpected.empty()) {
      headers.emplace_back("X-Expected-Revision", aExpected);
    }
    return Call(Leader().value(), aMethod, aPath, aBody, headers);
  }
};

} // namespace caraway
