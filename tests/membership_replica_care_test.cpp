// Guards the control group without an operator: a lost disk does not keep its
// vote, spare replicas replace lost ones, and no step leaves the group without
// a majority.
#define BOOST_TEST_MODULE membership_replica_care
#include <boost/test/unit_test.hpp>

#include "caraway/membership/replica_care.h"

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

ReplicaCare
Three()
{
  ReplicaCare care;
  care.mReplicas = { Voter(1, "a"), Voter(2, "b"), Voter(3, "c") };
  care.mSelf = ReplicaId(1);
  return care;
}

std::string
Steps(const ReplicaCare& aCare)
{
  std::string text;
  for (const ReplicaStep& step : ReplicaSteps(aCare)) {
    text += step.mKind == ReplicaStepKind::eAdd       ? "+"
            : step.mKind == ReplicaStepKind::ePromote ? "^"
                                                      : "-";
    text += std::to_string(step.mId.mValue) + " ";
  }
  return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(whole_group_is_left_alone)
{
  BOOST_TEST(Steps(Three()) == "");
}

BOOST_AUTO_TEST_CASE(wiped_replica_loses_its_vote_before_it_joins)
{
  ReplicaCare care = Three();
  care.mReplicas[2] = Silent(care.mReplicas[2], false);
  care.mJoining = { { ReplicaId(30), "10.0.0.3:1", ZoneId("c") } };
  BOOST_TEST(Steps(care) == "-3 ");
  care.mReplicas.pop_back();
  BOOST_TEST(Steps(care) == "+30 ");
  care.mReplicas.push_back(Learner(30, "c"));
  BOOST_TEST(Steps(care) == "^30 ");
}

BOOST_AUTO_TEST_CASE(no_vote_is_removed_without_a_majority_left)
{
  ReplicaCare care = Three();
  care.mReplicas[1] = Silent(care.mReplicas[1]);
  care.mReplicas[2] = Silent(care.mReplicas[2]);
  care.mJoining = { { ReplicaId(30), "10.0.0.3:1", ZoneId("c") } };
  BOOST_TEST(Steps(care) == "");
}

BOOST_AUTO_TEST_CASE(spare_takes_the_place_of_a_lost_voter)
{
  ReplicaCare care = Three();
  care.mReplicas.push_back(Learner(4, "b"));
  BOOST_TEST(Steps(care) == "");
  care.mReplicas[1] = Silent(care.mReplicas[1]);
  BOOST_TEST(Steps(care) == "^4 ");
  care.mReplicas[3].mVoter = true;
  BOOST_TEST(Steps(care) == "-2 ");
}

BOOST_AUTO_TEST_CASE(learner_of_a_zone_without_voter_comes_first)
{
  ReplicaCare care = Three();
  care.mReplicas[2] = Silent(care.mReplicas[2]);
  care.mReplicas.push_back(Learner(4, "a"));
  care.mReplicas.push_back(Learner(5, "c"));
  BOOST_TEST(Steps(care) == "^5 ^4 ");
}

BOOST_AUTO_TEST_CASE(retiring_voter_leaves_only_after_its_successor_votes)
{
  ReplicaCare care = Three();
  BOOST_TEST(!MayRetire(care, ReplicaId(2)));
  care.mReplicas.push_back(Learner(4, "b"));
  BOOST_TEST(MayRetire(care, ReplicaId(2)));
  care.mReplicas[1].mRetiring = true;
  BOOST_TEST(Steps(care) == "^4 ");
  care.mReplicas[3].mVoter = true;
  BOOST_TEST(Steps(care) == "-2 ");
}

BOOST_AUTO_TEST_CASE(leader_never_removes_itself)
{
  ReplicaCare care = Three();
  care.mReplicas[0].mRetiring = true;
  care.mReplicas.push_back(Voter(4, "a"));
  for (const ReplicaStep& step : ReplicaSteps(care)) {
    BOOST_TEST((step.mId != care.mSelf));
  }
}
