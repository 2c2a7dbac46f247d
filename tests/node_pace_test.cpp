// Guards against granting a cold target more starts than it tolerates: a node
// that has just started does not know earlier starts, and the cold rate and the
// cold time can change.
#define BOOST_TEST_MODULE node_pace
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "tests/node_fixture.h"

using namespace caraway;

namespace {

const char* const kAddress = "127.0.0.1:90";

size_t
MostInASecond(const std::vector<MonoTime>& aTimes)
{
  size_t most = 0;
  for (auto from = aTimes.begin(); from != aTimes.end(); ++from) {
    const auto end = std::find_if(from, aTimes.end(), [&](MonoTime aTime) {
      return aTime - *from >= Seconds(1);
    });
    most = std::max<size_t>(most, end - from);
  }
  return most;
}

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

  // Sets the cold rate, as control does from the serving plan.
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

  // Requests slots for aTime and releases each at once. Returns the grant
  // times.
  std::vector<MonoTime> Grants(Duration aTime)
  {
    std::vector<MonoTime> granted;
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
  void Count(std::vector<MonoTime>& aGranted)
  {
    for (const SlotReply& reply : Sent<SlotReply>()) {
      if (reply.mState == SlotState::eGranted) {
        aGranted.push_back(mNow);
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
  BOOST_TEST(Grants(Millis(900)).empty());
  BOOST_TEST(!Grants(Seconds(1)).empty());
}

BOOST_AUTO_TEST_CASE(cold_target_gets_its_stated_rate_and_warm_target_more)
{
  SetRate(10);
  Report(Seconds(6));
  Grants(Millis(900));
  const auto cold = Grants(Seconds(4));
  BOOST_TEST(MostInASecond(cold) == 10u);
  BOOST_TEST(cold.size() >= 30u);
  Grants(Seconds(2));
  // The target tolerates 1.5 x 10 + 5 starts; 8 granted slots may be used late.
  BOOST_TEST(MostInASecond(Grants(Seconds(4))) == 12u);
}

BOOST_AUTO_TEST_CASE(grants_follow_a_change_of_the_cold_rate)
{
  SetRate(20);
  Report({});
  Grants(Seconds(2));
  SetRate(8);
  Grants(Seconds(1));
  BOOST_TEST(MostInASecond(Grants(Seconds(4))) == 9u); // 1.5 x 8 + 5 - 8
}

BOOST_AUTO_TEST_SUITE_END()
