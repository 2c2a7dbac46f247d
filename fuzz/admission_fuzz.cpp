// Stateful fuzzing of admission against one token bucket per workspace.
//
// Property 1: under message loss, duplication and delay, clock drift, entry
// crashes and leader changes, nothing is admitted above rate * time + burst.
// Property 2: without faults, no request within the rate is refused.
//
// Usage: admission_fuzz SEED STEPS

#include <cstdio>
#include <cstdlib>
#include <string>

#include <rapidcheck.h>

#include "fuzz/admission_world.h"

using namespace caraway;
using namespace caraway::admission;

namespace {

struct Op
{
  uint32_t mKind = 0;
  uint32_t mChoice = 0;
  uint32_t mAmount = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const Op& aOp)
{
  return aOut << aOp.mKind << '/' << aOp.mChoice << '/' << aOp.mAmount;
}

const WorkspaceId kWorkspaces[] = { WorkspaceId("north"),
                                    WorkspaceId("south") };

rc::Gen<std::vector<Op>>
Ops(int aCount)
{
  return rc::gen::resize(
    aCount,
    rc::gen::container<std::vector<Op>>(rc::gen::build<Op>(
      rc::gen::set(&Op::mKind, rc::gen::inRange(0U, 100U)),
      rc::gen::set(&Op::mChoice, rc::gen::inRange(0U, 1000U)),
      rc::gen::set(&Op::mAmount, rc::gen::inRange(0U, 1000U)))));
}

World
MakeWorld(uint64_t aSeed, size_t aEntries, double aRate, double aBurst)
{
  World world;
  world.mRandom = Random(aSeed);
  world.mNow = 1000000;
  for (const WorkspaceId& id : kWorkspaces) {
    Contract contract;
    contract.mWorkspace = id;
    contract.mRate = aRate;
    contract.mBurst = aBurst;
    world.mConfig.mContracts[id] = contract;
  }
  world.mEntries.resize(aEntries);
  for (size_t entry = 0; entry < aEntries; ++entry) {
    world.mEntries[entry].mName = InstanceId("entry-" + std::to_string(entry));
    StartEntry(world, entry);
  }
  Elect(world, Clock{});
  return world;
}

// Draws a clock with a random offset and a drift of up to 1%.
Clock
DrawClock(Random& aRandom)
{
  return Clock{ static_cast<int64_t>(DrawBelow(aRandom, 1000000000)),
                static_cast<int64_t>(DrawBelow(aRandom, 21)) - 10 };
}

void
ChangeClocks(World& aWorld)
{
  for (size_t entry = 0; entry < aWorld.mEntries.size(); ++entry) {
    aWorld.mEntries[entry].mClock = DrawClock(aWorld.mRandom);
    StartEntry(aWorld, entry);
  }
}

// Returns the token of a request that is proven not to have run; the request
// then doesn't count as admitted.
void
ReturnUnusedToken(World& aWorld, size_t aEntry, const WorkspaceId& aWorkspace)
{
  EntryProcess& entry = aWorld.mEntries[aEntry];
  auto usable = [&] {
    auto tokens = entry.mHolder.mTokens.find(aWorkspace);
    return tokens == entry.mHolder.mTokens.end()
             ? 0
             : tokens->second.mHeld + tokens->second.mBrief;
  };
  const double before = usable();
  ReturnToken(entry.mHolder, entry.mClock.At(aWorld.mNow), aWorkspace);
  if (usable() > before) {
    const Contract& contract = aWorld.mConfig.mContracts.at(aWorkspace);
    CheckBound(aWorld, contract, -1);
  }
  SendGrantRequests(aWorld, aEntry);
}

// Sends steady demand to one entry, so that it holds tokens in advance.
void
Demand(World& aWorld,
       size_t aEntry,
       const WorkspaceId& aWorkspace,
       uint32_t aCount)
{
  for (uint32_t count = 0; count < aCount; ++count) {
    Arrive(aWorld, aEntry, aWorkspace);
    RunUntil(aWorld, aWorld.mNow + 40000);
  }
}

// Sends the whole burst to every entry at once, so that all available tokens
// are spent.
void
Flood(World& aWorld, size_t aFirst, const WorkspaceId& aWorkspace)
{
  const double burst = aWorld.mConfig.mContracts.at(aWorkspace).mBurst;
  for (size_t at = 0; at < aWorld.mEntries.size(); ++at) {
    const size_t entry = (aFirst + at) % aWorld.mEntries.size();
    for (double count = 0; count < burst; ++count) {
      Arrive(aWorld, entry, aWorkspace);
    }
    RunUntil(aWorld, aWorld.mNow + 10000);
  }
}

// Delays the link of an entry that holds tokens in advance, while the other
// entries spend what the grantor counts as free. By then the tokens of the
// delayed entry must have expired.
void
DelayLinkOfTokenHolder(World& aWorld,
                       size_t aEntry,
                       const WorkspaceId& aWorkspace,
                       const Op& aOp)
{
  Demand(aWorld, aEntry, aWorkspace, 30);
  aWorld.mEntries[aEntry].mLinkDelay = 300000 + aOp.mAmount * 2000;
  RunUntil(aWorld, aWorld.mNow + 1500000 + aOp.mChoice * 3000);
  Flood(aWorld, aEntry, aWorkspace);
  aWorld.mEntries[aEntry].mLinkDelay = 0;
}

// Injects one kind of fault at a time: with several heavy faults at once no
// entry would get tokens, and nothing would be tested.
void
InjectNetworkFault(World& aWorld, size_t aEntry, const Op& aOp)
{
  Network& net = aWorld.mNetwork;
  switch (aOp.mChoice / 40 % 4) {
    case 0:
      net.mLossPerMille = 100 + aOp.mAmount % 3 * 100;
      break;
    case 1:
      net.mDuplicatePerMille = 500;
      net.mLatePerMille = 300;
      break;
    default:
      aWorld.mEntries[aEntry].mLinkDelay = aOp.mAmount * 2000;
  }
}

void
ClearNetworkFaults(World& aWorld)
{
  aWorld.mNetwork = Network{};
  for (EntryProcess& entry : aWorld.mEntries) {
    entry.mLinkDelay = 0;
  }
}

void
ApplyFaulty(World& aWorld, const Op& aOp)
{
  const size_t entry = aOp.mChoice % aWorld.mEntries.size();
  const WorkspaceId& id = kWorkspaces[aOp.mChoice / 10 % 4 == 0 ? 1 : 0];
  if (aOp.mKind < 30) {
    Demand(aWorld, entry, id, 5 + aOp.mAmount % 40);
  } else if (aOp.mKind < 38) {
    Flood(aWorld, entry, id);
  } else if (aOp.mKind < 43) {
    DelayLinkOfTokenHolder(aWorld, entry, id, aOp);
  } else if (aOp.mKind < 62) {
    // Most waits are short; some outlast a lease.
    const int64_t unit = aOp.mChoice % 4 == 0 ? 4000 : 400;
    RunUntil(aWorld, aWorld.mNow + aOp.mAmount * unit);
  } else if (aOp.mKind < 65) {
    if (aWorld.mEntries[entry].mAlive) {
      LoseEntry(aWorld, entry);
    } else {
      StartEntry(aWorld, entry);
    }
  } else if (aOp.mKind < 68) {
    aWorld.mHasLeader = false;
    RunUntil(aWorld, aWorld.mNow + aOp.mAmount * 1500);
    Elect(aWorld, DrawClock(aWorld.mRandom));
  } else if (aOp.mKind < 74) {
    ReturnUnusedToken(aWorld, entry, id);
  } else if (aOp.mKind < 86) {
    InjectNetworkFault(aWorld, entry, aOp);
  } else {
    ClearNetworkFaults(aWorld);
  }
}

void
CheckFaulty()
{
  const auto seed = *rc::gen::inRange<uint64_t>(1, 1U << 30);
  const auto entries = 1 + seed % 4;
  const auto rate = 5 + *rc::gen::inRange(1, 40);
  const auto burst = 4 + *rc::gen::inRange(1, 80);
  World world = MakeWorld(seed, entries, rate, burst);
  ChangeClocks(world);
  for (const Op& op : *Ops(200)) {
    ApplyFaulty(world, op);
    RC_ASSERT(world.mAbove == 0U);
    RC_ASSERT(world.mMostInSecond <= 26U);
  }
  RC_TAG(world.mAdmitted > 0 ? "admitted" : "idle");
}

// Token bucket of a caller that stays within the rate and within the part of
// the burst that is always available: other entries may hold a quarter of the
// burst as tokens, and tokens spent in the last 0.1 s still limit the refill.
struct Source
{
  double mLevel = 0;
  int64_t mFilledAt = 0;
};

bool
TakeIfWithinContract(Source& aSource, int64_t aNow, const Contract& aContract)
{
  aSource.mLevel =
    std::min(aContract.mBurst - std::floor(aContract.mBurst / 4) -
               0.11 * aContract.mRate,
             aSource.mLevel + static_cast<double>(aNow - aSource.mFilledAt) /
                                1e6 * aContract.mRate);
  aSource.mFilledAt = aNow;
  if (aSource.mLevel < 1) {
    return false;
  }
  --aSource.mLevel;
  return true;
}

void
CheckFaultless()
{
  const auto seed = *rc::gen::inRange<uint64_t>(1, 1U << 30);
  const auto entries = *rc::gen::inRange<size_t>(1, 6);
  const auto rate = *rc::gen::inRange(1, 200);
  const auto burst = *rc::gen::inRange(2, 300) + rate * 2 / 5;
  World world = MakeWorld(seed, entries, rate, burst);
  // Waits until the buckets are full after the first start.
  RunUntil(world, world.mNow + 4000000 + 1000000LL * burst / rate);
  Source sources[2];
  for (Source& source : sources) {
    source = { static_cast<double>(burst), world.mNow };
  }
  for (const Op& op : *Ops(200)) {
    const size_t which = op.mChoice / 10 % 2;
    const Contract& contract = world.mConfig.mContracts.at(kWorkspaces[which]);
    const uint32_t count = op.mKind < 70 ? 1 + op.mAmount % 3 : op.mAmount % 60;
    for (uint32_t at = 0; at < count; ++at) {
      if (TakeIfWithinContract(sources[which], world.mNow, contract)) {
        Arrive(
          world, (op.mChoice + at * op.mKind) % entries, kWorkspaces[which]);
      }
    }
    RunUntil(world, world.mNow + op.mAmount * (op.mKind % 3 == 0 ? 300 : 30));
    RC_ASSERT(world.mRefused == 0U);
    RC_ASSERT(world.mAbove == 0U);
    RC_ASSERT(world.mLongestHold <= kGrantHold.mMicros);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::string seed = aCount > 1 ? aArguments[1] : "1";
  const int steps = aCount > 2 ? std::atoi(aArguments[2]) : 20000;
  // One case has 100 steps on average.
  const std::string parameters =
    "seed=" + seed + " max_success=" + std::to_string(std::max(1, steps / 100));
  std::printf("admission_fuzz seed %s steps %d\n", seed.c_str(), steps);
  if (setenv("RC_PARAMS", parameters.c_str(), 1) != 0) {
    return 2;
  }
  const bool bound =
    rc::check("nothing is admitted above the bound under faults", CheckFaulty);
  const bool service = rc::check(
    "no request inside the rate is refused without faults", CheckFaultless);
  return bound && service ? 0 : 1;
}
