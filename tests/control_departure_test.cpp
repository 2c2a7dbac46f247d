// Guards against a control group that is one vote short after a planned stop: a
// learner that held everything stood by, and a further loss that the group was
// to bear took its majority for good.
#define BOOST_TEST_MODULE control_departure
#include <boost/test/unit_test.hpp>

#include "tests/joined_group.h"

using namespace caraway;

namespace {

constexpr Duration kRecovery = Seconds(12);

// Writes a contract and returns whether control has accepted it.
bool
Write(JoinedGroup& aGroup, const std::string& aName)
{
  return aGroup.mLink
           .Write(
             "PUT", "/admin/contracts/" + aName, R"({"rate":10,"burst":20})")
           .mStatus == 200;
}

bool
Holds(JoinedGroup& aGroup, const std::string& aName)
{
  const auto& view = aGroup.mLink.LeaderControl().mState.mConfig.mView;
  return view.mContracts.contains(WorkspaceId(aName));
}

} // namespace

BOOST_AUTO_TEST_CASE(group_bears_a_loss_right_after_a_planned_stop)
{
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    for (const int64_t millis : { 0, 200, 1000, 1900, 2200 }) {
      BOOST_TEST_CONTEXT("seed " << seed << ", lost after " << millis << " ms")
      {
        JoinedGroup group(seed, 4, QuickElections());
        BOOST_REQUIRE(Write(group, "kept"));
        group.Stop(group.Followers().at(seed % 2));
        group.Run(Millis(millis));
        // Which of the voters loses its disk depends on the seed.
        std::vector<size_t> others = group.Followers();
        others.push_back(group.mLink.Leader().value());
        group.LosePowerAndDisk(others.at(seed % others.size()));
        const bool leads = group.AwaitLeader(kRecovery);
        BOOST_TEST(leads);
        BOOST_TEST((!leads || Holds(group, "kept")));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(
  group_bears_a_loss_right_after_a_planned_stop_of_its_leader)
{
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    for (const int64_t millis : { 0, 200, 1000, 1900, 2200 }) {
      BOOST_TEST_CONTEXT("seed " << seed << ", lost after " << millis << " ms")
      {
        JoinedGroup group(seed, 4, QuickElections());
        BOOST_REQUIRE(Write(group, "kept"));
        group.Stop(group.mLink.Leader().value());
        group.Run(Millis(millis));
        BOOST_REQUIRE(group.AwaitLeader(Seconds(1)));
        std::vector<size_t> others = group.Followers();
        others.push_back(group.mLink.Leader().value());
        group.LosePowerAndDisk(others.at(seed % others.size()));
        const bool leads = group.AwaitLeader(kRecovery);
        BOOST_TEST(leads);
        BOOST_TEST((!leads || Holds(group, "kept")));
      }
    }
  }
}

// Guards against an election time-out without a leader at each planned stop.
BOOST_AUTO_TEST_CASE(leader_that_stops_hands_over)
{
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    for (const size_t replicas : { 3, 4 }) {
      BOOST_TEST_CONTEXT("seed " << seed << ", replicas " << replicas)
      {
        JoinedGroup group(seed, replicas, QuickElections());
        const size_t leader = group.mLink.Leader().value();
        group.mLink.Post(leader, group.mLink.mNow, StopRequested{});
        Duration without;
        for (int step = 0; step < 1000; ++step) {
          group.Run(Millis(1));
          const auto leads = group.mLink.Leader();
          // A leader that stops serves nothing.
          without = leads && *leads != leader ? without : without + Millis(1);
        }
        BOOST_TEST(without.Millis() < 100);
        BOOST_TEST(group.mLink.mReplicas[leader].mStopped);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(voter_without_a_successor_ends_at_once_and_keeps_its_vote)
{
  JoinedGroup group(1, 3, QuickElections());
  const size_t stopped = group.Followers().at(0);
  const MonoTime from = group.mLink.mNow;
  group.Stop(stopped);
  BOOST_TEST((group.mLink.mNow - from).Millis() < 100);
  BOOST_TEST(group.Votes(stopped));
  group.mLink.Start(stopped);
  group.Run(Seconds(3));
  BOOST_TEST(group.Votes(stopped));
}

// Guards against a vote that goes to a replica that is about to end as well.
BOOST_AUTO_TEST_CASE(learner_that_stops_is_not_promoted)
{
  JoinedGroup group(1, 4, QuickElections());
  const size_t learner = group.Learner();
  const size_t voter = group.Followers().at(0);
  group.Stop(learner);
  group.Stop(voter);
  group.Run(Millis(500));
  BOOST_TEST(!group.Votes(learner));
  BOOST_TEST(group.Votes(voter));
}

// All replicas restart, one after the other, while a learner stands by. None
// has to fetch a snapshot, and the group never has fewer voters that run.
BOOST_AUTO_TEST_CASE(rolling_restart_keeps_three_voters_running)
{
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      JoinedGroup group(seed, 4, QuickElections());
      for (size_t at = 0; at < 4; ++at) {
        group.Stop(at);
        BOOST_REQUIRE(group.AwaitLeader(Millis(300)));
        size_t running = 0;
        for (size_t other = 0; other < 4; ++other) {
          running +=
            group.mLink.mReplicas[other].mControl && group.Votes(other) ? 1 : 0;
        }
        BOOST_TEST(running == 3u);
        group.mLink.Start(at);
        group.Run(Seconds(2));
        BOOST_REQUIRE(group.AwaitLeader(Millis(300)));
        BOOST_TEST(group.Belongs(at));
        BOOST_TEST(
          group.mLink.mReplicas[at].mDisk.mRecovered.mSnapshot.mIndex.IsNone());
      }
    }
  }
}

// Guards against a stop that wakes up again and again at the same moment while
// proposals of the leader wait for a majority that is cut off.
BOOST_AUTO_TEST_CASE(leader_with_open_proposals_stops_in_time)
{
  JoinedGroup group(1, 4, QuickElections());
  ControlLink& link = group.mLink;
  const size_t leader = link.Leader().value();
  for (size_t at = 0; at < 4; ++at) {
    if (at != leader) {
      link.mCut.insert(ControlLink::AddressOf(at));
    }
  }
  link.Ask(leader,
           "PUT",
           "/admin/contracts/open",
           R"({"rate":10,"burst":20})",
           { { "X-Operation-Id", "open" } });
  link.Run(Millis(5));
  BOOST_TEST(!link.LeaderControl().mLeadership.mProposals.empty());
  link.Post(leader, link.mNow, StopRequested{});
  link.Run(Millis(10));
  BOOST_TEST((NextWakeup(*link.mReplicas[leader].mControl) > link.mNow));
  link.Run(Seconds(3));
  BOOST_TEST(link.mReplicas[leader].mStopped);
}
