// Guards against a new leader that reports a retiring replica as gone because
// the replicas have not told it their instances yet. The operator then removes
// an instance that still votes, and the group loses its majority.
#define BOOST_TEST_MODULE control_retirement
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "tests/joined_group.h"

using namespace caraway;

namespace {

// Four replicas, of which three vote, and an entry that calls the leader.
struct RetirementGroup
{
  ControlLink mLink;
  ControlEntry mEntry{ mLink };

  explicit RetirementGroup(uint64_t aSeed, const RaftSettings& aRaft = {})
    : mLink(4, aSeed)
  {
    for (size_t at = 0; at < mLink.mReplicas.size(); ++at) {
      ControlSettings& settings = mLink.mReplicas[at].mSettings;
      settings.mRaft = aRaft;
      settings.mInstance = InstanceAt(at);
      settings.mZone = ZoneId("z");
      settings.mSeeds = { mEntry.mAddress };
    }
    mLink.StartAll();
    BOOST_REQUIRE(mLink.AwaitLeader());
    mEntry.RegisterAtLeader();
    mLink.Run(Seconds(3));
    BOOST_REQUIRE(CountVoters() == 3);
  }

  const ReplicaSet& Replicas()
  {
    return mLink.LeaderControl().mAppliedReplicas;
  }

  std::ptrdiff_t CountVoters()
  {
    const auto& replicas = Replicas().mReplicas;
    return std::count_if(replicas.begin(),
                         replicas.end(),
                         [](const Replica& aOne) { return aOne.mVoter; });
  }

  bool Belongs(size_t aReplica)
  {
    const auto& replicas = Replicas().mReplicas;
    return std::any_of(
      replicas.begin(), replicas.end(), [&](const Replica& aOne) {
        return aOne.mId == ReplicaId(aReplica + 1);
      });
  }

  size_t FollowingVoter()
  {
    for (const Replica& replica : Replicas().mReplicas) {
      const size_t at = replica.mId.mValue - 1;
      if (replica.mVoter && at != mLink.Leader().value()) {
        return at;
      }
    }
    return mLink.mReplicas.size();
  }

  bool ReportedAsGone(size_t aReplica)
  {
    const auto reply = mEntry.Call(DescribeRetirement{ InstanceAt(aReplica) });
    const auto* state = reply ? std::get_if<RetirementReply>(&*reply) : nullptr;
    return state != nullptr && state->mDone;
  }
};

} // namespace

// The leader is lost right after it acknowledged a retirement. Which of the
// remaining voters is elected depends on the seed.
BOOST_AUTO_TEST_CASE(new_leader_does_not_report_a_voter_as_gone)
{
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      RetirementGroup group(seed);
      const size_t retiring = group.FollowingVoter();
      const size_t lost = group.mLink.Leader().value();
      const auto accepted =
        group.mEntry.Call(RetireReplica{ InstanceAt(retiring) });
      BOOST_REQUIRE((accepted && std::holds_alternative<CallDone>(*accepted)));
      group.mLink.Kill(lost);
      BOOST_REQUIRE(group.mLink.AwaitLeader());
      for (int asked = 0; asked < 100; ++asked) {
        if (group.ReportedAsGone(retiring)) {
          BOOST_TEST(!group.Belongs(retiring));
        }
      }
      group.mLink.Start(lost);
      group.mLink.Run(Seconds(10));
      BOOST_REQUIRE(group.mLink.Leader().has_value());
      BOOST_TEST(group.ReportedAsGone(retiring));
      BOOST_TEST(!group.Belongs(retiring));
    }
  }
}

// A retirement that reaches a new leader early must not be refused for good:
// the instance exists, the leader just has not heard from it.
BOOST_AUTO_TEST_CASE(new_leader_does_not_deny_an_instance_it_has_not_heard_from)
{
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      RetirementGroup group(seed);
      const size_t lost = group.mLink.Leader().value();
      group.mLink.Kill(lost);
      BOOST_REQUIRE(group.mLink.AwaitLeader());
      const auto reply =
        group.mEntry.Call(RetireReplica{ InstanceAt(group.FollowingVoter()) });
      const auto* failed = reply ? std::get_if<CallFailed>(&*reply) : nullptr;
      BOOST_TEST((failed == nullptr || failed->mKind != ErrorKind::eNotFound));
      // An instance that runs no replica is denied once all are known.
      group.mLink.Start(lost);
      group.mLink.Run(Seconds(5));
      const auto other =
        group.mEntry.Call(RetireReplica{ InstanceId("store-99") });
      const auto* denied = other ? std::get_if<CallFailed>(&*other) : nullptr;
      BOOST_REQUIRE(denied != nullptr);
      BOOST_TEST((denied->mKind == ErrorKind::eNotFound));
    }
  }
}

// The leader itself retires. It must hand over and be removed, and no other
// replica may lose its place.
BOOST_AUTO_TEST_CASE(retiring_leader_is_removed_by_its_successor)
{
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      RetirementGroup group(seed);
      const size_t retiring = group.mLink.Leader().value();
      const auto accepted =
        group.mEntry.Call(RetireReplica{ InstanceAt(retiring) });
      BOOST_REQUIRE((accepted && std::holds_alternative<CallDone>(*accepted)));
      group.mLink.Run(Seconds(10));
      BOOST_REQUIRE(group.mLink.Leader().has_value());
      BOOST_TEST(group.mLink.Leader().value() != retiring);
      BOOST_TEST(group.ReportedAsGone(retiring));
      BOOST_TEST(!group.Belongs(retiring));
      BOOST_TEST(group.CountVoters() == 3);
      BOOST_TEST(group.Replicas().mReplicas.size() == 3u);
    }
  }
}

// Guards against a group that stays short of a voter: a learner whose replies
// trail the newest commit, by a few entries or by the syncs of a slower disk,
// was never promoted while proposals kept coming, so that the next loss cost
// the majority.
BOOST_AUTO_TEST_CASE(learner_replaces_a_lost_voter_under_steady_load)
{
  // With the usual timings and with short elections.
  RaftSettings quick;
  quick.mHeartbeat = Millis(60);
  quick.mElectionMin = Millis(300);
  quick.mElectionMax = Millis(500);
  for (const RaftSettings& raft : { RaftSettings{}, quick }) {
    for (const int64_t millis : { 6, 50, 150, 300, 450 }) {
      BOOST_TEST_CONTEXT("the learner's disk syncs in "
                         << millis << " ms, elections in "
                         << raft.mElectionMax.Millis() << " ms")
      {
        RetirementGroup group(1, raft);
        size_t learner = 0;
        for (const Replica& replica : group.Replicas().mReplicas) {
          learner = replica.mVoter ? learner : replica.mId.mValue - 1;
        }
        group.mLink.mSyncOf[learner] = Millis(millis);
        const size_t lost = group.FollowingVoter();
        group.mLink.Kill(lost);
        for (int write = 0; write < 5000; ++write) {
          group.mLink.Ask(
            group.mLink.Leader().value(),
            "PUT",
            "/admin/contracts/w" + std::to_string(write % 10),
            R"({"rate":10,"burst":20})",
            { { "X-Operation-Id", "op" + std::to_string(write) } });
          group.mLink.Run(Millis(2));
        }
        BOOST_TEST(!group.Belongs(lost));
        BOOST_TEST(group.CountVoters() == 3);
      }
    }
  }
}

// Guards against a replica that stays outside its group for good, so that the
// group has no successor for the next voter that it loses: it was removed while
// it was cut off, and the leader that it knew is not the leader any more.
BOOST_AUTO_TEST_CASE(removed_replica_rejoins_under_another_leader)
{
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      JoinedGroup group(seed);
      const size_t learner = group.Learner();
      const size_t former = group.mLink.Leader().value();
      group.mLink.mCut.insert(ControlLink::AddressOf(learner));
      group.Run(Seconds(6));
      BOOST_REQUIRE(!group.Belongs(learner));
      group.mLink.Kill(former);
      BOOST_REQUIRE(group.mLink.AwaitLeader());
      group.mLink.Start(former);
      group.Run(Seconds(2));
      BOOST_REQUIRE(group.mLink.Leader().value() != former);
      group.mLink.mCut.clear();
      group.Run(Seconds(10));
      BOOST_TEST(group.Belongs(learner));
    }
  }
}

// A leader is lost right after it has added a replica, so that the addition is
// lost with it while the replica follows it already.
BOOST_AUTO_TEST_CASE(replica_whose_addition_was_lost_joins_under_another_leader)
{
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      JoinedGroup group(seed);
      const size_t joining = group.Learner();
      const size_t former = group.mLink.Leader().value();
      group.mLink.Kill(joining);
      group.Run(Seconds(6));
      BOOST_REQUIRE(!group.Belongs(joining));
      // It lost its disk, and no other replica hears of its addition.
      group.mLink.mReplicas[joining].mDisk = {};
      for (size_t at = 0; at < 4; ++at) {
        if (at != former && at != joining) {
          group.mLink.mSyncOf[at] = Millis(300);
          group.mLink.mCut.insert(ControlLink::AddressOf(at));
        }
      }
      group.mLink.Start(joining);
      group.Run(Millis(700));
      group.mLink.Kill(former);
      group.mLink.mCut.clear();
      group.mLink.mSyncOf.clear();
      BOOST_REQUIRE(group.mLink.AwaitLeader());
      group.mLink.Start(former);
      group.Run(Seconds(10));
      BOOST_TEST(group.Belongs(joining));
    }
  }
}
