// Guards against refusing callers within their rate in calm because the tokens
// lie at other entries: many workspaces send a few requests per second each, at
// whichever entry they reach.
#define BOOST_TEST_MODULE admission_calm
#include <boost/test/unit_test.hpp>

#include "fuzz/admission_world.h"

using namespace caraway;
using namespace caraway::admission;

namespace {

struct Calm
{
  uint64_t mSent = 0;
  uint64_t mRefused = 0;
  int64_t mLongestHold = 0;
};

// 75 workspaces at aLoad of their rates for 30 s. Only requests within rate and
// burst are sent.
Calm
RunCalm(size_t aEntries, double aRate, double aBurst, double aLoad)
{
  World world;
  world.mRandom = Random(aEntries);
  world.mNow = 1000000;
  for (size_t at = 0; at < aEntries; ++at) {
    EntryProcess entry;
    entry.mName = InstanceId("entry-" + std::to_string(at));
    world.mEntries.push_back(entry);
  }
  for (int at = 0; at < 75; ++at) {
    Contract contract;
    contract.mWorkspace = WorkspaceId("w" + std::to_string(at));
    contract.mRate = aRate;
    contract.mBurst = aBurst;
    world.mConfig.mContracts[contract.mWorkspace] = contract;
  }
  for (size_t at = 0; at < aEntries; ++at) {
    StartEntry(world, at);
  }
  Elect(world, {});
  DivideRates(world.mGrantor,
              world.mLeaderClock.At(world.mNow),
              world.mConfig,
              { { Seconds(5), 0.1, 20 }, {}, {} });
  RunUntil(world, world.mNow + 10000000); // buckets are full
  absl::flat_hash_map<WorkspaceId, OracleBucket> levels;
  for (const auto& [id, contract] : world.mConfig.mContracts) {
    levels[id] = { contract.mBurst, 0 };
  }
  Calm calm;
  const int64_t begin = world.mNow;
  const uint64_t refused = world.mRefused;
  while (world.mNow - begin < 30000000) {
    const double perSecond = aLoad * aRate * 75;
    RunUntil(world,
             world.mNow + 1 +
               static_cast<int64_t>(DrawBelow(
                 world.mRandom, static_cast<uint64_t>(2e6 / perSecond))));
    const WorkspaceId id("w" + std::to_string(DrawBelow(world.mRandom, 75)));
    OracleBucket& level = levels[id];
    const double now = static_cast<double>(world.mNow - begin) / 1e6;
    level.mLevel =
      std::min(aBurst, level.mLevel + (now - level.mFilledAt) * aRate);
    level.mFilledAt = now;
    if (level.mLevel < 1) {
      continue;
    }
    --level.mLevel;
    ++calm.mSent;
    Arrive(world, DrawBelow(world.mRandom, aEntries), id);
  }
  RunUntil(world, world.mNow + 1000000);
  calm.mRefused = world.mRefused - refused;
  calm.mLongestHold = world.mLongestHold;
  return calm;
}

} // namespace

BOOST_AUTO_TEST_CASE(callers_within_their_rate_are_not_refused_in_calm)
{
  for (const size_t entries : { size_t{ 2 }, size_t{ 21 }, size_t{ 100 } }) {
    for (const double rate : { 1.0, 4.0, 20.0 }) {
      for (const double burst : { 2 + 0.4 * rate, 2 * rate + 1 }) {
        const Calm calm = RunCalm(entries, rate, burst, 0.62);
        BOOST_TEST_MESSAGE(entries << " entries, rate " << rate << ", burst "
                                   << burst << ": " << calm.mRefused << " of "
                                   << calm.mSent << " refused, longest hold "
                                   << calm.mLongestHold << " us");
        BOOST_TEST(calm.mSent > 1000u);
        BOOST_TEST(calm.mRefused == 0u);
      }
    }
  }
}
