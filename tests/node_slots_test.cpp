// Guards against granting more slots than the target has, slots that stay taken
// after their entry is lost, and requests that wait in a queue although they
// cannot be served in time.
#define BOOST_TEST_MODULE node_slots
#include <boost/test/unit_test.hpp>

#include "tests/node_fixture.h"

using namespace caraway;

namespace {

const PeerAddress kOtherEntry("127.0.0.1:9");

struct Slots : NodeFixture
{
  Slots()
    : NodeFixture(2)
  {
    MakeReady();
    mNode.mScheduler.mSettings.mFixedLimit = 2;
  }

  // The last reply to this request that the last event caused.
  std::optional<SlotReply> Answered(const char* aRequest) const
  {
    std::optional<SlotReply> found;
    for (const SlotReply& reply : Sent<SlotReply>()) {
      if (reply.mRequest.mValue == aRequest) {
        found = reply;
      }
    }
    return found;
  }

  SlotState Ask(const char* aRequest,
                bool aMayReturn = false,
                const PeerAddress& aEntry = kTestEntry)
  {
    SlotRequest ask;
    ask.mRequest = RequestId(aRequest);
    ask.mWorkspace = WorkspaceId("w");
    ask.mTimeToGoal = Millis(300);
    ask.mMayReturn = aMayReturn;
    ask.mWait = Seconds(5);
    ask.mOutputTokens = 100;
    Hear(aEntry, ask);
    const auto reply = Answered(aRequest);
    BOOST_REQUIRE(reply.has_value());
    return reply->mState;
  }

  void Release(const char* aRequest,
               const PeerAddress& aEntry = kTestEntry,
               SlotEnding aEnding = SlotEnding::eServed)
  {
    Hear(aEntry, SlotRelease{ RequestId(aRequest), aEnding });
  }

  // Takes both slots, after a call of one second has set the expected duration.
  void Fill()
  {
    BOOST_REQUIRE(Ask("a") == SlotState::eGranted);
    mNow = mNow + Seconds(1);
    Release("a");
    BOOST_REQUIRE(Ask("b") == SlotState::eGranted);
    BOOST_REQUIRE(Ask("c") == SlotState::eGranted);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(slots, Slots)

BOOST_AUTO_TEST_CASE(slots_are_granted_up_to_the_limit_and_reused)
{
  BOOST_TEST((Ask("a") == SlotState::eGranted));
  BOOST_TEST((Ask("b") == SlotState::eGranted));
  BOOST_TEST((Ask("c") == SlotState::eQueued));
  BOOST_TEST(
    (Ask("c") == SlotState::eQueued)); // a repeated request is queued once
  Release("b");
  BOOST_REQUIRE(Answered("c").has_value());
  BOOST_TEST((Answered("c")->mState == SlotState::eGranted));
  BOOST_TEST(Answered("c")->mRunning == 2u);
}

// Requests wait at several cold targets. Those that start elsewhere must not
// use up the few starts of the others.
BOOST_AUTO_TEST_CASE(grant_that_is_not_used_leaves_its_start_to_another)
{
  mNode.mScheduler.mPace.mPerSecond = 1;
  mNode.mScheduler.mPace.mQuietUntil = MonoTime{ 0 }; // of the node's start
  BOOST_TEST((Ask("a") == SlotState::eGranted));
  BOOST_TEST((Ask("b") == SlotState::eQueued));
  Release("a", kTestEntry, SlotEnding::eUnused);
  BOOST_REQUIRE(Answered("b").has_value());
  BOOST_TEST((Answered("b")->mState == SlotState::eGranted));
  // A call that was cancelled may have reached the target.
  BOOST_TEST((Ask("c") == SlotState::eQueued));
  Release("b", kTestEntry, SlotEnding::eCancelled);
  BOOST_TEST(!Answered("c").has_value());
}

BOOST_AUTO_TEST_CASE(request_that_would_miss_its_goal_is_refused_once)
{
  Fill();
  BOOST_TEST((Ask("d", true) == SlotState::eRefused));
  BOOST_TEST(Answered("d")->mExpectedWait.Millis() > 0);
  // On the retry it may not be returned again, so it is queued.
  BOOST_TEST((Ask("d", false) == SlotState::eQueued));
}

BOOST_AUTO_TEST_CASE(queued_request_is_refused_once_its_start_goal_has_passed)
{
  Fill();
  BOOST_TEST((Ask("d") == SlotState::eQueued));
  Wait(Millis(500));
  BOOST_TEST(!Answered("d").has_value());
  Wait(Seconds(3));
  BOOST_REQUIRE(Answered("d").has_value());
  BOOST_TEST((Answered("d")->mState == SlotState::eRefused));
}

BOOST_AUTO_TEST_CASE(slots_of_an_entry_end_with_its_connection)
{
  BOOST_TEST((Ask("a", false, kOtherEntry) == SlotState::eGranted));
  BOOST_TEST((Ask("b", false, kOtherEntry) == SlotState::eGranted));
  BOOST_TEST((Ask("c") == SlotState::eQueued));
  Give(PeerLost{ kOtherEntry });
  BOOST_REQUIRE(Answered("c").has_value());
  BOOST_TEST((Answered("c")->mState == SlotState::eGranted));
}

// A lost SlotRelease message leaves a slot taken, and a restarted node knows no
// slots and would grant too many. The SlotsHeld list of the entry corrects
// both.
BOOST_AUTO_TEST_CASE(held_list_of_the_entry_replaces_the_granted_slots)
{
  BOOST_TEST((Ask("a") == SlotState::eGranted));
  BOOST_TEST((Ask("b") == SlotState::eGranted));
  Pass(Seconds(4)); // younger grants are kept: they may cross the list
  Hear(kTestEntry, SlotsHeld{ { RequestId("b") } });
  BOOST_TEST((Ask("c") == SlotState::eGranted));
  BOOST_TEST((Ask("d") == SlotState::eQueued));
  Slots restarted;
  restarted.Hear(kTestEntry, SlotsHeld{ { RequestId("b"), RequestId("c") } });
  BOOST_TEST((restarted.Ask("e") == SlotState::eQueued));
  restarted.Release("b");
  BOOST_TEST((restarted.Answered("e")->mState == SlotState::eGranted));
}

BOOST_AUTO_TEST_SUITE_END()
