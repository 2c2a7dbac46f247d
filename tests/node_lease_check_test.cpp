// Guards against batch items that a node starts although control has ended
// their job, or has moved it to a service that the node's target does not run.
// A node learns of both from the replies to its renewals.
#define BOOST_TEST_MODULE node_lease_check
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "tests/node_fixture.h"

using namespace caraway;

namespace {

const FencingToken kLease(50); // of NodeFixture::AnswerLeaseItems

// Four items run, two wait.
struct SixItems : NodeFixture
{
  std::vector<StartTargetCall> mRunning;

  SixItems()
    : NodeFixture(4)
  {
    mNode.mSettings.mServeWithoutLease = true;
    MakeReady();
    AnswerLeaseItems(6);
    mRunning = Started();
    BOOST_REQUIRE(mRunning.size() == 4u);
  }

  RenewReply Reply() const
  {
    RenewReply reply;
    reply.mInstance = InstanceId("node-1");
    reply.mEpoch = mNode.mSession.mEpoch;
    reply.mLease = Seconds(3);
    reply.mSentAt = mNow.mMicros;
    return reply;
  }

  void MoveLease()
  {
    RenewReply reply = Reply();
    reply.mMovedLeases = { kLease };
    Hear(kTestControl, reply);
  }

  void Finish(const StartTargetCall& aCall)
  {
    Answer(aCall.mCall, R"({"choices":[]})");
  }

  // Results sent until now, after the time in which they are collected.
  std::ptrdiff_t CountReturned()
  {
    Wait(Millis(100));
    std::ptrdiff_t returned = 0;
    for (const auto& message : Sent<ItemResults>()) {
      returned +=
        std::count_if(message.mResults.begin(),
                      message.mResults.end(),
                      [](const ItemResult& aResult) {
                        return aResult.mVerdict == ItemVerdict::eReturned;
                      });
    }
    return returned;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(renewals_name_the_leases_of_all_items, SixItems)
{
  Wait(Seconds(1));
  const auto renewals = Sent<Renew>();
  BOOST_REQUIRE(renewals.size() == 1u);
  BOOST_TEST((renewals[0].mLeases == std::vector{ kLease }));
}

BOOST_FIXTURE_TEST_CASE(items_of_an_ended_lease_stop, SixItems)
{
  RenewReply reply = Reply();
  reply.mEndedLeases = { kLease };
  Hear(kTestControl, reply);
  BOOST_TEST(Actions<CancelTargetCall>().size() == 4u);
  BOOST_TEST(Started().empty());
  BOOST_TEST(mNode.mBatch.mTasks.empty());
  BOOST_TEST(CountReturned() == 0);
}

BOOST_FIXTURE_TEST_CASE(waiting_items_of_a_moved_job_are_returned, SixItems)
{
  MoveLease();
  BOOST_TEST(Actions<CancelTargetCall>().empty());
  BOOST_TEST(CountReturned() == 2);
  Finish(mRunning[0]);
  BOOST_TEST(Started().empty());
  BOOST_TEST(mNode.mBatch.mTasks.size() == 3u);
}

// An item that runs may finish, but once it has made way for online work it
// must not start here again.
BOOST_FIXTURE_TEST_CASE(preempted_item_of_a_moved_job_is_returned, SixItems)
{
  MoveLease();
  BOOST_REQUIRE(CountReturned() == 2);
  const TargetCallId online = Run(Call("r-1"));
  BOOST_REQUIRE(!online.IsNone());
  BOOST_REQUIRE(Actions<CancelTargetCall>().size() == 1u);
  Wait(Millis(1));
  BOOST_TEST(CountReturned() == 1);
  Answer(online, "{}");
  BOOST_TEST(Started().empty());
}

BOOST_FIXTURE_TEST_CASE(items_start_again_once_their_job_has_moved_back,
                        SixItems)
{
  MoveLease();
  BOOST_REQUIRE(CountReturned() == 2);
  Hear(kTestControl, Reply());
  const TargetCallId online = Run(Call("r-1"));
  BOOST_REQUIRE(Actions<CancelTargetCall>().size() == 1u);
  Wait(Millis(1));
  BOOST_TEST(CountReturned() == 0);
  Answer(online, "{}");
  BOOST_TEST(Started().size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(overtaken_reply_changes_nothing, SixItems)
{
  RenewReply old = Reply();
  mNow = mNow + Millis(10);
  MoveLease();
  old.mEndedLeases = { kLease };
  Hear(kTestControl, old);
  BOOST_TEST(mNode.mBatch.mTasks.size() == 4u);
  BOOST_TEST(mNode.mBatch.mMovedLeases.contains(kLease));
}

// A node that serves online work without control must not start items without
// it: their job may have ended meanwhile.
BOOST_FIXTURE_TEST_CASE(no_item_starts_without_contact_to_control, SixItems)
{
  for (int step = 0; step < 8; ++step) {
    mNow = mNow + Millis(500);
    Announce();
  }
  Finish(mRunning[0]);
  BOOST_TEST(Started().empty());
  const TargetCallId online = Run(Call("r-1"));
  BOOST_REQUIRE(!online.IsNone());
  Answer(online, "{}");
  BOOST_TEST(Started().empty());
  GrantLease();
  BOOST_TEST(Started().size() == 1u);
}

// The answer to a lease request was under way for long, so that its items may
// be those of a job that has ended since.
BOOST_FIXTURE_TEST_CASE(late_items_are_checked_before_they_start, SixItems)
{
  for (const StartTargetCall& call : mRunning) {
    Finish(call);
  }
  for (const StartTargetCall& call : Started()) {
    Finish(call);
  }
  Wait(Millis(100));
  while (!mNode.mBatch.mLeasing) {
    Wait(Millis(50));
  }
  Wait(Millis(600));
  GrantLease();
  Wait(Millis(600));
  const size_t before = mNode.mBatch.mTasks.size();
  AnswerLeaseItems(2);
  BOOST_REQUIRE(mNode.mBatch.mTasks.size() == before + 2);
  BOOST_TEST(Started().empty());
  BOOST_REQUIRE(Sent<Renew>().size() == 1u);
  GrantLease();
  BOOST_TEST(!Started().empty());
}
