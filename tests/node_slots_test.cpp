// Guards against slots beyond the places of a target, slots that stay taken
// after their entry has gone, and callers left in a queue that cannot serve
// them in time.
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

  // The last answer to this request since the last event.
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

  void Release(const char* aRequest, const PeerAddress& aEntry = kTestEntry)
  {
    Hear(aEntry, SlotRelease{ RequestId(aRequest), SlotEnding::eServed });
  }

  // Both places taken by requests that took a second each.
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

BOOST_AUTO_TEST_CASE(places_are_granted_up_to_the_limit_and_passed_on)
{
  BOOST_TEST((Ask("a") == SlotState::eGranted));
  BOOST_TEST((Ask("b") == SlotState::eGranted));
  BOOST_TEST((Ask("c") == SlotState::eQueued));
  BOOST_TEST((Ask("c") == SlotState::eQueued)); // asked again, still one place
  Release("b");
  BOOST_REQUIRE(Answered("c").has_value());
  BOOST_TEST((Answered("c")->mState == SlotState::eGranted));
  BOOST_TEST(Answered("c")->mRunning == 2u);
}

BOOST_AUTO_TEST_CASE(caller_that_would_miss_its_goal_is_told_to_come_back)
{
  Fill();
  BOOST_TEST((Ask("d", true) == SlotState::eRefused));
  BOOST_TEST(Answered("d")->mExpectedWait.Millis() > 0);
  // It has come back: it waits, whatever its goal.
  BOOST_TEST((Ask("d", false) == SlotState::eQueued));
}

BOOST_AUTO_TEST_CASE(place_that_would_be_late_is_not_kept_until_the_deadline)
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

// A release is lost when its message is; a node that has restarted knows no
// slot, and grants too many.
BOOST_AUTO_TEST_CASE(slots_that_the_entry_names_are_the_slots_that_are_taken)
{
  BOOST_TEST((Ask("a") == SlotState::eGranted));
  BOOST_TEST((Ask("b") == SlotState::eGranted));
  Pass(Seconds(4)); // a grant may be on its way past the list
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
