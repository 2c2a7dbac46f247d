// Compares admission policies on a virtual clock: 390 entries receive 5,400
// requests/s from 2,000 workspaces that all stay within their rates. Then one
// entry fails and its callers use the other entries.

#include <cstdio>
#include <string>

#include "caraway/admission/policies.h"
#include "fuzz/admission_world.h"

using namespace caraway;
using namespace caraway::admission;

namespace {

constexpr size_t kEntries = 390;
constexpr size_t kWorkspaceCount = 2000;
constexpr double kRequestsPerSecond = 5400;
constexpr int64_t kWarmUp = 30000000;
constexpr int64_t kSteady = 20000000;
constexpr int64_t kAfterLoss = 5000000; // after the loss of an entry
constexpr double kKnownSeconds = 4;
constexpr int64_t kSessionEnd = 5000000;

struct Tally
{
  uint64_t mSent = 0;
  uint64_t mRefused = 0;
};

struct Outcome
{
  Tally mSteady;
  Tally mLost;
  uint64_t mAbove = 0;
  double mMessages = 0; // per entry and second, both directions, before loss
};

struct Traffic
{
  Random mRandom{ 11 };
  std::vector<Contract> mContracts;
  std::vector<double> mSums; // cumulative demand by rank
  absl::flat_hash_map<WorkspaceId, OracleBucket> mOracleBuckets;
};

// Demand is inversely proportional to the rank (Zipf). The rate of each
// contract is 1.25 times its demand.
Traffic
MakeTraffic()
{
  Traffic traffic;
  double sum = 0;
  for (size_t rank = 1; rank <= kWorkspaceCount; ++rank) {
    sum += 1.0 / static_cast<double>(rank);
    traffic.mSums.push_back(sum);
  }
  for (size_t rank = 1; rank <= kWorkspaceCount; ++rank) {
    Contract contract;
    contract.mWorkspace = WorkspaceId("w" + std::to_string(rank));
    contract.mRate =
      1.25 * kRequestsPerSecond / sum / static_cast<double>(rank);
    contract.mBurst = std::ceil(4 + 2 * contract.mRate);
    traffic.mContracts.push_back(contract);
  }
  return traffic;
}

// Draws requests until one is within the rate and burst of its contract.
const Contract&
NextRequest(Traffic& aTraffic, int64_t& aTime)
{
  while (true) {
    aTime += static_cast<int64_t>(-std::log(1 - DrawUnit(aTraffic.mRandom)) /
                                  kRequestsPerSecond * 1e6);
    const double at = DrawUnit(aTraffic.mRandom) * aTraffic.mSums.back();
    const auto place =
      std::upper_bound(aTraffic.mSums.begin(), aTraffic.mSums.end(), at) -
      aTraffic.mSums.begin();
    const Contract& contract = aTraffic.mContracts[static_cast<size_t>(place)];
    auto [bucket, fresh] =
      aTraffic.mOracleBuckets.try_emplace(contract.mWorkspace);
    OracleBucket& inside = bucket->second;
    const double now = static_cast<double>(aTime) / 1e6;
    // All buckets start empty. Grants begin kKnownSeconds after the start, when
    // the tokens held by the entries are known.
    const double since = fresh ? kKnownSeconds : inside.mFilledAt;
    inside.mLevel =
      std::min(contract.mBurst,
               inside.mLevel + std::max(0.0, now - since) * contract.mRate);
    inside.mFilledAt = now;
    if (inside.mLevel >= 1) {
      --inside.mLevel;
      return contract;
    }
  }
}

Outcome
RunGrants()
{
  Traffic traffic = MakeTraffic();
  World world;
  world.mNow = 1000000;
  for (const Contract& contract : traffic.mContracts) {
    world.mConfig.mContracts[contract.mWorkspace] = contract;
  }
  world.mEntries.resize(kEntries);
  for (size_t entry = 0; entry < kEntries; ++entry) {
    world.mEntries[entry].mName = InstanceId("entry-" + std::to_string(entry));
    StartEntry(world, entry);
  }
  Elect(world, Clock{});
  Outcome outcome;
  int64_t time = world.mNow;
  auto run = [&](int64_t aLength) {
    Tally tally;
    const uint64_t refused = world.mRefused;
    for (const int64_t end = time + aLength; time < end; ++tally.mSent) {
      const Contract& contract = NextRequest(traffic, time);
      RunUntil(world, time);
      size_t entry = DrawBelow(traffic.mRandom, kEntries);
      entry = world.mEntries[entry].mAlive ? entry : entry + 1;
      Arrive(world, entry, contract.mWorkspace);
    }
    tally.mRefused = world.mRefused - refused;
    return tally;
  };
  run(kWarmUp);
  const uint64_t messages = world.mMessages;
  outcome.mSteady = run(kSteady);
  outcome.mMessages = static_cast<double>(world.mMessages - messages) /
                      kEntries / (kSteady / 1e6);
  LoseEntry(world, 7);
  outcome.mLost = run(kAfterLoss);
  outcome.mAbove = world.mAbove;
  return outcome;
}

// Runs a baseline policy. It needs no message queue, since each request is
// decided at once. Under the owner policy, a request costs two messages unless
// it arrives at the owner.
Outcome
RunBaseline(AdmissionPolicy aPolicy)
{
  Traffic traffic = MakeTraffic();
  std::vector<InstanceId> names;
  for (size_t entry = 0; entry < kEntries; ++entry) {
    names.emplace_back("entry-" + std::to_string(entry));
  }
  absl::flat_hash_map<std::pair<WorkspaceId, size_t>, RateBucket> buckets;
  absl::flat_hash_map<WorkspaceId, size_t> owners;
  uint64_t messages = 0;
  int64_t time = 1000000;
  int64_t lostAt = kNever.mMicros;
  auto run = [&](int64_t aLength) {
    Tally tally;
    for (const int64_t end = time + aLength; time < end; ++tally.mSent) {
      const Contract& contract = NextRequest(traffic, time);
      const size_t entry = DrawBelow(traffic.mRandom, kEntries);
      size_t place = entry;
      if (aPolicy == AdmissionPolicy::eOwner) {
        auto [owner, fresh] = owners.try_emplace(contract.mWorkspace);
        if (fresh) {
          owner->second = OwnerOf(contract.mWorkspace, names);
        }
        place = owner->second;
        messages += place == entry ? 0 : 2;
        if (place == 7 && time >= lostAt && time < lostAt + kSessionEnd) {
          ++tally.mRefused;
          continue;
        }
      }
      const double part =
        aPolicy == AdmissionPolicy::eOwner ? 1.0 : 1.0 / kEntries;
      const bool admitted = TakeFromBucket(
        buckets[{ contract.mWorkspace, place }], { time }, contract, part);
      tally.mRefused += admitted ? 0 : 1;
    }
    return tally;
  };
  Outcome outcome;
  run(kWarmUp);
  messages = 0;
  outcome.mSteady = run(kSteady);
  outcome.mMessages =
    static_cast<double>(messages) / kEntries / (kSteady / 1e6);
  lostAt = time;
  outcome.mLost = run(kAfterLoss);
  return outcome;
}

double
RefusedShare(const Tally& aTally)
{
  return static_cast<double>(aTally.mRefused) /
         static_cast<double>(aTally.mSent);
}

bool
Print(const std::string& aName, double aValue, double aBound)
{
  const bool good = aValue <= aBound;
  std::printf(
    "%s %.6f %.6f %s\n", aName.c_str(), aValue, aBound, good ? "ok" : "MISSED");
  return good;
}

void
PrintBaseline(const std::string& aName, const Outcome& aOutcome)
{
  std::printf("%s_refused_inside_rate %.6f - baseline\n",
              aName.c_str(),
              RefusedShare(aOutcome.mSteady));
  std::printf("%s_refused_entry_lost %.6f - baseline\n",
              aName.c_str(),
              RefusedShare(aOutcome.mLost));
  std::printf("%s_messages_per_entry_second %.3f - baseline\n",
              aName.c_str(),
              aOutcome.mMessages);
}

} // namespace

int
main()
{
  const Outcome grants = RunGrants();
  bool good =
    Print("grants_refused_inside_rate", RefusedShare(grants.mSteady), 0);
  good =
    Print("grants_refused_entry_lost", RefusedShare(grants.mLost), 0.001) &&
    good;
  good = Print("grants_admitted_above_bound",
               static_cast<double>(grants.mAbove),
               0) &&
         good;
  // At most 5 regular and 20 urgent requests per second, each with a reply.
  good =
    Print("grants_messages_per_entry_second", grants.mMessages, 50) && good;
  PrintBaseline("owner", RunBaseline(AdmissionPolicy::eOwner));
  PrintBaseline("fixed_split", RunBaseline(AdmissionPolicy::eFixedSplit));
  return good ? 0 : 1;
}
