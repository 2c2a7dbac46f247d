// Tests the automatic changes of the control group: a replica that lost its
// disk loses its vote, learners replace lost voters, and no step leaves the
// group without a majority.
#define BOOST_TEST_MODULE membership_replica_care
#include <boost/test/unit_test.hpp>

#include "caraway/membership/replica_steps.h"

using namespace caraway;

namespace {

ReplicaView
Voter(uint64_t aId, const char* aZone)
{
  ReplicaView view;
  view.mId = ReplicaId(aId);
  view.mAddress = "10.0.0." + std::to_string(aId) + ":1";
  view.mZone = ZoneId(aZone);
  view.mVoter = true;
  return view;
}

ReplicaView
Learner(uint64_t aId, const char* aZone)
{
  ReplicaView view = Voter(aId, aZone);
  view.mVoter = false;
  return view;
}

ReplicaView
Silent(ReplicaView aView, bool aLost = true)
{
  aView.mAlive = false;
  aView.mLost = aLost;
  return aView;
}

ReplicaGroupStatus
Three()
{
  ReplicaGroupStatus groupStatus;
  groupStatus.mReplicas = { Voter(1, "a"), Voter(2, "b"), Voter(3, "c") };
  groupStatus.mSelf = ReplicaId(1);
  return groupStatus;
}

std::string
Steps(const ReplicaGroupStatus& aGroupStatus)
{
  std::string text;
  for (const ReplicaStep& step : PlanReplicaSteps(aGroupStatus)) {
    text += step.mKind == ReplicaStepKind::eAdd       ? "+"
            : step.mKind == ReplicaStepKind::ePromote ? "^"
            : step.mKind == ReplicaStepKind::eResign  ? "resign "
                                                      : "-";
    text += std::to_string(step.mId.mValue) + " ";
  }
  return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(complete_group_needs_no_steps)
{
  BOOST_TEST(Steps(Three()) == "");
}

BOOST_AUTO_TEST_CASE(wiped_replica_loses_its_vote_before_it_joins)
{
  ReplicaGroupStatus groupStatus = Three();
  groupStatus.mReplicas[2] = Silent(groupStatus.mReplicas[2], false);
  groupStatus.mJoining = { { ReplicaId(30), "10.0.0.3:1", ZoneId("c") } };
  BOOST_TEST(Steps(groupStatus) == "-3 ");
  groupStatus.mReplicas.pop_back();
  BOOST_TEST(Steps(groupStatus) == "+30 ");
  groupStatus.mReplicas.push_back(Learner(30, "c"));
  BOOST_TEST(Steps(groupStatus) == "^30 ");
}

// Guards against a replacement that is removed again: the last request of the
// replica that lost its disk is still known, and names the same address.
BOOST_AUTO_TEST_CASE(request_of_a_replaced_replica_does_not_remove_the_new_one)
{
  const auto at = [](int64_t aMillis) {
    return MonoTime{ 0 } + Millis(aMillis);
  };
  ReplicaGroupStatus groupStatus = Three();
  groupStatus.mReplicas[2] = Learner(30, "c");
  groupStatus.mReplicas[2].mAddress = "10.0.0.3:1";
  groupStatus.mJoining = {
    { ReplicaId(3), "10.0.0.3:1", ZoneId("c"), at(100) },
    { ReplicaId(30), "10.0.0.3:1", ZoneId("c"), at(400) }
  };
  BOOST_TEST(Steps(groupStatus) == "^30 ");
  groupStatus.mReplicas[2].mVoter = true;
  BOOST_TEST(Steps(groupStatus) == "");
  // Nor is the old one added while both ask.
  groupStatus.mReplicas.pop_back();
  BOOST_TEST(Steps(groupStatus) == "+30 ");
  // The one that was heard last counts, whichever id is lower.
  groupStatus.mJoining[0].mHeardAt = at(500);
  BOOST_TEST(Steps(groupStatus) == "+3 ");
}

BOOST_AUTO_TEST_CASE(no_vote_is_removed_without_a_majority_left)
{
  ReplicaGroupStatus groupStatus = Three();
  groupStatus.mReplicas[1] = Silent(groupStatus.mReplicas[1]);
  groupStatus.mReplicas[2] = Silent(groupStatus.mReplicas[2]);
  groupStatus.mJoining = { { ReplicaId(30), "10.0.0.3:1", ZoneId("c") } };
  BOOST_TEST(Steps(groupStatus) == "");
}

BOOST_AUTO_TEST_CASE(learner_replaces_a_lost_voter)
{
  ReplicaGroupStatus groupStatus = Three();
  groupStatus.mReplicas.push_back(Learner(4, "b"));
  BOOST_TEST(Steps(groupStatus) == "");
  groupStatus.mReplicas[1] = Silent(groupStatus.mReplicas[1]);
  BOOST_TEST(Steps(groupStatus) == "^4 ");
  groupStatus.mReplicas[3].mVoter = true;
  BOOST_TEST(Steps(groupStatus) == "-2 ");
}

BOOST_AUTO_TEST_CASE(learner_in_a_zone_without_voter_is_promoted_first)
{
  ReplicaGroupStatus groupStatus = Three();
  groupStatus.mReplicas[2] = Silent(groupStatus.mReplicas[2]);
  groupStatus.mReplicas.push_back(Learner(4, "a"));
  groupStatus.mReplicas.push_back(Learner(5, "c"));
  BOOST_TEST(Steps(groupStatus) == "^5 ^4 ");
}

BOOST_AUTO_TEST_CASE(retiring_voter_leaves_only_after_its_successor_votes)
{
  ReplicaGroupStatus groupStatus = Three();
  BOOST_TEST(!MayRetire(groupStatus, ReplicaId(2)));
  groupStatus.mReplicas.push_back(Learner(4, "b"));
  BOOST_TEST(MayRetire(groupStatus, ReplicaId(2)));
  groupStatus.mReplicas[1].mRetiring = true;
  BOOST_TEST(Steps(groupStatus) == "^4 ");
  groupStatus.mReplicas[3].mVoter = true;
  BOOST_TEST(Steps(groupStatus) == "-2 ");
}

// Guards against a retirement that never ends: the leader cannot remove itself,
// and removed another voter instead, which then joined again.
BOOST_AUTO_TEST_CASE(retiring_leader_resigns_once_its_successor_votes)
{
  ReplicaGroupStatus groupStatus = Three();
  groupStatus.mReplicas[0].mRetiring = true;
  groupStatus.mReplicas.push_back(Learner(4, "a"));
  BOOST_TEST(Steps(groupStatus) == "^4 ");
  groupStatus.mReplicas[3].mVoter = true;
  BOOST_TEST(Steps(groupStatus) == "resign 0 ");
  // Others that have to leave as well go first.
  groupStatus.mReplicas.push_back(Voter(5, "b"));
  groupStatus.mReplicas[1].mRetiring = true;
  BOOST_TEST(Steps(groupStatus) == "-2 ");
}

BOOST_AUTO_TEST_CASE(leader_never_removes_itself)
{
  ReplicaGroupStatus groupStatus = Three();
  groupStatus.mReplicas[0].mRetiring = true;
  groupStatus.mReplicas.push_back(Voter(4, "a"));
  for (const ReplicaStep& step : PlanReplicaSteps(groupStatus)) {
    BOOST_TEST((step.mId != groupStatus.mSelf));
  }
}
