// Guards against an end by the memory limit of an entry that collects many
// large answers of targets until they are whole.
#define BOOST_TEST_MODULE entry_collected
#include <boost/test/unit_test.hpp>

#include "direct_fixture.h"

using namespace caraway;

namespace {

struct Collecting : Direct
{
  uint64_t mFirst = 0;
  uint64_t mSecond = 0;
  StartTargetCall mFirstCall;
  StartTargetCall mSecondCall;

  Collecting()
  {
    mEntry.mSettings.mMaxCollectedBytes = 150 << 10;
    mFirstCall = StartCall("look", mFirst);
    Begin(mFirstCall, 200);
    Bytes(mFirstCall, std::string(90 << 10, 'a'));
    mSecondCall = StartCall("look", mSecond);
    Begin(mSecondCall, 200);
    Bytes(mSecondCall, std::string(60 << 10, 'b'));
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(answers_within_the_share_are_sent_when_whole,
                        Collecting)
{
  BOOST_TEST(mBegins.empty());
  Step(TargetCallEnded{ mFirstCall.mCall });
  BOOST_TEST(mResponses.at(mFirst).mBody.size() == 90U << 10);
}

BOOST_FIXTURE_TEST_CASE(large_answers_beyond_the_share_are_passed_on,
                        Collecting)
{
  Bytes(mSecondCall, std::string(10 << 10, 'b'));
  BOOST_TEST(mBegins.count(mSecond) == 1U);
  BOOST_TEST(mBegins.count(mFirst) == 0U);
  Bytes(mSecondCall, std::string(5 << 10, 'b'));
  Step(TargetCallEnded{ mSecondCall.mCall });
  BOOST_TEST(mState.at(mSecond) == "ended");
  BOOST_TEST(mChunks.at(mSecond) == std::string(75 << 10, 'b'));
}

BOOST_FIXTURE_TEST_CASE(a_break_of_an_answer_that_is_passed_on_shows,
                        Collecting)
{
  const size_t calls = mTargetCalls.size();
  Bytes(mSecondCall, std::string(10 << 10, 'b'));
  Break(mSecondCall, Outcome::eUnknown);
  BOOST_TEST(mState.at(mSecond) == "aborted");
  BOOST_TEST(mTargetCalls.size() == calls); // no second try
}
