// Guards against a stream whose events come from two software versions of a
// service. What two versions write does not fit together.
#define BOOST_TEST_MODULE entry_version
#include <boost/test/unit_test.hpp>

#include "direct_fixture.h"

using namespace caraway;

namespace {

struct TwoVersions : Direct
{
  TwoVersions()
  {
    SetVersion("t-a1", "v1");
    SetVersion("t-a2", "v2");
    mSent.clear();
  }

  void SetVersion(const char* aTarget, const char* aVersion)
  {
    Target target = mEntry.mConfig.mTargets.at(TargetId(aTarget));
    target.mVersion = aVersion;
    Change(SetTarget{ target });
  }

  // Sends a request that continues a stream after its first event.
  uint64_t SendResume()
  {
    ForwardRequest request;
    const uint64_t call = mNextCall++;
    request.mCall = HttpCallId(call);
    request.mId = RequestId("r" + std::to_string(call));
    request.mKey = "secret";
    request.mHost = "h";
    request.mMethod = "POST";
    request.mPath = "/resume/x";
    request.mResumeAfter = 1;
    Step(request);
    return call;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(version, TwoVersions)

BOOST_AUTO_TEST_CASE(stream_does_not_go_on_at_another_version)
{
  uint64_t call = 0;
  const StartTargetCall first = StartCall("resume", call);
  Begin(first, 200);
  Bytes(first, "id: 1\ndata: a\n\n");
  Break(first, Outcome::eUnknown);
  BOOST_TEST(Sent<SlotRequest>().empty());
  BOOST_TEST(mState[call] == "aborted");
}

BOOST_AUTO_TEST_CASE(stream_without_an_event_may_start_at_another_version)
{
  uint64_t call = 0;
  const StartTargetCall first = StartCall("resume", call);
  Begin(first, 200);
  Break(first, Outcome::eUnknown);
  BOOST_TEST(GrantNext(call).mUrl != first.mUrl);
}

BOOST_AUTO_TEST_CASE(stream_of_unknown_version_is_refused_and_not_run)
{
  const uint64_t call = SendResume();
  BOOST_TEST(Sent<SlotRequest>().empty());
  Advance(Seconds(1));
  BOOST_TEST(Status(call) == 503);
  BOOST_TEST(ErrorField(call, "outcome") == "not_run");
  BOOST_TEST(mTargetCalls.empty());
}

BOOST_AUTO_TEST_SUITE_END()
