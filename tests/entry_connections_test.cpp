// Guards what calls may be sent on an idle connection to a target: one that may
// not run again would be lost to a connection that ends.
#define BOOST_TEST_MODULE entry_connections
#include <boost/test/unit_test.hpp>

#include "direct_fixture.h"

using namespace caraway;

namespace {

struct Connections : Direct
{
  Connections()
  {
    mEntry.mSettings.mReuseConnections = true;
    ServingPlan plan = *mEntry.mConfig.mPlan;
    ++plan.mVersion;
    plan.mServices[0].mMaxConnections = 40;
    Change(SetPlan{ plan });
  }

  StartTargetCall FirstCall(const char* aRoute)
  {
    uint64_t call = 0;
    return StartCall(aRoute, call);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(call_that_may_run_again_may_be_sent_on_an_idle_one,
                        Connections)
{
  BOOST_TEST(!FirstCall("look").mFreshConnection);
  BOOST_TEST(!FirstCall("resume").mFreshConnection);
  // One attempt only, and not repeatable.
  BOOST_TEST(FirstCall("chat").mFreshConnection);
  BOOST_TEST(FirstCall("once").mFreshConnection);
  // Their connections are kept all the same.
  BOOST_TEST(FirstCall("once").mIdleLimit > 0u);
}

BOOST_FIXTURE_TEST_CASE(last_run_of_a_call_gets_its_own_connection, Connections)
{
  uint64_t call = 0;
  const StartTargetCall first = StartCall("look", call);
  BOOST_TEST(!first.mFreshConnection);
  Break(first, Outcome::eUnknown);
  BOOST_TEST(GrantNext(call).mFreshConnection);
}

BOOST_FIXTURE_TEST_CASE(run_that_did_not_happen_uses_up_none, Connections)
{
  uint64_t call = 0;
  const StartTargetCall first = StartCall("look", call);
  Begin(first, 503, true);
  BOOST_TEST(!GrantNext(call).mFreshConnection);
}

BOOST_FIXTURE_TEST_CASE(without_the_setting_nothing_is_kept, Connections)
{
  mEntry.mSettings.mReuseConnections = false;
  const StartTargetCall call = FirstCall("look");
  BOOST_TEST(call.mFreshConnection);
  BOOST_TEST(call.mIdleLimit == 0u);
}

BOOST_FIXTURE_TEST_CASE(plan_that_states_no_connections_keeps_none, Direct)
{
  mEntry.mSettings.mReuseConnections = true;
  uint64_t call = 0;
  BOOST_TEST(StartCall("look", call).mFreshConnection);
}

BOOST_FIXTURE_TEST_CASE(reused_connections_are_counted, Connections)
{
  const StartTargetCall call = FirstCall("look");
  Step(TargetCallSent{ call.mCall, true });
  BOOST_TEST(mEntry.mMetrics.mReusedConnections == 1u);
}
