// Group commit, membership changes and bounded memory.
#define BOOST_TEST_MODULE consensus_raft
#include <boost/test/unit_test.hpp>

#include "fuzz/consensus_world.h"

using namespace caraway;

namespace {

// A group of one replica whose writes the test completes explicitly.
struct SingleReplicaGroup
{
  MonoTime mNow{ 1000 };
  Raft mRaft;
  std::vector<RaftAction> mOut;

  explicit SingleReplicaGroup(const RaftSettings& aSettings = {})
    : mRaft(MakeRaft(aSettings,
                     GroupId(0),
                     ReplicaId(1),
                     {},
                     MakeReplicaSet(1),
                     1,
                     mNow))
  {
    RaftWakeup(mRaft, mNow, mOut);
    Written(); // its own vote
    Written(); // its first entries
  }

  absl::StatusOr<LogIndex> Propose(std::string aPayload)
  {
    return RaftPropose(
      mRaft, mNow, LogEntryKind::eCommand, std::move(aPayload), mOut);
  }

  // Returns the writes among the pending actions and drops the other actions.
  std::vector<RaftWrite> Writes()
  {
    std::vector<RaftWrite> writes;
    for (const RaftAction& action : mOut) {
      if (const auto* write = std::get_if<RaftWrite>(&action)) {
        writes.push_back(*write);
      }
    }
    mOut.clear();
    return writes;
  }

  void Written(bool aOk = true)
  {
    for (const RaftWrite& write : Writes()) {
      RaftWritten(mRaft, mNow, write.mWrite, aOk, mOut);
    }
  }
};

WorldNode&
WaitForLeader(World& aWorld)
{
  BOOST_REQUIRE_GE(
    aWorld.RunUntil(20000000, [&] { return aWorld.Leader() != nullptr; }), 0);
  return *aWorld.Leader();
}

} // namespace

// Guards against one sync per entry: entries proposed during a write share the
// next write.
BOOST_AUTO_TEST_CASE(entries_share_a_write)
{
  SingleReplicaGroup single;
  BOOST_REQUIRE(IsLeader(single.mRaft));
  for (int entry = 0; entry < 100; ++entry) {
    BOOST_REQUIRE(single.Propose("x").ok());
  }
  const std::vector<RaftWrite> first = single.Writes();
  BOOST_REQUIRE_EQUAL(first.size(), 1u);
  BOOST_TEST(first[0].mAppend.size() == 1u);
  RaftWritten(single.mRaft, single.mNow, first[0].mWrite, true, single.mOut);
  const std::vector<RaftWrite> second = single.Writes();
  BOOST_REQUIRE_EQUAL(second.size(), 1u);
  BOOST_TEST(second[0].mAppend.size() == 99u);
}

// Guards against a leader that counts its own entry before it is synced.
BOOST_AUTO_TEST_CASE(leader_counts_own_entry_after_sync)
{
  SingleReplicaGroup single;
  const auto index = single.Propose("x");
  BOOST_REQUIRE(index.ok());
  BOOST_TEST((CommitIndex(single.mRaft) < *index));
  single.Written();
  BOOST_TEST((CommitIndex(single.mRaft) == *index));
}

// Guards against a replica that keeps serving after a failed write.
BOOST_AUTO_TEST_CASE(failed_write_stops_the_replica)
{
  SingleReplicaGroup single;
  BOOST_REQUIRE(single.Propose("x").ok());
  single.Written(false);
  BOOST_TEST(HasFailed(single.mRaft));
  BOOST_TEST(!IsLeader(single.mRaft));
  BOOST_TEST(!HoldsLeaderLease(single.mRaft, single.mNow));
  BOOST_TEST((KindOf(single.Propose("y").status()) == ErrorKind::eNotLeader));
}

// Guards against entries that do not fit in a message to the other replicas.
BOOST_AUTO_TEST_CASE(oversized_entry_is_refused)
{
  SingleReplicaGroup single;
  BOOST_TEST(single.Propose(std::string(kMaxEntryBytes, 'x')).ok());
  BOOST_TEST(
    (KindOf(single.Propose(std::string(kMaxEntryBytes + 1, 'x')).status()) ==
     ErrorKind::eTooLarge));
}

// Guards against unbounded memory use by entries that cannot be committed.
BOOST_AUTO_TEST_CASE(pending_bytes_are_bounded)
{
  RaftSettings settings;
  settings.mMaxPendingBytes = 1000;
  SingleReplicaGroup single(settings);
  BOOST_TEST(single.Propose(std::string(900, 'x')).ok());
  BOOST_TEST((KindOf(single.Propose(std::string(200, 'x')).status()) ==
              ErrorKind::eOverloaded));
  single.Written();
  BOOST_TEST(single.Propose(std::string(200, 'x')).ok());
}

// Guards against a log in memory that is never compacted.
BOOST_AUTO_TEST_CASE(log_in_memory_is_bounded)
{
  RaftSettings settings;
  settings.mSnapshotEvery = 50;
  settings.mTailEntries = 10;
  SingleReplicaGroup single(settings);
  size_t maxEntries = 0;
  for (int entry = 0; entry < 1000; ++entry) {
    BOOST_REQUIRE(single.Propose("x").ok());
    for (const RaftWrite& write : single.Writes()) {
      RaftWritten(single.mRaft, single.mNow, write.mWrite, true, single.mOut);
    }
    for (const RaftAction& action : std::vector(single.mOut)) {
      if (const auto* take = std::get_if<RaftTakeSnapshot>(&action)) {
        RaftSnapshotTaken(
          single.mRaft, single.mNow, take->mMark, true, single.mOut);
      }
    }
    maxEntries = std::max(maxEntries, single.mRaft.mLog.mEntries.size());
  }
  BOOST_TEST(maxEntries <= 61u);
}

// Guards against membership changes that could allow two disjoint majorities.
BOOST_AUTO_TEST_CASE(unsafe_changes_are_refused)
{
  auto world = MakeWorld(1, 3);
  WorldNode& leader = WaitForLeader(*world);
  const ReplicaSet now = ReplicasOf(*leader.mRaft);
  const auto kind = [&](const ReplicaSet& aSet) {
    return KindOf(world->Change(leader, aSet));
  };
  ReplicaSet two = now;
  two.mReplicas.resize(1);
  BOOST_TEST((kind(two) == ErrorKind::eInvalidArgument));
  ReplicaSet voter = now;
  voter.mReplicas.push_back({ ReplicaId(4), "new", true, 0 });
  BOOST_TEST((kind(voter) == ErrorKind::eInvalidArgument));
  BOOST_TEST((kind(now) == ErrorKind::eInvalidArgument));
  ReplicaSet learner = voter;
  learner.mReplicas.back().mVoter = false;
  BOOST_TEST((kind(learner) == ErrorKind::eNone));
  // The previous change is not committed yet.
  BOOST_TEST((kind(now) == ErrorKind::eUnavailable));
  world->Run(100000);
  // The learner never replied.
  BOOST_TEST((kind(voter) == ErrorKind::eUnavailable));
}

// Guards against a leader that does not step down after its removal, and a
// group that does not continue without it.
BOOST_AUTO_TEST_CASE(leader_removes_itself)
{
  auto world = MakeWorld(4, 3);
  WorldNode& leader = WaitForLeader(*world);
  ReplicaSet set = ReplicasOf(*leader.mRaft);
  std::erase_if(set.mReplicas, [&](const Replica& aReplica) {
    return aReplica.mId == leader.mId;
  });
  BOOST_REQUIRE(world->Change(leader, set).ok());
  world->Run(100000);
  BOOST_TEST(!IsLeader(*leader.mRaft));
  WorldNode& next = WaitForLeader(*world);
  BOOST_TEST((next.mId != leader.mId));
  world->Run(5000000);
  BOOST_TEST(IsLeader(*next.mRaft));
}

// Guards against a partitioned replica that, on return, raises the term and
// deposes a working leader.
BOOST_AUTO_TEST_CASE(returning_replica_does_not_raise_the_term)
{
  auto world = MakeWorld(6, 3);
  WorldNode& leader = WaitForLeader(*world);
  const Term term = TermOf(*leader.mRaft);
  const ReplicaId other(leader.mId.mValue % 3 + 1);
  world->CutOff(other);
  world->Run(20000000);
  world->mCut.clear();
  world->Run(5000000);
  BOOST_TEST(IsLeader(*leader.mRaft));
  BOOST_TEST((TermOf(*leader.mRaft) == term));
}
