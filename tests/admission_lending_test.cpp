// Guards the lending of rate shares between entries: while no grantor answers,
// callers within their rate must be served by the entries that are left, and
// no window may hold more requests than the deployment tolerates, whoever is
// dead, cut off or back.
#define BOOST_TEST_MODULE admission_lending
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

#include "caraway/admission/fallback_share.h"
#include "caraway/admission/grantor.h"
#include "caraway/admission/token_holder.h"
#include "caraway/base/random.h"
#include "caraway/scheduling/start_pace.h"

using namespace caraway;

namespace {

const WorkspaceId kNorth("north");
const RateTolerance kTolerance{ Seconds(5), 0.1, 20 };

Contract
MakeContract(double aRate, double aBurst)
{
  Contract contract;
  contract.mWorkspace = kNorth;
  contract.mRate = aRate;
  contract.mBurst = aBurst;
  return contract;
}

std::vector<InstanceId>
MakeEntries(uint32_t aCount)
{
  std::vector<InstanceId> entries;
  for (uint32_t at = 0; at < aCount; ++at) {
    entries.emplace_back("entry-" + std::to_string(at));
  }
  return entries;
}

// Lenders of one workspace without a grantor.
struct Fleet
{
  Contract mContract;
  std::vector<InstanceId> mEntries;
  std::vector<InstanceId> mLenders;
  std::map<InstanceId, LenderBuckets> mBuckets;
  std::map<InstanceId, MonoTime> mStarted;

  Fleet(uint32_t aEntries, double aRate)
    : mContract(MakeContract(aRate, 2 * aRate))
    , mEntries(MakeEntries(aEntries))
    , mLenders(LendersOf(kNorth, mEntries, LenderCount(kTolerance, mContract)))
  {
  }

  Loan Ask(MonoTime aNow, const InstanceId& aLender, Duration aWait)
  {
    uint32_t rank = 0;
    while (mLenders[rank] != aLender) {
      ++rank;
    }
    return LendShare(mBuckets[aLender],
                     aNow,
                     mContract,
                     kTolerance,
                     { rank,
                       static_cast<uint32_t>(mLenders.size()),
                       kTolerance.mWindow,
                       aNow - mStarted[aLender] },
                     aWait);
  }

  void Restart(MonoTime aNow, const InstanceId& aLender)
  {
    mBuckets[aLender] = {};
    mStarted[aLender] = aNow;
  }
};

// Counts requests by window.
struct WindowCount
{
  std::multiset<MonoTime> mStarts;
  double mMost = 0;

  void Add(MonoTime aStart) { mStarts.insert(aStart); }

  void Finish()
  {
    auto first = mStarts.begin();
    double count = 0;
    for (const MonoTime start : mStarts) {
      ++count;
      for (; start - *first >= kTolerance.mWindow; ++first) {
        --count;
      }
      mMost = std::max(mMost, count);
    }
  }
};

} // namespace

// Borrowers on both sides of a partition, lenders that restart, freeze and
// wake.
BOOST_AUTO_TEST_CASE(loans_stay_within_their_part_in_every_window)
{
  for (const uint32_t entries : { 2U, 21U, 390U }) {
    for (const double rate : { 0.5, 4.0, 60.0 }) {
      Fleet fleet(entries, rate);
      Random random(entries);
      WindowCount count;
      MonoTime now{ Seconds(100).mMicros };
      std::map<InstanceId, MonoTime> frozenUntil;
      for (int request = 0; request < 20000; ++request) {
        now = now + Micros(static_cast<int64_t>(DrawBelow(random, 4000)));
        const InstanceId& lender =
          fleet.mLenders[DrawBelow(random, fleet.mLenders.size())];
        if (DrawBelow(random, 500) == 0) {
          fleet.Restart(now, lender);
        } else if (DrawBelow(random, 500) == 0) {
          frozenUntil[lender] = now + Seconds(3);
        }
        if (now < frozenUntil[lender]) {
          continue;
        }
        const Loan loan = fleet.Ask(now, lender, Millis(200));
        if (loan.mGranted) {
          count.Add(now + loan.mDelay);
        }
      }
      count.Finish();
      const double part = kEntryPart * OverrunOf(kTolerance, fleet.mContract);
      const double most = rate * kTolerance.mWindow.Seconds() + part;
      BOOST_TEST(count.mMost <= most);
      BOOST_TEST(count.mMost > part / 2);
    }
  }
}

namespace {

// Callers at 0.62 of the rate, at random entries, of which only aAlive are
// left, without a grantor for aTime. Returns the share that is refused.
double
RefusedWithoutGrantor(uint32_t aEntries,
                      uint32_t aAlive,
                      double aRate,
                      Duration aTime = Seconds(3))
{
  Random random(aEntries);
  uint32_t asked = 0;
  uint32_t refused = 0;
  for (int workspace = 0; workspace < 200; ++workspace) {
    Fleet fleet(aEntries, aRate);
    // Other entries are dead for each workspace.
    std::vector<InstanceId> alive = fleet.mEntries;
    while (alive.size() > aAlive) {
      alive.erase(alive.begin() +
                  static_cast<ptrdiff_t>(DrawBelow(random, alive.size())));
    }
    std::map<InstanceId, LenderStates> states;
    const MonoTime begin{ Seconds(100).mMicros };
    const auto gap = static_cast<uint64_t>(2e6 / (0.62 * aRate));
    for (MonoTime now = begin; now - begin < aTime;
         now = now + Micros(static_cast<int64_t>(DrawBelow(random, gap)))) {
      const InstanceId& self = alive[DrawBelow(random, alive.size())];
      LenderStates& known = states[self];
      std::vector<InstanceId> tried;
      bool granted = false;
      while (const InstanceId* lender =
               NextLender(known,
                          now,
                          kNorth,
                          fleet.mLenders,
                          std::hash<std::string>{}(self.mValue),
                          tried,
                          now + Millis(700))) {
        tried.push_back(*lender);
        if (std::find(alive.begin(), alive.end(), *lender) == alive.end()) {
          known.mSilentUntil[*lender] = now + Seconds(2);
          continue;
        }
        const Loan loan = fleet.Ask(now, *lender, Millis(700));
        granted = loan.mGranted;
        if (granted) {
          break;
        }
        known.mEmptyUntil[kNorth][*lender] = now + loan.mDelay;
      }
      ++asked;
      refused += granted ? 0 : 1;
    }
  }
  return static_cast<double>(refused) / asked;
}

// The same callers where each entry admits its equal part of the rate and one
// request of the tolerance, for comparison.
double
RefusedByEqualShares(uint32_t aEntries,
                     uint32_t aAlive,
                     double aRate,
                     Duration aTime)
{
  Random random(aEntries);
  const Contract contract = MakeContract(aRate, 2 * aRate);
  const auto tolerated =
    static_cast<uint32_t>(kEntryPart * OverrunOf(kTolerance, contract));
  uint32_t asked = 0;
  uint32_t refused = 0;
  for (int workspace = 0; workspace < 200; ++workspace) {
    std::map<uint64_t, FallbackShares> shares;
    std::map<uint64_t, uint32_t> above;
    const MonoTime begin{ Seconds(100).mMicros };
    const auto gap = static_cast<uint64_t>(2e6 / (0.62 * aRate));
    for (MonoTime now = begin; now - begin < aTime;
         now = now + Micros(static_cast<int64_t>(DrawBelow(random, gap)))) {
      const uint64_t self = DrawBelow(random, aAlive);
      // Any of the entries may be alive.
      const uint32_t part = ShareOfRank(
        tolerated, static_cast<uint32_t>(self * aEntries / aAlive), aEntries);
      ++asked;
      if (!ReserveShare(shares[self], now, contract, aEntries, Millis(200)) &&
          above[self]++ >= part) {
        ++refused;
      }
    }
  }
  return static_cast<double>(refused) / asked;
}

} // namespace

BOOST_AUTO_TEST_CASE(callers_within_their_rate_are_served_without_a_grantor)
{
  for (const uint32_t entries : { 21U, 390U }) {
    for (const double rate : { 1.0, 4.0, 20.0, 60.0 }) {
      for (const Duration time : { Seconds(3), Seconds(10) }) {
        BOOST_TEST(RefusedWithoutGrantor(entries, entries, rate, time) <
                   1.0 / 200);
        for (const uint32_t alive : { entries * 2 / 3, entries / 2 }) {
          const double lent = RefusedWithoutGrantor(entries, alive, rate, time);
          const double split = RefusedByEqualShares(entries, alive, rate, time);
          BOOST_TEST_MESSAGE(entries << " entries, " << alive << " alive, "
                                     << rate << "/s, " << time.Seconds()
                                     << " s: " << lent << ", equal shares "
                                     << split);
          BOOST_TEST(lent < split);
          BOOST_TEST((alive <= entries / 2 || lent < split / 2));
        }
      }
    }
  }
}

// A grantor serves the entries in touch with it, lenders that are not lend. The
// leader is replaced, and entries leave and return, at random times.
BOOST_AUTO_TEST_CASE(grantor_and_lenders_stay_within_the_tolerance)
{
  for (const uint32_t entries : { 2U, 21U, 390U }) {
    Fleet fleet(entries, 4);
    ConfigView config;
    config.mContracts[kNorth] = fleet.mContract;
    Random random(entries);
    Grantor grantor;
    std::map<InstanceId, TokenHolder> holders;
    WindowCount count;
    MonoTime now{ Seconds(100).mMicros };
    std::set<InstanceId> away;
    MonoTime usedUntil = now;
    uint64_t term = 0;
    uint64_t epoch = 0;
    for (int step = 0; step < 12000; ++step) {
      now = now + Millis(5);
      if (step % 1600 == 0) {
        // All processes restart; the buckets are empty.
        StartGrantor(
          grantor, now, config, Seconds(2), Seconds(3), Term(++term), now);
        if (now >= usedUntil) {
          usedUntil = now + kTolerance.mWindow + kLeaderOverrunTime;
          AllowOverrun(grantor, kTolerance, now + kLeaderOverrunTime);
        }
        holders.clear();
        for (const InstanceId& lender : fleet.mLenders) {
          fleet.Restart(now, lender);
        }
      }
      if (step % 200 == 0) {
        away.clear();
        for (const InstanceId& lender : fleet.mLenders) {
          if (DrawBelow(random, 2) == 0) {
            away.insert(lender);
          } else {
            StopLending(fleet.mBuckets[lender]);
          }
        }
        DivideRates(grantor, now, config, { kTolerance, fleet.mEntries, away });
      }
      const InstanceId& lender =
        fleet.mLenders[DrawBelow(random, fleet.mLenders.size())];
      if (away.contains(lender)) {
        const Loan loan = fleet.Ask(now, lender, {});
        if (loan.mGranted) {
          count.Add(now);
        }
        continue;
      }
      auto [place, made] = holders.try_emplace(lender);
      TokenHolder& holder = place->second;
      if (made) {
        StartTokenHolder(holder, now, lender, Epoch(++epoch));
      }
      bool asked = false;
      for (int round = 0; round < 3; ++round) {
        const auto verdict =
          TryAdmit(holder, now, fleet.mContract, asked).mVerdict;
        if (verdict != AdmitVerdict::eAsk) {
          if (verdict == AdmitVerdict::eAdmitted) {
            count.Add(now);
          }
          break;
        }
        asked = true;
        if (auto ask = NextGrantRequest(holder, now)) {
          HandleGrantReply(
            holder, now, HandleGrantRequest(grantor, now, config, *ask));
        }
      }
    }
    count.Finish();
    const double contract =
      fleet.mContract.mRate * kTolerance.mWindow.Seconds() +
      fleet.mContract.mBurst;
    BOOST_TEST(count.mMost <=
               contract + OverrunOf(kTolerance, fleet.mContract));
    BOOST_TEST(count.mMost > contract / 2);
  }
}

// Guards against refusing callers for a minute after half of the entries died:
// the grantor cannot tell them from entries that are cut off.
BOOST_AUTO_TEST_CASE(grantor_keeps_most_of_the_rate_with_half_of_the_lenders)
{
  RateDivision division{ kTolerance, MakeEntries(21), {} };
  const Contract contract = MakeContract(4, 8);
  const std::vector<InstanceId> lenders =
    LendersOf(kNorth, division.mEntries, LenderCount(kTolerance, contract));
  BOOST_REQUIRE(lenders.size() == kMostLenders);
  BOOST_TEST(GrantedPart(division, contract, lenders) == 1);
  division.mAway.insert(lenders.begin(), lenders.begin() + kMostLenders / 2);
  BOOST_TEST(GrantedPart(division, contract, lenders) > 0.62);
  BOOST_TEST(GrantedPart(division, MakeContract(1000, 8), lenders) < 0.6);
  division.mAway.insert(lenders.begin(), lenders.end());
  BOOST_TEST(GrantedPart(division, contract, lenders) < 0.2);
}

BOOST_AUTO_TEST_CASE(lenders_spread_over_the_entries)
{
  const std::vector<InstanceId> entries = MakeEntries(390);
  std::map<InstanceId, int> workspaces;
  for (int at = 0; at < 2000; ++at) {
    for (const InstanceId& lender : LendersOf(
           WorkspaceId("w-" + std::to_string(at)), entries, kMostLenders)) {
      ++workspaces[lender];
    }
  }
  for (const auto& [lender, count] : workspaces) {
    BOOST_TEST(count <= 82); // twice the average
  }
}

BOOST_AUTO_TEST_CASE(silent_and_empty_lenders_are_not_asked)
{
  const std::vector<InstanceId> lenders = MakeEntries(3);
  LenderStates states;
  const MonoTime now{ 1000000 };
  const auto next = [&](const std::vector<InstanceId>& aAsked) {
    return NextLender(
      states, now, kNorth, lenders, 1, aAsked, now + Millis(500));
  };
  BOOST_TEST(next({})->mValue == "entry-1");
  BOOST_TEST(next({ lenders[1] })->mValue == "entry-2");
  states.mSilentUntil[lenders[1]] = now + Seconds(1);
  BOOST_TEST(next({})->mValue == "entry-2");
  states.mEmptyUntil[kNorth][lenders[2]] = now + Millis(400);
  BOOST_TEST(next({})->mValue == "entry-2");
  states.mEmptyUntil[kNorth][lenders[2]] = now + Millis(600);
  BOOST_TEST(next({})->mValue == "entry-0");
  BOOST_TEST(next({ lenders[0] }) == nullptr);
}

BOOST_AUTO_TEST_CASE(returns_of_refused_callers_are_spread)
{
  ReturnTimes returns;
  const MonoTime now{ 1000000 };
  std::set<int64_t> delays;
  for (int caller = 0; caller < 10; ++caller) {
    const Duration delay =
      NextReturn(returns, now, kNorth, 20, Millis(700), Seconds(1));
    BOOST_TEST(delay.Millis() >= 700);
    BOOST_TEST(delay.Millis() <= 1700);
    delays.insert(delay.Millis());
  }
  BOOST_TEST(delays.size() == 10u);
}
