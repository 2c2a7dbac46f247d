// Guards against a control group that elects nobody while its disks are slow:
// a vote takes a sync of the candidate and one of the voter, and elections that
// end sooner fail again and again.
#define BOOST_TEST_MODULE control_slow_disk
#include <boost/test/unit_test.hpp>

#include "tests/control_link.h"

using namespace caraway;

namespace {

struct SlowDiskGroup
{
  ControlLink mLink;

  explicit SlowDiskGroup(uint64_t aSeed)
    : mLink(3, aSeed)
  {
    for (LinkReplica& replica : mLink.mReplicas) {
      replica.mSettings.mRaft = QuickElections();
    }
    mLink.StartAll();
    BOOST_REQUIRE(mLink.AwaitLeader());
    mLink.Run(Seconds(1));
  }

  void RestartAll()
  {
    for (size_t at = 0; at < mLink.mReplicas.size(); ++at) {
      mLink.Kill(at);
    }
    mLink.Run(Seconds(1));
    mLink.StartAll();
  }
};

} // namespace

// All replicas restart at the same moment, as after a loss of power. Operators
// are promised an answer 12 s after that.
BOOST_AUTO_TEST_CASE(leader_is_elected_while_all_disks_are_slow)
{
  for (const int64_t millis : { 100, 200, 300, 500, 1000 }) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      BOOST_TEST_CONTEXT("syncs take " << millis << " ms, seed " << seed)
      {
        SlowDiskGroup group(seed);
        group.mLink.mSync = Millis(millis);
        group.RestartAll();
        BOOST_TEST(group.mLink.AwaitLeader(Seconds(12)));
      }
    }
  }
}

// One of three replicas is gone besides, so both others have to vote.
BOOST_AUTO_TEST_CASE(two_replicas_with_slow_disks_elect_a_leader)
{
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      SlowDiskGroup group(seed);
      group.mLink.mSync = Millis(400);
      group.RestartAll();
      group.mLink.Kill(seed % 3);
      BOOST_TEST(group.mLink.AwaitLeader(Seconds(12)));
    }
  }
}
