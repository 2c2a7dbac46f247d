#pragma once
// Simulates entries, one grantor and the messages between them on a virtual
// clock, for the admission fuzzer and benchmark. The oracle is one token bucket
// per workspace: the number of requests admitted in every interval is at most
// rate * time + burst if and only if that bucket never goes below zero. The
// bucket is refilled by the leader's clock.

#include <cmath>
#include <deque>
#include <queue>

#include "caraway/admission/grantor.h"
#include "caraway/admission/hold.h"
#include "caraway/admission/token_holder.h"
#include "caraway/base/random.h"

namespace caraway::admission {

// Local clock of one process: an offset and a drift in parts per thousand.
struct Clock
{
  int64_t mOffset = 0;
  int64_t mPerMille = 0;

  MonoTime At(int64_t aTrue) const
  {
    return { mOffset + aTrue * (1000 + mPerMille) / 1000 };
  }
  // Returns the first true time at which the clock shows aLocal or later.
  int64_t TrueTime(MonoTime aLocal) const
  {
    const double passed = static_cast<double>(aLocal.mMicros - mOffset);
    auto time = static_cast<int64_t>(
      passed / (1 + static_cast<double>(mPerMille) / 1000));
    for (time -= 2000; At(time) < aLocal;) {
      time += std::max<int64_t>(1, (aLocal - At(time)).mMicros / 2);
    }
    return time;
  }
};

struct Network
{
  uint32_t mLossPerMille = 0;
  uint32_t mDuplicatePerMille = 0;
  uint32_t mLatePerMille = 0; // delayed by up to 5 s more
  int64_t mDelay = 1500;      // µs, one way; plus up to half as much at random
};

struct Waiting
{
  WorkspaceId mWorkspace;
  int64_t mArrived = 0;
};

struct EntryProcess
{
  InstanceId mName;
  Epoch mEpoch;
  Clock mClock;
  TokenHolder mHolder;
  std::deque<Waiting> mWaiting;
  bool mAlive = true;
  int64_t mWakeAt = 0;    // true time
  int64_t mLinkDelay = 0; // added to all its messages, both ways
};

struct QueuedMessage
{
  int64_t mAt = 0;
  uint64_t mOrder = 0;
  size_t mEntry = 0;
  std::variant<GrantRequest, GrantReply> mBody;

  bool operator>(const QueuedMessage& aOther) const
  {
    return std::tie(mAt, mOrder) > std::tie(aOther.mAt, aOther.mOrder);
  }
};

struct OracleBucket
{
  double mLevel = 0;
  double mFilledAt = 0; // leader seconds
};

struct World
{
  Random mRandom;
  Network mNetwork;
  ConfigView mConfig;
  int64_t mNow = 0;
  bool mHasLeader = false;
  uint64_t mTerm = 0;
  Clock mLeaderClock;
  double mLeaderSeconds = 0; // time of the bound
  Grantor mGrantor;
  std::vector<EntryProcess> mEntries;
  std::priority_queue<QueuedMessage, std::vector<QueuedMessage>, std::greater<>>
    mQueuedMessages;
  uint64_t mOrder = 0;
  uint64_t mEpochs = 0;
  absl::flat_hash_map<WorkspaceId, OracleBucket> mOracle;
  std::set<Epoch> mRegistered;
  int64_t mEntryLeft = 0; // true time at which the last entry was lost
  uint64_t mAdmitted = 0;
  uint64_t mRefused = 0;
  uint64_t mAbove = 0; // admitted above the bound
  uint64_t mMessages = 0;
  int64_t mLongestHold = 0;
  uint64_t mMostInSecond = 0; // most messages that one entry sent in 1 s
  std::vector<std::deque<int64_t>> mSentTimes;
};

inline void
Advance(World& aWorld, int64_t aTo)
{
  const double rate =
    aWorld.mHasLeader
      ? 1 + static_cast<double>(aWorld.mLeaderClock.mPerMille) / 1000
      : 1;
  aWorld.mLeaderSeconds += static_cast<double>(aTo - aWorld.mNow) / 1e6 * rate;
  aWorld.mNow = aTo;
}

inline void
CheckBound(World& aWorld, const Contract& aContract, double aTokens = 1)
{
  auto [place, fresh] = aWorld.mOracle.try_emplace(aContract.mWorkspace);
  OracleBucket& bucket = place->second;
  if (fresh) {
    bucket = { aContract.mBurst, aWorld.mLeaderSeconds };
  }
  bucket.mLevel =
    std::min(aContract.mBurst,
             bucket.mLevel +
               (aWorld.mLeaderSeconds - bucket.mFilledAt) * aContract.mRate);
  bucket.mFilledAt = aWorld.mLeaderSeconds;
  bucket.mLevel -= aTokens;
  // Clock readings are rounded to whole microseconds, which changes the refill
  // by less than 1e-3 tokens.
  aWorld.mAbove += bucket.mLevel < -1e-3 ? 1 : 0;
}

inline void
Post(World& aWorld, size_t aEntry, std::variant<GrantRequest, GrantReply> aBody)
{
  ++aWorld.mMessages;
  const Network& net = aWorld.mNetwork;
  auto hit = [&](uint32_t aPerMille) {
    return DrawBelow(aWorld.mRandom, 1000) < aPerMille;
  };
  const int copies = hit(net.mDuplicatePerMille) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (hit(net.mLossPerMille)) {
      continue;
    }
    int64_t delay =
      net.mDelay +
      static_cast<int64_t>(
        DrawBelow(aWorld.mRandom, static_cast<uint64_t>(net.mDelay) / 2 + 1));
    delay += aWorld.mEntries[aEntry].mLinkDelay;
    if (hit(net.mLatePerMille)) {
      delay += static_cast<int64_t>(DrawBelow(aWorld.mRandom, 5000000));
    }
    aWorld.mQueuedMessages.push(
      QueuedMessage{ aWorld.mNow + delay, aWorld.mOrder++, aEntry, aBody });
  }
}

inline void
CountMessage(World& aWorld, size_t aEntry)
{
  aWorld.mSentTimes.resize(aWorld.mEntries.size());
  auto& times = aWorld.mSentTimes[aEntry];
  times.push_back(aWorld.mNow);
  while (times.front() <= aWorld.mNow - 1000000) {
    times.pop_front();
  }
  aWorld.mMostInSecond = std::max<uint64_t>(aWorld.mMostInSecond, times.size());
}

inline void
SendGrantRequests(World& aWorld, size_t aEntry)
{
  EntryProcess& entry = aWorld.mEntries[aEntry];
  while (auto request =
           NextGrantRequest(entry.mHolder, entry.mClock.At(aWorld.mNow))) {
    CountMessage(aWorld, aEntry);
    Post(aWorld, aEntry, *request);
  }
  const MonoTime wake = NextWakeup(entry.mHolder);
  entry.mWakeAt = wake == kNever ? kNever.mMicros : entry.mClock.TrueTime(wake);
}

// Returns true if the request was admitted or refused, false if the entry has
// to ask the grantor first.
inline bool
Try(World& aWorld, size_t aEntry, const Waiting& aRequest, bool aAsked)
{
  EntryProcess& entry = aWorld.mEntries[aEntry];
  const Contract& contract = aWorld.mConfig.mContracts.at(aRequest.mWorkspace);
  const Admission result =
    TryAdmit(entry.mHolder, entry.mClock.At(aWorld.mNow), contract, aAsked);
  if (result.mVerdict == AdmitVerdict::eAdmitted) {
    ++aWorld.mAdmitted;
    aWorld.mLongestHold =
      std::max(aWorld.mLongestHold, aWorld.mNow - aRequest.mArrived);
    CheckBound(aWorld, contract);
  }
  aWorld.mRefused += result.mVerdict == AdmitVerdict::eRefused ? 1 : 0;
  return result.mVerdict != AdmitVerdict::eAsk;
}

inline void
Arrive(World& aWorld, size_t aEntry, const WorkspaceId& aWorkspace)
{
  EntryProcess& entry = aWorld.mEntries[aEntry];
  if (!entry.mAlive) {
    return;
  }
  const Waiting request{ aWorkspace, aWorld.mNow };
  if (!Try(aWorld, aEntry, request, false)) {
    entry.mWaiting.push_back(request);
  }
  SendGrantRequests(aWorld, aEntry);
}

inline void
Deliver(World& aWorld, const QueuedMessage& aQueued)
{
  EntryProcess& entry = aWorld.mEntries[aQueued.mEntry];
  if (auto* request = std::get_if<GrantRequest>(&aQueued.mBody)) {
    if (aWorld.mHasLeader && aWorld.mRegistered.contains(request->mEpoch)) {
      Post(aWorld,
           aQueued.mEntry,
           HandleGrantRequest(aWorld.mGrantor,
                              aWorld.mLeaderClock.At(aWorld.mNow),
                              aWorld.mConfig,
                              *request));
    }
    return;
  }
  if (!entry.mAlive) {
    return;
  }
  HandleGrantReply(entry.mHolder,
                   entry.mClock.At(aWorld.mNow),
                   std::get<GrantReply>(aQueued.mBody));
  std::deque<Waiting> waiting = std::move(entry.mWaiting);
  entry.mWaiting.clear();
  for (const Waiting& one : waiting) {
    if (!Try(aWorld, aQueued.mEntry, one, true)) {
      entry.mWaiting.push_back(one);
    }
  }
  SendGrantRequests(aWorld, aQueued.mEntry);
}

// Refuses waiting requests that have been held for kGrantHold.
inline void
EndHolds(World& aWorld, EntryProcess& aEntry)
{
  while (!aEntry.mWaiting.empty() &&
         aEntry.mWaiting.front().mArrived + kGrantHold.mMicros <= aWorld.mNow) {
    aEntry.mWaiting.pop_front();
    ++aWorld.mRefused;
  }
}

// Runs all events that are due up to aUntil.
inline void
RunUntil(World& aWorld, int64_t aUntil)
{
  while (true) {
    int64_t next = aUntil;
    size_t who = aWorld.mEntries.size();
    for (size_t at = 0; at < aWorld.mEntries.size(); ++at) {
      const EntryProcess& entry = aWorld.mEntries[at];
      int64_t due = entry.mAlive ? entry.mWakeAt : kNever.mMicros;
      if (entry.mAlive && !entry.mWaiting.empty()) {
        due =
          std::min(due, entry.mWaiting.front().mArrived + kGrantHold.mMicros);
      }
      if (due < next) {
        next = due;
        who = at;
      }
    }
    if (!aWorld.mQueuedMessages.empty() &&
        aWorld.mQueuedMessages.top().mAt <= next) {
      const QueuedMessage queued = aWorld.mQueuedMessages.top();
      aWorld.mQueuedMessages.pop();
      Advance(aWorld, std::max(aWorld.mNow, queued.mAt));
      Deliver(aWorld, queued);
    } else if (who < aWorld.mEntries.size()) {
      Advance(aWorld, std::max(aWorld.mNow, next));
      EndHolds(aWorld, aWorld.mEntries[who]);
      SendGrantRequests(aWorld, who);
    } else {
      Advance(aWorld, aUntil);
      return;
    }
  }
}

// Starts a new session of this entry. A process that was lost restarts without
// tokens or waiting requests.
inline void
StartEntry(World& aWorld, size_t aEntry)
{
  EntryProcess& entry = aWorld.mEntries[aEntry];
  entry.mEpoch = Epoch(++aWorld.mEpochs);
  entry.mAlive = true;
  entry.mWaiting.clear();
  Member member;
  member.mInstance = entry.mName;
  member.mEpoch = entry.mEpoch;
  aWorld.mConfig.mMembers[entry.mName] = member;
  aWorld.mRegistered.insert(entry.mEpoch);
  aWorld.mSentTimes.resize(aWorld.mEntries.size());
  aWorld.mSentTimes[aEntry].clear(); // the limit counts per process
  entry.mHolder = TokenHolder{};
  StartTokenHolder(
    entry.mHolder, entry.mClock.At(aWorld.mNow), entry.mName, entry.mEpoch);
  entry.mWakeAt = kNever.mMicros;
}

// Kills the process and ends its session in the same step, which is the
// earliest time at which control may end it.
inline void
LoseEntry(World& aWorld, size_t aEntry)
{
  EntryProcess& entry = aWorld.mEntries[aEntry];
  entry.mAlive = false;
  aWorld.mEntryLeft = aWorld.mNow;
  entry.mWaiting.clear();
  aWorld.mRegistered.erase(entry.mEpoch);
  aWorld.mConfig.mMembers.erase(entry.mName);
  EndGrantorSession(aWorld.mGrantor, entry.mName, entry.mEpoch);
}

inline void
Elect(World& aWorld, const Clock& aClock)
{
  aWorld.mHasLeader = true;
  aWorld.mLeaderClock = aClock;
  StartGrantor(aWorld.mGrantor,
               aClock.At(aWorld.mNow),
               aWorld.mConfig,
               Seconds(2),
               Seconds(3),
               Term(++aWorld.mTerm),
               aClock.At(aWorld.mEntryLeft));
  for (size_t entry = 0; entry < aWorld.mEntries.size(); ++entry) {
    if (aWorld.mEntries[entry].mAlive) {
      HandleGrantorChange(aWorld.mEntries[entry].mHolder,
                          aWorld.mEntries[entry].mClock.At(aWorld.mNow));
      SendGrantRequests(aWorld, entry);
    }
  }
}

} // namespace caraway::admission
