// Guards the rules for jobs of a route, whose items have ids: results keep
// their position in order of completion, waiting tokens stay within the limit,
// only failures at targets count as attempts, and items that can still finish
// by the goal are leased first.
#define BOOST_TEST_MODULE ledger_routed_job
#include <boost/test/unit_test.hpp>

#include "tests/ledger_fixture.h"

using namespace caraway;

namespace {

CreateJob
RoutedJob(const std::string& aId, int aItems, uint32_t aTokens = 100)
{
  CreateJob create = NewJob(aId);
  create.mRoute = RouteId("night");
  create.mGoal = Seconds(18);
  for (int item = 0; item < aItems; ++item) {
    create.mItems.push_back({ "i" + std::to_string(item), aTokens });
  }
  return create;
}

FileReadPlan
Results(const LedgerReplica& aReplica, const char* aJob, uint64_t aAfter)
{
  ControlCall call;
  call.mWorkspace = kNorth;
  ReadFile read{ OutputFileId(JobId(aJob)), aAfter };
  read.mByCompletion = true;
  call.mBody = read;
  auto plan = PlanFileRead(aReplica.mLedger, call);
  BOOST_REQUIRE(plan.ok());
  return *plan;
}

std::string
ResultAt(const LedgerReplica& aReplica, const char* aJob, uint64_t aPlace)
{
  const FileReadPlan plan = Results(aReplica, aJob, aPlace);
  BOOST_REQUIRE(!plan.mRanges.empty());
  auto data = DataRange(plan.mRanges[0], ReadRange(aReplica, plan.mRanges[0]));
  BOOST_REQUIRE(data.ok());
  return ReadRange(aReplica, *data);
}

} // namespace

BOOST_AUTO_TEST_CASE(results_keep_the_position_of_their_completion)
{
  LedgerReplica replica;
  Upload(replica, 3);
  Call(replica, RoutedJob("job", 3));
  const ItemBatch first = Lease(replica, "n", 1, 1);
  const ItemBatch second = Lease(replica, "n", 2, 1);
  Answer(replica, "n", second);
  const std::string early = ResultAt(replica, "job", 0);
  Answer(replica, "n", first);
  BOOST_TEST(ResultAt(replica, "job", 0) == early);
  BOOST_TEST(ResultAt(replica, "job", 1) != early);
  BOOST_TEST(Results(replica, "job", 0).mTotal == 3u);
  BOOST_TEST(Results(replica, "job", 2).mRanges.empty());
  // A snapshot keeps the order.
  auto copy = DecodeLedger(EncodeLedger(replica.mLedger));
  BOOST_REQUIRE(copy.ok());
  replica.mLedger = *std::move(copy);
  BOOST_TEST(ResultAt(replica, "job", 0) == early);
}

BOOST_AUTO_TEST_CASE(resent_job_is_accepted_once_even_if_the_plan_changed)
{
  LedgerReplica replica;
  Upload(replica, 2);
  Call(replica, RoutedJob("job", 2));
  CreateJob again = RoutedJob("job", 2);
  again.mWindow = Seconds(99);
  BOOST_TEST((KindOfReply(Call(replica, again)) == ErrorKind::eNone));
  BOOST_TEST(Lease(replica, "n", 1).mItems.size() == 2u);
  BOOST_TEST(Lease(replica, "n", 2).mItems.empty());
}

BOOST_AUTO_TEST_CASE(waiting_tokens_of_a_route_stay_within_the_bound)
{
  LedgerReplica replica;
  Upload(replica, 2);
  CreateJob create = RoutedJob("one", 2, 100);
  create.mMaxWaitingTokens = 300;
  Call(replica, create);
  create.mJob = JobId("two");
  BOOST_TEST((KindOfReply(Call(replica, create)) == ErrorKind::eRateLimited));
  Answer(replica, "n", Lease(replica, "n", 1, 1));
  BOOST_TEST((KindOfReply(Call(replica, create)) == ErrorKind::eNone));
}

BOOST_AUTO_TEST_CASE(lost_node_costs_no_attempt_and_keeps_no_item)
{
  LedgerReplica replica;
  Upload(replica, 1);
  Call(replica, RoutedJob("job", 1));
  for (uint64_t round = 0; round < 10; ++round) {
    BOOST_TEST(Lease(replica, "n", 1, 64, 10 + round).mItems.size() == 1u);
    EndSession(replica, "n", 10 + round);
  }
  BOOST_TEST(Describe(replica, "job").mFailed == 0u);
}

BOOST_AUTO_TEST_CASE(progress_of_a_returned_item_goes_to_the_next_node)
{
  LedgerReplica replica;
  Upload(replica, 1);
  Call(replica, RoutedJob("job", 1));
  const ItemBatch batch = Lease(replica, "n", 1);
  ItemResults returnedResults;
  returnedResults.mNode = InstanceId("n");
  returnedResults.mNodeEpoch = Epoch(10);
  returnedResults.mJob = batch.mJob;
  returnedResults.mToken = batch.mToken;
  returnedResults.mResults = {
    { 0, ItemVerdict::eReturned, 0, "", { 7, "so far" } }
  };
  std::vector<LedgerEffect> effects;
  ApplyResults(replica.mLedger,
               LogIndex(++replica.mIndex),
               replica.mNow,
               0,
               returnedResults,
               effects);
  const ItemBatch next = Lease(replica, "m", 1);
  BOOST_REQUIRE(next.mItems.size() == 1u);
  BOOST_TEST(next.mItems[0].mProgress.mLastEvent == 7u);
  BOOST_TEST(next.mItems[0].mProgress.mText == "so far");
}

BOOST_AUTO_TEST_CASE(items_that_can_meet_the_goal_precede_late_ones)
{
  LedgerReplica replica;
  Upload(replica, 2);
  Call(replica, RoutedJob("late", 2));
  replica.mNow = replica.mNow + Seconds(17);
  Call(replica, RoutedJob("fresh", 2));
  LeaseItems request;
  request.mNode = InstanceId("n");
  request.mNodeEpoch = Epoch(10);
  request.mSequence = 1;
  request.mModels = { kModel };
  request.mWanted = 1;
  request.mTimePerToken = Millis(50); // an item of 100 tokens takes 5 s
  const auto lease = [&] {
    ItemBatch batch = ApplyLease(
      replica.mLedger, LogIndex(++replica.mIndex), replica.mNow, request);
    ++request.mSequence;
    return batch.mJob.mValue;
  };
  BOOST_TEST(lease() == "fresh");
  BOOST_TEST(lease() == "fresh");
  BOOST_TEST(lease() == "late"); // gets the remaining capacity
}

BOOST_AUTO_TEST_CASE(longest_item_that_fits_goes_first)
{
  LedgerReplica replica;
  Upload(replica, 3);
  CreateJob create = RoutedJob("job", 3);
  create.mItems[0].mTokens = 50;
  create.mItems[1].mTokens = 300;
  create.mItems[2].mTokens = 1000;
  Call(replica, create);
  LeaseItems request;
  request.mNode = InstanceId("n");
  request.mNodeEpoch = Epoch(10);
  request.mSequence = 1;
  request.mModels = { kModel };
  request.mWanted = 1;
  request.mTimePerToken = Millis(50); // 1,000 tokens take 50 s, past the goal
  const ItemBatch batch = ApplyLease(
    replica.mLedger, LogIndex(++replica.mIndex), replica.mNow, request);
  BOOST_REQUIRE(batch.mItems.size() == 1u);
  BOOST_TEST(batch.mItems[0].mIndex == 1u);
}

BOOST_AUTO_TEST_CASE(expired_items_are_listed_as_failed)
{
  LedgerReplica replica;
  Upload(replica, 2);
  CreateJob create = RoutedJob("job", 2);
  create.mWindow = Seconds(60);
  Call(replica, create);
  Answer(replica, "n", Lease(replica, "n", 1, 1));
  Tick(replica, replica.mNow + Seconds(61));
  BOOST_TEST(Results(replica, "job", 0).mItems.size() == 2u);
  BOOST_TEST(ResultAt(replica, "job", 1).find("\"error\"") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(removed_route_ends_its_jobs)
{
  LedgerReplica replica;
  Upload(replica, 2);
  Call(replica, RoutedJob("job", 2));
  ServingPlan plan;
  ApplyPlanToJobs(replica.mLedger,
                  LogIndex(++replica.mIndex),
                  replica.mNow,
                  0,
                  plan,
                  replica.mEffects);
  BOOST_TEST(Lease(replica, "n", 1).mItems.empty());
  BOOST_TEST(Describe(replica, "job").mFailed == 2u);
}

// Guards against items that go on at the service that lost their route.
BOOST_AUTO_TEST_CASE(lease_of_a_job_that_moves_is_known_as_moved)
{
  LedgerReplica replica;
  Upload(replica, 2);
  Call(replica, RoutedJob("job", 2));
  const ItemBatch batch = Lease(replica, "n", 1);
  const auto state = [&](const char* aModel, uint64_t aEpoch = 10) {
    return StateOfLease(replica.mLedger,
                        InstanceId("n"),
                        Epoch(aEpoch),
                        batch.mToken,
                        { ModelId(aModel) });
  };
  BOOST_TEST((state(kModel.mValue.c_str()) == LeaseState::eHeld));
  BOOST_TEST((state(kModel.mValue.c_str(), 11) == LeaseState::eEnded));
  ServingPlan plan;
  plan.mRoutes.resize(1);
  plan.mRoutes[0].mId = RouteId("night");
  plan.mRoutes[0].mShares = { { ServiceId("other"), 1 } };
  ApplyPlanToJobs(replica.mLedger,
                  LogIndex(++replica.mIndex),
                  replica.mNow,
                  0,
                  plan,
                  replica.mEffects);
  BOOST_TEST((state(kModel.mValue.c_str()) == LeaseState::eMoved));
  BOOST_TEST((state("other") == LeaseState::eHeld));
  // Returned items are leased for the other service only.
  Answer(replica, "n", batch, ItemVerdict::eReturned);
  BOOST_TEST((state("other") == LeaseState::eEnded));
  BOOST_TEST(Lease(replica, "n", 2).mItems.empty());
  BOOST_TEST(HasItemsToLease(replica.mLedger, { ModelId("other") }));
}

namespace {

void
HoldItem(LedgerReplica& aReplica, const ItemBatch& aBatch, uint32_t aItem)
{
  ItemResults results;
  results.mNode = InstanceId("n");
  results.mNodeEpoch = Epoch(10);
  results.mJob = aBatch.mJob;
  results.mToken = aBatch.mToken;
  results.mResults = { { aItem, ItemVerdict::eHeld, 0, "", {} } };
  std::vector<LedgerEffect> effects;
  ApplyResults(aReplica.mLedger,
               LogIndex(++aReplica.mIndex),
               aReplica.mNow,
               0,
               results,
               effects);
}

} // namespace

// A node of an earlier version keeps items back by their input.
BOOST_AUTO_TEST_CASE(item_kept_back_by_its_node_is_leased_again)
{
  LedgerReplica replica;
  Upload(replica, 2);
  Call(replica, RoutedJob("job", 2));
  HoldItem(replica, Lease(replica, "n", 1, 1), 0);
  BOOST_TEST(Describe(replica, "job").mFailed == 0u);
  BOOST_TEST(Lease(replica, "m", 1).mItems.size() == 2u);
  Tick(replica, replica.mNow + Seconds(30));
  BOOST_TEST(Describe(replica, "job").mFailed == 0u);
}

// Every target may end under an item, one after the other, without any fault of
// the item.
BOOST_AUTO_TEST_CASE(item_is_owed_however_many_targets_end_under_it)
{
  LedgerReplica replica;
  Upload(replica, 1);
  Call(replica, RoutedJob("job", 1));
  for (uint64_t run = 1; run <= 20; ++run) {
    const ItemBatch batch = Lease(replica, "n", run);
    BOOST_REQUIRE(batch.mItems.size() == 1u);
    ItemResults results;
    results.mNode = InstanceId("n");
    results.mNodeEpoch = Epoch(10);
    results.mJob = batch.mJob;
    results.mToken = batch.mToken;
    results.mResults = { { 0, ItemVerdict::eReturned, 0, "", {} } };
    std::vector<LedgerEffect> effects;
    ApplyResults(replica.mLedger,
                 LogIndex(++replica.mIndex),
                 replica.mNow,
                 0,
                 results,
                 effects);
  }
  BOOST_TEST(Describe(replica, "job").mFailed == 0u);
}

// Snapshots of format 4 have a set of items that were kept back, before the
// versions of the progress. A damaged one must not be expanded item by item.
BOOST_AUTO_TEST_CASE(items_kept_back_in_an_earlier_snapshot_are_checked)
{
  LedgerReplica replica;
  Upload(replica, 3);
  Call(replica, RoutedJob("job", 3));
  BOOST_REQUIRE(Lease(replica, "n", 1, 1).mItems.size() == 1u);
  const std::string bytes = EncodeLedger(replica.mLedger);
  // At how many places the set can be inserted.
  const auto decodes = [&](uint64_t aCount, uint32_t aBegin, uint32_t aEnd) {
    const int64_t since = 0;
    std::string held(reinterpret_cast<const char*>(&aCount), sizeof(aCount));
    if (aCount > 0) {
      held.append(reinterpret_cast<const char*>(&aBegin), sizeof(aBegin));
      held.append(reinterpret_cast<const char*>(&aEnd), sizeof(aEnd));
    }
    held.append(reinterpret_cast<const char*>(&since), sizeof(since));
    size_t known = 0;
    for (size_t at = 4; at <= bytes.size(); ++at) {
      std::string old = bytes;
      old[0] = 4;
      known += DecodeLedger(old.insert(at, held)).ok() ? 1 : 0;
    }
    return known;
  };
  // Item 0 is leased, so it cannot be kept back as well.
  BOOST_TEST(decodes(1, 0, 1) == 0u);
  BOOST_TEST(decodes(1, 0, 4294967295U) == 0u);
  BOOST_TEST(decodes(0, 0, 0) > 0u);
}
