// Guards batch items against a version on trial: the share of the items that it
// gets, with many nodes that ask at once, and results that count twice.
#define BOOST_TEST_MODULE control_rollout_items
#include <boost/test/unit_test.hpp>

#include "caraway/control/step.h"

using namespace caraway;

namespace {

constexpr double kShare = 0.1;
constexpr uint32_t kWanted = 8;
constexpr int kNodes = 12; // of each version

struct Leader
{
  Control mControl;
  std::vector<ControlAction> mOut;
  ControlStep mStep{ mControl, MonoTime{ 1000000 }, 0, mOut, {} };
  Rollout mRollout;

  Leader()
  {
    mControl.mSettings.mExposure.mShare = kShare;
    for (int at = 0; at < kNodes; ++at) {
      AddNode("old-" + std::to_string(at), "v1");
      AddNode("new-" + std::to_string(at), "v2");
    }
    mRollout.mService = ServiceId("engine");
    mRollout.mTo = "v2";
    mRollout.mFrom = { "v1" };
    mRollout.mNumber = 7;
    EnterPhase(RolloutPhase::eTrial);
  }

  ConfigView& View() { return mControl.mState.mConfig.mView; }

  void AddNode(const std::string& aName, const char* aVersion)
  {
    Target target;
    target.mId = TargetId("target of " + aName);
    target.mService = ServiceId("engine");
    target.mVersion = aVersion;
    View().mTargets[target.mId] = target;
    Member node;
    node.mInstance = InstanceId(aName);
    node.mRole = MemberRole::eNode;
    node.mTarget.mId = target.mId;
    View().mMembers[node.mInstance] = node;
  }

  void EnterPhase(RolloutPhase aPhase)
  {
    mRollout.mPhase = aPhase;
    View().mRollouts[mRollout.mService] = mRollout;
  }

  // The node asks for items. Returns how many are proposed.
  uint32_t Ask(const std::string& aNode)
  {
    const uint32_t items = ItemsForRollout(mStep, InstanceId(aNode), kWanted);
    if (items > 0) {
      ReserveItems(mStep, InstanceId(aNode));
    }
    return items;
  }

  // What was proposed for the node is applied.
  void Lease(const std::string& aNode, uint32_t aItems)
  {
    ItemBatch batch;
    batch.mItems.resize(aItems);
    CountLeasedItems(mStep, InstanceId(aNode), batch);
  }

  void Finish(const std::string& aNode,
              uint64_t aSequence,
              ItemVerdict aVerdict)
  {
    ItemResults results;
    results.mNode = InstanceId(aNode);
    results.mNodeEpoch = Epoch(3);
    results.mSequence = aSequence;
    results.mResults = { { 0, aVerdict, 200, "" } };
    CountItemResults(mStep, results);
  }

  const RolloutWatch& Watch()
  {
    return mControl.mLeadership.mRollouts.at(mRollout.mService);
  }
};

std::string
Name(const char* aKind, int aAt)
{
  return aKind + std::to_string(aAt);
}

} // namespace

BOOST_FIXTURE_TEST_CASE(version_on_trial_gets_its_share_of_the_items, Leader)
{
  uint32_t leased = 0;
  uint32_t trial = 0;
  for (int round = 0; round < 200; ++round) {
    // One old node, and all on trial at the same time, before anything is
    // applied.
    std::vector<std::pair<std::string, uint32_t>> proposed;
    for (int at = 0; at < kNodes; ++at) {
      const std::string node = Name("new-", at);
      proposed.emplace_back(node, Ask(node));
      trial += proposed.back().second;
    }
    BOOST_REQUIRE(trial <= kShare * leased);
    proposed.emplace_back("old-0", Ask("old-0"));
    for (const auto& [node, items] : proposed) {
      leased += items;
      if (items > 0) {
        Lease(node, items);
      }
    }
  }
  BOOST_TEST(trial > kShare * leased / 2);
}

// Otherwise the trial would starve on requests that found no item ready.
BOOST_FIXTURE_TEST_CASE(share_that_was_not_used_is_given_back, Leader)
{
  Lease("old-0", 64);
  for (int round = 0; round < 100; ++round) {
    BOOST_REQUIRE(Ask("new-0") == 1);
    Lease("new-0", 0);
  }
}

BOOST_FIXTURE_TEST_CASE(items_follow_the_phase, Leader)
{
  EnterPhase(RolloutPhase::eMoving);
  BOOST_TEST(Ask("old-0") == 0u);
  BOOST_TEST(Ask("new-0") == kWanted);
  EnterPhase(RolloutPhase::eRolledBack);
  BOOST_TEST(Ask("old-0") == kWanted);
  BOOST_TEST(Ask("new-0") == 0u);
  EnterPhase(RolloutPhase::eCompleted);
  BOOST_TEST(Ask("old-0") == 0u);
  BOOST_TEST(Ask("new-0") == kWanted);
}

// Nodes send results again until they are acknowledged; one failure would count
// as many and take a sound version back.
BOOST_FIXTURE_TEST_CASE(results_that_are_sent_again_count_once, Leader)
{
  for (int copy = 0; copy < 20; ++copy) {
    Finish("new-0", 1, ItemVerdict::eRetryable);
    Finish("old-0", 1, ItemVerdict::eDone);
  }
  Finish("new-0", 2, ItemVerdict::eDone);
  const AnswerCounts& trial = Watch().mTrialItems.begin()->second;
  BOOST_TEST(trial.mAnswers == 2u);
  BOOST_TEST(trial.mFailures == 1u);
  BOOST_TEST(Watch().mItemsBeside.mAnswers == 1u);
}

// Of other verdicts the item, or nobody, is the cause.
BOOST_FIXTURE_TEST_CASE(results_that_say_nothing_of_a_version_do_not_count,
                        Leader)
{
  Finish("new-0", 1, ItemVerdict::ePermanent);
  Finish("new-0", 2, ItemVerdict::eReturned);
  BOOST_TEST(Watch().mTrialItems.begin()->second.mAnswers == 0u);
}
