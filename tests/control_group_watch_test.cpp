// Guards against a control group that loses its voters one by one without a
// line or a figure that says so: the next loss then comes as a surprise.
#define BOOST_TEST_MODULE control_group_watch
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "caraway/control/group_watch.h"
#include "tests/control_link.h"

using namespace caraway;

namespace {

const std::string kContract = R"({"rate":10,"burst":20})";

struct WatchedGroup
{
  ControlLink mLink{ 3 };

  WatchedGroup()
  {
    mLink.StartAll();
    BOOST_REQUIRE(mLink.AwaitLeader());
    mLink.Run(Seconds(3));
  }

  size_t Follower(size_t aSkip = 0)
  {
    for (size_t at = 0; at < 3; ++at) {
      if (at != mLink.Leader().value() && aSkip-- == 0) {
        return at;
      }
    }
    return 3;
  }

  // The lines of this event and choice that were logged since the last call.
  std::vector<DecisionLog> Lines(const std::string& aEvent,
                                 const std::string& aChoice)
  {
    std::vector<DecisionLog> found;
    for (const DecisionLog& line : mLink.mLines) {
      if (line.mEvent == aEvent && line.mChoice == aChoice) {
        found.push_back(line);
      }
    }
    return found;
  }

  std::string Field(const DecisionLog& aLine, const std::string& aName)
  {
    for (const LogField& field : aLine.mExtra) {
      if (field.mName == aName) {
        return field.mValue;
      }
    }
    return "no such field";
  }

  std::string Metrics(size_t aReplica)
  {
    return mLink.Call(aReplica, "GET", "/metrics").mBody;
  }

  bool HasMetric(size_t aReplica, const std::string& aLine)
  {
    return Metrics(aReplica).find("caraway_control_" + aLine + "\n") !=
           std::string::npos;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(silent_voter_is_logged_and_counted, WatchedGroup)
{
  const size_t leader = mLink.Leader().value();
  BOOST_TEST(HasMetric(leader, "voters_heard 3"));
  BOOST_TEST(HasMetric(leader, "losses_borne 1"));
  const size_t lost = Follower();
  mLink.mLines.clear();
  mLink.Kill(lost);
  mLink.Run(Seconds(3));
  BOOST_REQUIRE(Lines("voter", "silent").size() == 1u);
  const DecisionLog silent = Lines("voter", "silent")[0];
  BOOST_TEST((silent.mLevel == LogLevel::eWarning));
  BOOST_TEST(silent.mReason.find(ControlLink::AddressOf(lost).mValue) !=
             std::string::npos);
  BOOST_TEST(Field(silent, "voters_heard") == "2");
  BOOST_REQUIRE(Lines("group_strength", "none").size() == 1u);
  BOOST_TEST((Lines("group_strength", "none")[0].mLevel == LogLevel::eError));
  BOOST_TEST(HasMetric(leader, "voters_silent 1"));
  BOOST_TEST(HasMetric(leader, "losses_borne 0"));

  mLink.mLines.clear();
  mLink.Start(lost);
  mLink.Run(Seconds(2));
  BOOST_TEST(Lines("voter", "heard").size() == 1u);
  BOOST_TEST(Lines("group_strength", "1").size() == 1u);
  BOOST_TEST(HasMetric(leader, "voters_silent 0"));
}

BOOST_FIXTURE_TEST_CASE(quiet_group_logs_nothing, WatchedGroup)
{
  mLink.mLines.clear();
  for (int write = 0; write < 50; ++write) {
    mLink.Write("PUT", "/admin/contracts/w", kContract);
    mLink.Run(Millis(100));
  }
  for (const char* event :
       { "voter", "group_strength", "commit", "leaderless" }) {
    BOOST_TEST(std::none_of(
      mLink.mLines.begin(), mLink.mLines.end(), [&](const DecisionLog& aLine) {
        return aLine.mEvent == event;
      }));
  }
}

// A leader in touch with voters whose disks do not complete any write.
BOOST_FIXTURE_TEST_CASE(stalled_commit_is_logged_with_the_lag_of_each_voter,
                        WatchedGroup)
{
  const size_t leader = mLink.Leader().value();
  mLink.mSyncOf[Follower(0)] = Seconds(4);
  mLink.mSyncOf[Follower(1)] = Seconds(4);
  mLink.mLines.clear();
  mLink.Ask(leader,
            "PUT",
            "/admin/contracts/w",
            kContract,
            { { "X-Operation-Id", "op" } });
  mLink.Run(Seconds(2));
  BOOST_REQUIRE(mLink.Leader() == leader);
  BOOST_REQUIRE(Lines("commit", "stalled").size() == 1u);
  const DecisionLog stalled = Lines("commit", "stalled")[0];
  BOOST_TEST((stalled.mLevel == LogLevel::eWarning));
  BOOST_TEST(Field(stalled, "own_lag") == "0");
  for (const ReplicaContact& one :
       ContactsOf(mLink.LeaderControl(), mLink.mNow)) {
    const bool self = one.mId == ReplicaId(leader + 1);
    BOOST_TEST((one.mLag == 0) == self);
    BOOST_TEST(one.Heard());
    BOOST_TEST(
      Field(stalled, "others").find(std::to_string(one.mId.mValue) + ":lag=") !=
      std::string::npos);
  }
  BOOST_TEST(!HasMetric(leader, "commit_stalled_ms 0"));
  mLink.mSyncOf.clear();
  mLink.Run(Seconds(4));
  BOOST_TEST(Lines("commit", "resumed").size() == 1u);
  BOOST_TEST(HasMetric(leader, "commit_stalled_ms 0"));
}

BOOST_FIXTURE_TEST_CASE(group_without_a_majority_says_so_on_each_replica,
                        WatchedGroup)
{
  const size_t left = mLink.Leader().value();
  const size_t other = Follower(0);
  mLink.Kill(Follower(1));
  mLink.Kill(other);
  mLink.mLines.clear();
  mLink.Run(Seconds(5));
  BOOST_REQUIRE(Lines("leaderless", "begun").size() == 1u);
  BOOST_TEST(!HasMetric(left, "leaderless_ms 0"));
  // Repeated, so that a record of the last minute has it: who was asked, and
  // what came of it.
  mLink.Run(Seconds(20));
  const auto lines = Lines("leaderless", "lasts");
  BOOST_TEST(lines.size() == 4u);
  BOOST_TEST(Field(lines.back(), "voters") == "3");
  BOOST_TEST(Field(lines.back(), "votes") == "1");
  const std::string set = Field(lines.back(), "set");
  BOOST_TEST(set.find(":self") != std::string::npos);
  BOOST_TEST(set.find(":silent") != std::string::npos);
  mLink.Start(other);
  BOOST_REQUIRE(mLink.AwaitLeader());
  BOOST_TEST(Lines("leaderless", "ended").size() == 1u);
}

// A replica whose disk has failed leaves its group at once: it sends nothing
// more, and operators that wait for it are told that the outcome is unknown.
BOOST_FIXTURE_TEST_CASE(leader_without_its_disk_gives_way, WatchedGroup)
{
  const size_t leader = mLink.Leader().value();
  mLink.mSyncOf[0] = mLink.mSyncOf[1] = mLink.mSyncOf[2] = Millis(200);
  const HttpCallId open = mLink.Ask(leader,
                                    "PUT",
                                    "/admin/contracts/w",
                                    kContract,
                                    { { "X-Operation-Id", "op" } });
  mLink.Run(Millis(10));
  mLink.Post(leader, mLink.mNow, StorageFailed{});
  mLink.Run(Millis(10));
  BOOST_REQUIRE(mLink.mResponses.contains(open));
  BOOST_TEST(mLink.mResponses[open].mStatus == 503);
  BOOST_TEST(mLink.mResponses[open].mBody.find("unknown") != std::string::npos);
  BOOST_TEST(HasFailed(mLink.mReplicas[leader].mControl->mRaft));
  BOOST_REQUIRE(mLink.AwaitLeader());
  BOOST_TEST(mLink.Leader().value() != leader);
  // The host makes the role anew from the folder.
  mLink.Start(leader);
  mLink.Run(Seconds(2));
  BOOST_TEST(HasMetric(mLink.Leader().value(), "voters_heard 3"));
}

// Guards against new work that delays the replacement of a lost replica while
// the next loss would end control, and against a stuck learner that holds up
// all work.
BOOST_AUTO_TEST_CASE(uploads_wait_for_a_repair_and_not_for_long)
{
  ReplicaContact voter;
  voter.mVoter = true;
  ReplicaContact silent = voter;
  silent.mSilence = kAliveTimeout;
  ReplicaContact learner;
  learner.mReceivesSnapshot = true;
  BOOST_TEST(RepairComesFirst({ voter, voter, learner }));
  BOOST_TEST(RepairComesFirst({ voter, voter, silent, learner }));
  // A loss is borne, or nobody is brought back.
  BOOST_TEST(!RepairComesFirst({ voter, voter, voter, learner }));
  BOOST_TEST(!RepairComesFirst({ voter, voter, silent }));
  learner.mLearning = Seconds(10);
  BOOST_TEST(!RepairComesFirst({ voter, voter, learner }));
  learner.mLearning = {};
  learner.mReceivesSnapshot = false;
  BOOST_TEST(!RepairComesFirst({ voter, voter, learner }));
  learner.mReceivesSnapshot = true;
  learner.mSilence = kAliveTimeout;
  BOOST_TEST(!RepairComesFirst({ voter, voter, learner }));
}
