// Guards a cold target against the node beside it: one that has just started
// knows no earlier starts, and the rate and the cold time change.
#define BOOST_TEST_MODULE node_pace
#include <boost/test/unit_test.hpp>

#include "tests/node_fixture.h"

using namespace caraway;

namespace {

const char* const kAddress = "127.0.0.1:90";

struct Directory : NodeFixture
{
  Directory()
  {
    mNode.mSettings.mTargetAddress = kAddress;
    mNode.mSettings.mServeWithoutLease = true;
  }

  void Report(Duration aColdFor)
  {
    Target target;
    target.mId = TargetId("t");
    target.mService = ServiceId("engine");
    target.mAddress = kAddress;
    target.mZone = ZoneId("zone-a");
    target.mSlots = 8;
    target.mStartedAt = 1;
    target.mColdFor = aColdFor;
    target.mColdRate = mRate;
    mNode.mSession.mView.mTargets[target.mId] = target;
    Publish();
  }

  // As control fills it in from the serving plan.
  void SetRate(double aColdRate)
  {
    mRate = aColdRate;
    auto target = mNode.mSession.mView.mTargets.find(TargetId("t"));
    if (target != mNode.mSession.mView.mTargets.end()) {
      target->second.mColdRate = aColdRate;
      target->second.mColdFor = {};
      Publish();
    }
  }

  void Publish()
  {
    ++mNode.mSession.mView.mRevision.mValue;
    Give(Wakeup{});
  }

  // Grants within aTime, each place freed at once.
  size_t Grants(Duration aTime)
  {
    size_t granted = 0;
    for (const MonoTime end = mNow + aTime; mNow < end;) {
      SlotRequest ask;
      ask.mRequest = RequestId("r" + std::to_string(mNextRequest++));
      ask.mWait = Seconds(30);
      Hear(kTestEntry, ask);
      Count(granted);
      mNow = mNow + Millis(10);
      Give(Wakeup{});
      Count(granted);
    }
    return granted;
  }

private:
  void Count(size_t& aGranted)
  {
    for (const SlotReply& reply : Sent<SlotReply>()) {
      if (reply.mState == SlotState::eGranted) {
        ++aGranted;
        mFree.push_back(reply.mRequest);
      }
    }
    for (const RequestId& request : std::exchange(mFree, {})) {
      Hear(kTestEntry, SlotRelease{ request, SlotEnding::eServed });
      Count(aGranted);
    }
  }

  double mRate = 0;
  uint64_t mNextRequest = 1;
  std::vector<RequestId> mFree;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(pace, Directory)

BOOST_AUTO_TEST_CASE(nothing_starts_in_the_first_second)
{
  SetRate(10);
  Report(Seconds(30));
  BOOST_TEST(Grants(Millis(900)) == 0u);
  BOOST_TEST(Grants(Seconds(1)) > 0u);
}

BOOST_AUTO_TEST_CASE(cold_target_gets_its_rate_and_a_warm_one_more)
{
  SetRate(10);
  Report(Seconds(4));
  Grants(Seconds(1));
  const size_t cold = Grants(Seconds(2));
  BOOST_TEST(cold >= 18u);
  BOOST_TEST(cold <= 20u);
  Grants(Seconds(2));
  const size_t warm = Grants(Seconds(2));
  BOOST_TEST(warm > cold);
  BOOST_TEST(warm <= 24u); // 1.5 x 10 + 5 - 8 places, twice
}

BOOST_AUTO_TEST_CASE(change_of_the_rate_is_followed)
{
  SetRate(20);
  Report({});
  Grants(Seconds(2));
  SetRate(8);
  Grants(Seconds(1));
  BOOST_TEST(Grants(Seconds(2)) <= 18u); // 1.5 x 8 + 5 - 8 places, twice
}

BOOST_AUTO_TEST_SUITE_END()
