// Guards against load that a cold target cannot bear: after its start, after a
// turn to cold in the middle of work, and beside calls that a restarted node
// does not know.
#define BOOST_TEST_MODULE node_cold
#include <boost/test/unit_test.hpp>

#include "standins/node_world.h"
#include "standins/service_model.h"

using namespace caraway;

BOOST_AUTO_TEST_CASE(restarted_targets_never_get_more_than_they_bear)
{
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    WorldSettings settings;
    settings.mColdStart = true;
    settings.mBatch = true;
    NodeWorld world;
    InitWorld(world, settings);
    Random random(seed);
    const auto restart = static_cast<int64_t>(DrawUnit(random) * 10e6);
    At(world, world.mNow + Seconds(14) + Micros(restart), [&world]() {
      RestartTarget(world);
    });
    for (int n = 0; n < 100; ++n) {
      const auto when = static_cast<int64_t>(DrawUnit(random) * 25e6);
      At(world, world.mNow + Seconds(2) + Micros(when), [&world]() {
        OnlineCall call;
        call.mOutput = 20;
        SendOnline(world, call);
      });
    }
    RunUntil(world, world.mNow + Seconds(30));
    BOOST_TEST(world.mEngine.mTokens > 100u);
    BOOST_TEST(world.mEngine.mCallsAboveColdCapacity == 0u);
    BOOST_TEST(world.mEngine.mCrashes == 0u);
  }
}

BOOST_AUTO_TEST_CASE(restarted_node_counts_the_calls_it_does_not_know)
{
  WorldSettings settings;
  NodeWorld world;
  InitWorld(world, settings);
  // Calls that go on at the target although their node is gone.
  for (uint64_t id = 1; id <= 3; ++id) {
    EngineCall call;
    call.mId = 5000000 + id;
    call.mOutput = 200;
    AdmitCall(world.mEngine, world.mNow, call);
  }
  RunUntil(world, world.mNow + Seconds(2));
  RestartNode(world);
  RunUntil(world, world.mNow + Millis(2500));
  BOOST_TEST(world.mNode.mScheduler.mForeign == 3u);
  const RequestId request = SendOnline(world, OnlineCall());
  RunUntil(world, world.mNow + Millis(500));
  BOOST_TEST(world.mOnline[request].mParts == 0u); // waits for the others
  RunUntil(world, world.mNow + Seconds(30));
  BOOST_TEST(world.mOnline[request].mDone);
}

BOOST_AUTO_TEST_CASE(service_model_counts_repeated_executions)
{
  ServiceModel service = MakeService({});
  Execute(service, "a", "POST", "/book", "{}");
  Execute(service, "b", "POST", "/book", "{}");
  BOOST_TEST(RepeatedExecutions(service) == 0u);
  Execute(service, "a", "POST", "/book", "{}");
  BOOST_TEST(RepeatedExecutions(service) == 1u);
}

BOOST_AUTO_TEST_CASE(engine_model_repeats_itself_and_checks_fencing)
{
  EngineSettings settings;
  settings.mChecksFencing = true;
  std::vector<std::vector<EngineOutput>> runs(2);
  for (auto& outputs : runs) {
    EngineModel engine = MakeEngine(settings, MonoTime{ 0 }, false);
    EngineCall call;
    call.mId = 1;
    call.mPrompt = 100;
    call.mOutput = 5;
    AdmitCall(engine, MonoTime{ 0 }, call);
    AdvanceEngine(engine, MonoTime{ 1000000 }, outputs);
    BOOST_TEST(ApplyModelOrder(engine, true, "m", 5));
    BOOST_TEST(!ApplyModelOrder(engine, true, "m", 4));
  }
  BOOST_REQUIRE_EQUAL(runs[0].size(), 6u);
  for (size_t n = 0; n < runs[0].size(); ++n) {
    BOOST_TEST((runs[0][n].mAt == runs[1][n].mAt));
  }
}
