// Failover after the loss of leaders, disks and replicas, in virtual time. The
// checks of the simulated world (fuzz/consensus_world.h) run in every test.
#define BOOST_TEST_MODULE consensus_failover
#include <boost/test/unit_test.hpp>

#include "fuzz/consensus_world.h"

using namespace caraway;

namespace {

constexpr int64_t kGoal = 2000000; // maximum time without a writable leader, µs
constexpr int64_t kLimit = 20000000; // for everything else, µs
constexpr uint64_t kSeeds = 40;

WorldNode&
WaitForLeader(World& aWorld)
{
  BOOST_REQUIRE_GE(
    aWorld.RunUntil(kLimit, [&] { return aWorld.Leader() != nullptr; }), 0);
  return *aWorld.Leader();
}

// Time until a replica other than aOld can write.
int64_t
TimeToNewLeader(World& aWorld, const WorldNode& aOld)
{
  return aWorld.RunUntil(kLimit, [&] {
    WorldNode* leader = aWorld.Leader();
    return leader != nullptr && leader != &aOld;
  });
}

// Proposes on the leader and waits until a majority has synced it.
void
Commit(World& aWorld, const std::string& aPayload)
{
  WorldNode& leader = WaitForLeader(aWorld);
  auto index = aWorld.Propose(leader, aPayload);
  BOOST_REQUIRE(index.ok());
  BOOST_REQUIRE_GE(
    aWorld.RunUntil(kLimit, [&] { return leader.mApplied >= index->mValue; }),
    0);
}

void
WaitForAll(World& aWorld)
{
  const auto all = [&] {
    return std::all_of(
      aWorld.mNodes.begin(), aWorld.mNodes.end(), [&](const auto& aNode) {
        return !aNode.second->mRaft ||
               aNode.second->mApplied == aWorld.mLog.size();
      });
  };
  BOOST_REQUIRE_GE(aWorld.RunUntil(kLimit, all), 0);
}

bool
HasCommittedPayload(const World& aWorld, const std::string& aPayload)
{
  return std::any_of(
    aWorld.mLog.begin(), aWorld.mLog.end(), [&](const std::string& aText) {
      return aText.ends_with(":" + aPayload);
    });
}

// A running follower of the current leader.
WorldNode&
Follower(World& aWorld)
{
  const WorldNode& leader = WaitForLeader(aWorld);
  for (auto& [id, node] : aWorld.mNodes) {
    if (node.get() != &leader && node->mRaft) {
      return *node;
    }
  }
  throw OracleError("no follower");
}

// Adds a replica as a learner and promotes it to voter.
void
AddVoter(World& aWorld, uint64_t aId)
{
  WorldNode& leader = WaitForLeader(aWorld);
  ReplicaSet set = ReplicasOf(*leader.mRaft);
  set.mReplicas.push_back({ ReplicaId(aId), "new", false, 0 });
  BOOST_REQUIRE(aWorld.Change(leader, set).ok());
  aWorld.Add(aId, {});
  set.mReplicas.back().mVoter = true;
  BOOST_REQUIRE_GE(
    aWorld.RunUntil(kLimit, [&] { return aWorld.Change(leader, set).ok(); }),
    0);
  Commit(aWorld, "promoted " + std::to_string(aId));
}

void
Remove(World& aWorld, ReplicaId aId)
{
  WorldNode& leader = WaitForLeader(aWorld);
  ReplicaSet set = ReplicasOf(*leader.mRaft);
  std::erase_if(set.mReplicas,
                [&](const Replica& aOne) { return aOne.mId == aId; });
  BOOST_REQUIRE_GE(
    aWorld.RunUntil(kLimit, [&] { return aWorld.Change(leader, set).ok(); }),
    0);
  Commit(aWorld, "removed");
}

} // namespace

// Guards against a group that elects no new leader after its leader crashes.
BOOST_AUTO_TEST_CASE(killed_leader_is_replaced)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto world = MakeWorld(seed, 3);
    Commit(*world, "before");
    WorldNode& leader = *world->Leader();
    world->Crash(leader);
    const int64_t gap = TimeToNewLeader(*world, leader);
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      BOOST_TEST(gap >= 0);
      BOOST_TEST(gap < kGoal);
      BOOST_TEST(HasCommittedPayload(*world, "before"));
    }
  }
}

// Guards against a leader that keeps serving in the minority of a network
// partition, where messages are lost without an error.
BOOST_AUTO_TEST_CASE(silently_partitioned_leader_is_replaced)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto world = MakeWorld(seed, 5);
    Commit(*world, "before");
    WorldNode& old = *world->Leader();
    world->CutOff(old.mId);
    // It may lead for a while, but entries proposed now are never committed.
    BOOST_TEST(world->Propose(old, "lost").ok());
    const int64_t gap = TimeToNewLeader(*world, old);
    BOOST_TEST(gap >= 0);
    BOOST_TEST(gap < kGoal);
    BOOST_TEST(!HoldsLeaderLease(*old.mRaft, world->Local(old)));
    world->Run(1000000);
    BOOST_TEST(!IsLeader(*old.mRaft));
    BOOST_TEST(
      (KindOf(world->Propose(old, "x").status()) == ErrorKind::eNotLeader));
    world->mCut.clear();
    Commit(*world, "after");
    WaitForAll(*world);
    BOOST_TEST(!HasCommittedPayload(*world, "lost"));
  }
}

// Guards against faults that only show after several failures in a row.
BOOST_AUTO_TEST_CASE(alternating_kills_and_partitions_recover)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto world = MakeWorld(seed, 3);
    for (int round = 0; round < 4; ++round) {
      Commit(*world, std::to_string(round));
      WorldNode& leader = *world->Leader();
      if (round % 2 == 0) {
        world->Crash(leader);
      } else {
        world->CutOff(leader.mId);
      }
      const int64_t gap = TimeToNewLeader(*world, leader);
      BOOST_TEST(gap >= 0);
      BOOST_TEST(gap < kGoal);
      world->mCut.clear();
      if (!leader.mRaft) {
        world->Start(leader);
      }
    }
    Commit(*world, "after");
    WaitForAll(*world);
  }
}

// Guards against a leader that stays leader over a one-way link: all replicas
// receive its messages, but it receives none.
BOOST_AUTO_TEST_CASE(leader_that_receives_nothing_steps_down)
{
  auto world = MakeWorld(3, 3);
  Commit(*world, "before");
  WorldNode& old = *world->Leader();
  for (const auto& [id, node] : world->mNodes) {
    world->mCut.insert({ id, old.mId });
  }
  const int64_t gap = TimeToNewLeader(*world, old);
  BOOST_TEST(gap >= 0);
  BOOST_TEST(gap < 2 * kGoal);
}

// Guards against entries acknowledged before they are synced: all replicas lose
// power together right after an acknowledgement.
BOOST_AUTO_TEST_CASE(acknowledged_entry_survives_power_loss)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto world = MakeWorld(seed, 3);
    world->mSyncTime = 30000;
    Commit(*world, "kept");
    for (auto& [id, node] : world->mNodes) {
      world->Crash(*node);
    }
    for (auto& [id, node] : world->mNodes) {
      world->Start(*node);
    }
    world->mLog.clear(); // rebuilt from the replicas' disks
    world->mHashes.assign(1, 0);
    world->mCommitted = 0;
    Commit(*world, "after");
    BOOST_TEST(HasCommittedPayload(*world, "kept"));
  }
}

// Guards against a replaced replica that does not restore fault tolerance: the
// leader crashes right after the replacement.
BOOST_AUTO_TEST_CASE(second_loss_right_after_repair)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto world = MakeWorld(seed, 3);
    for (int entry = 0; entry < 80; ++entry) {
      Commit(*world, std::to_string(entry));
    }
    WorldNode& lost = Follower(*world);
    world->Crash(lost);
    Remove(*world, lost.mId);
    AddVoter(*world, 4);
    WorldNode& leader = *world->Leader();
    world->Crash(leader);
    const int64_t gap = TimeToNewLeader(*world, leader);
    BOOST_TEST(gap >= 0);
    BOOST_TEST(gap < kGoal);
    Commit(*world, "after");
    WaitForAll(*world);
    BOOST_TEST(world->Node(4).mApplied == world->mLog.size());
    BOOST_TEST(world->mInstalled > 0u);
  }
}

// Guards against a snapshot transfer that never completes over links that lose,
// duplicate and delay messages.
BOOST_AUTO_TEST_CASE(learner_catches_up_over_lossy_links)
{
  auto world = MakeWorld(5, 3);
  for (int entry = 0; entry < 120; ++entry) {
    Commit(*world, std::to_string(entry));
  }
  world->mLossPercent = 20;
  world->mDoublePercent = 20;
  world->mExtraDelay = 20000;
  AddVoter(*world, 4);
  BOOST_TEST(world->mInstalled > 0u);
}

// Guards against a leader that stays leader although its disk is full.
BOOST_AUTO_TEST_CASE(disk_full_stops_the_replica)
{
  auto world = MakeWorld(7, 3);
  Commit(*world, "before");
  WorldNode& leader = *world->Leader();
  leader.mFailWrites = true;
  BOOST_TEST(world->Propose(leader, "refused by the disk").ok());
  const int64_t gap = TimeToNewLeader(*world, leader);
  BOOST_TEST(gap >= 0);
  BOOST_TEST(gap < kGoal);
  BOOST_TEST(HasFailed(*leader.mRaft));
  BOOST_TEST(!IsLeader(*leader.mRaft));
  BOOST_TEST((NextWakeup(*leader.mRaft) == kNever));
  Commit(*world, "after");
}

// Guards against voting twice in a term: a replica whose disk was emptied
// returns under its old id and must not count towards a majority.
BOOST_AUTO_TEST_CASE(emptied_disk_cannot_vote)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto world = MakeWorld(seed, 3);
    Commit(*world, "before");
    WorldNode& leader = *world->Leader();
    WorldNode& lost = Follower(*world);
    world->Wipe(lost);
    world->Run(2000000);
    BOOST_TEST(HasLostDisk(*lost.mRaft));
    BOOST_TEST(lost.mApplied == 0u);
    world->Crash(leader);
    world->Run(10000000);
    BOOST_TEST((world->Leader() == nullptr));
    world->Start(leader);
    Remove(*world, lost.mId);
    AddVoter(*world, 4);
    world->Crash(*world->Leader());
    Commit(*world, "after");
  }
}

// The same for a replica that joined later: its votes and replies are ignored,
// and the leader reports it as lost.
BOOST_AUTO_TEST_CASE(emptied_disk_of_a_joined_replica_cannot_vote)
{
  auto world = MakeWorld(9, 3);
  Commit(*world, "before");
  AddVoter(*world, 4);
  world->Wipe(world->Node(4));
  world->Run(3000000);
  const auto lost = VotersWithLostDisk(*WaitForLeader(*world).mRaft);
  BOOST_TEST((lost == std::vector<ReplicaId>{ ReplicaId(4) }));
  // A majority of 4 voters is 3, and only 2 voters are left.
  world->Crash(Follower(*world));
  world->Run(3000000);
  BOOST_TEST((world->Leader() == nullptr));
}

// Guards against a group formed by part of the initial set, while the rest
// could form a second group.
BOOST_AUTO_TEST_CASE(first_election_needs_every_replica)
{
  auto world = MakeWorld(2, 3);
  world->Crash(world->Node(3));
  world->Run(10000000);
  BOOST_TEST((world->Leader() == nullptr));
  world->Start(world->Node(3));
  Commit(*world, "all there");
}

// Guards against a single replica that waits for other replicas.
BOOST_AUTO_TEST_CASE(group_of_one_restarts_at_once)
{
  auto world = MakeWorld(2, 1);
  Commit(*world, "one");
  world->Crash(world->Node(1));
  world->Start(world->Node(1));
  const int64_t gap =
    world->RunUntil(kLimit, [&] { return world->Leader() != nullptr; });
  BOOST_TEST(gap >= 0);
  BOOST_TEST(gap < kGoal);
  Commit(*world, "two");
}

// Guards against a group that never gets a leader: the only replica whose log
// is long enough to win contains its own, uncommitted removal.
BOOST_AUTO_TEST_CASE(removed_replica_can_be_candidate_until_removal_commits)
{
  auto world = MakeWorld(3, 2);
  WorldNode& leader = WaitForLeader(*world);
  const WorldNode& other = Follower(*world);
  ReplicaSet set = ReplicasOf(*leader.mRaft);
  std::erase_if(set.mReplicas, [&](const Replica& aReplica) {
    return aReplica.mId == leader.mId;
  });
  world->CutOff(leader.mId);
  BOOST_REQUIRE(world->Change(leader, set).ok());
  world->Run(100000);
  world->Crash(leader);
  world->Start(leader);
  world->mCut.clear();
  BOOST_TEST(
    world->RunUntil(kLimit, [&] { return world->Leader() == &other; }) >= 0);
  Commit(*world, "after");
}

// Guards against two leaders: a replica restarts with a log in which it is the
// only voter, while the leader that removed itself still holds its lease.
BOOST_AUTO_TEST_CASE(last_voter_waits_for_the_lease_of_the_removed_leader)
{
  auto world = MakeWorld(3, 2);
  WorldNode& leader = WaitForLeader(*world);
  WorldNode& other = Follower(*world);
  ReplicaSet set = ReplicasOf(*leader.mRaft);
  std::erase_if(set.mReplicas, [&](const Replica& aReplica) {
    return aReplica.mId == leader.mId;
  });
  world->mCut.insert({ other.mId, leader.mId });
  BOOST_REQUIRE(world->Change(leader, set).ok());
  world->Run(5000);
  world->Crash(other);
  world->Start(other);
  BOOST_REQUIRE_EQUAL(ReplicasOf(*other.mRaft).mReplicas.size(), 1u);
  world->Run(300000);
  BOOST_TEST(HoldsLeaderLease(*leader.mRaft, world->Local(leader)));
  BOOST_TEST(!IsLeader(*other.mRaft));
  BOOST_TEST(
    world->RunUntil(kLimit, [&] { return world->Leader() == &other; }) >= 0);
}
