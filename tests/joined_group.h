#pragma once
// A group that one replica founded and that the others joined, with an entry
// that tells replicas where the others are.

#include <algorithm>

#include "tests/control_entry.h"

namespace caraway {

inline InstanceId
InstanceAt(size_t aReplica)
{
  return InstanceId("store-" + std::to_string(aReplica + 1));
}

struct JoinedGroup
{
  ControlLink mLink;
  ControlEntry mEntry{ mLink };
  uint64_t mNextId; // for replicas that have lost their disks

  // Three voters; further replicas are learners. aSpares are not started.
  explicit JoinedGroup(uint64_t aSeed,
                       size_t aReplicas = 4,
                       const RaftSettings& aRaft = {},
                       size_t aSpares = 0)
    : mLink(aReplicas + aSpares, aSeed)
    , mNextId(aReplicas + aSpares + 1)
  {
    for (size_t at = 0; at < mLink.mReplicas.size(); ++at) {
      ControlSettings& settings = mLink.mReplicas[at].mSettings;
      settings.mRaft = aRaft;
      settings.mInstance = InstanceAt(at);
      settings.mZone = ZoneId("z");
      settings.mSeeds = { mEntry.mAddress };
      settings.mInitialReplicas.mReplicas.clear();
    }
    mLink.mReplicas[0].mSettings.mInitialReplicas.mReplicas = {
      { ReplicaId(1), ControlLink::AddressOf(0).mValue }
    };
    for (size_t at = 0; at < aReplicas; ++at) {
      mLink.Start(at);
    }
    Run(Seconds(8));
    BOOST_REQUIRE(mLink.Leader().has_value());
    BOOST_REQUIRE(Replicas().size() == aReplicas);
  }

  ReplicaId IdOf(size_t aReplica) const
  {
    return mLink.mReplicas[aReplica].mSettings.mReplica;
  }

  const std::vector<Replica>& Replicas()
  {
    return mLink.LeaderControl().mAppliedReplicas.mReplicas;
  }

  bool Belongs(size_t aReplica)
  {
    return std::any_of(
      Replicas().begin(), Replicas().end(), [&](const Replica& aOne) {
        return aOne.mId == IdOf(aReplica);
      });
  }

  bool Votes(size_t aReplica)
  {
    return std::any_of(
      Replicas().begin(), Replicas().end(), [&](const Replica& aOne) {
        return aOne.mId == IdOf(aReplica) && aOne.mVoter;
      });
  }

  // Positions of the voters that run and do not lead.
  std::vector<size_t> Followers()
  {
    std::vector<size_t> followers;
    for (size_t at = 0; at < mLink.mReplicas.size(); ++at) {
      if (mLink.mReplicas[at].mControl && Votes(at) &&
          at != mLink.Leader().value()) {
        followers.push_back(at);
      }
    }
    return followers;
  }

  size_t Learner()
  {
    for (size_t at = 0; at < mLink.mReplicas.size(); ++at) {
      if (Belongs(at) && !Votes(at)) {
        return at;
      }
    }
    BOOST_FAIL("all replicas vote");
    return 0;
  }

  void Run(Duration aTime)
  {
    const MonoTime end = mLink.mNow + aTime;
    while (mLink.mNow < end) {
      ControlMap map;
      for (size_t at = 0; at < mLink.mReplicas.size(); ++at) {
        map.mReplicas.push_back(ControlLink::AddressOf(at));
      }
      for (const PeerAddress& replica : map.mReplicas) {
        mLink.SendFrom(mEntry.mAddress, replica, map);
      }
      mLink.Run(std::min(end - mLink.mNow, Millis(500)));
    }
  }

  // Runs until a leader may serve, for at most aLimit.
  bool AwaitLeader(Duration aLimit)
  {
    const MonoTime end = mLink.mNow + aLimit;
    while (!mLink.Leader() && mLink.mNow < end) {
      Run(Millis(10));
    }
    return mLink.Leader().has_value();
  }

  // Asks the process to stop, and runs until it has ended.
  void Stop(size_t aReplica)
  {
    mLink.Post(aReplica, mLink.mNow, StopRequested{});
    const MonoTime end = mLink.mNow + Seconds(10);
    while (!mLink.mReplicas[aReplica].mStopped && mLink.mNow < end) {
      Run(Millis(1));
    }
    BOOST_REQUIRE(mLink.mReplicas[aReplica].mStopped);
    mLink.mReplicas[aReplica].mStopped = false;
    mLink.Kill(aReplica);
  }

  // A replica that lost its disk comes back under a new id.
  void EmptyDisk(size_t aReplica)
  {
    LinkReplica& lost = mLink.mReplicas[aReplica];
    lost.mDisk = {};
    lost.mSettings.mReplica = ReplicaId(mNextId++);
    lost.mSettings.mInitialReplicas.mReplicas.clear();
  }

  // All replicas that run end at the same moment and are back after 1 s, one of
  // them with an empty disk if aDisk is given.
  void RestartAll(std::optional<size_t> aDisk = {})
  {
    std::vector<size_t> running;
    for (size_t at = 0; at < mLink.mReplicas.size(); ++at) {
      if (mLink.mReplicas[at].mControl) {
        running.push_back(at);
        mLink.Kill(at);
      }
    }
    if (aDisk) {
      EmptyDisk(*aDisk);
    }
    mLink.Run(Seconds(1));
    for (const size_t at : running) {
      mLink.Start(at);
    }
  }

  void LosePowerAndDisk(size_t aDisk) { RestartAll(aDisk); }
};

} // namespace caraway
