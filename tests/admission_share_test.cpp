// Guards the rate of a workspace while entries cannot reach control, and after
// all processes were lost at once.
#define BOOST_TEST_MODULE admission_share
#include <boost/test/unit_test.hpp>

#include "caraway/admission/fallback_share.h"
#include "caraway/admission/grantor.h"
#include "caraway/admission/token_holder.h"

using namespace caraway;

namespace {

Contract
MakeContract(double aRate)
{
  Contract contract;
  contract.mWorkspace = WorkspaceId("w");
  contract.mRate = aRate;
  contract.mBurst = aRate;
  return contract;
}

ConfigView
ViewWith(const Contract& aContract, const std::vector<uint64_t>& aEntries)
{
  ConfigView view;
  view.mContracts[aContract.mWorkspace] = aContract;
  for (const uint64_t epoch : aEntries) {
    Member member;
    member.mInstance = InstanceId("entry-" + std::to_string(epoch));
    member.mEpoch = Epoch(epoch);
    view.mMembers[member.mInstance] = member;
  }
  return view;
}

GrantRequest
Ask(uint64_t aEpoch, uint64_t aSequence, uint64_t aGrantor, double aWanted)
{
  GrantRequest request;
  request.mEpoch = Epoch(aEpoch);
  request.mSequence = aSequence;
  request.mGrantor = aGrantor;
  WorkspaceDemand ask;
  ask.mWorkspace = WorkspaceId("w");
  ask.mWanted = aWanted;
  request.mDemands = { ask };
  return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(shares_of_all_entries_add_up_to_the_rate)
{
  constexpr uint32_t kEntries = 8;
  const Contract contract = MakeContract(40);
  std::vector<FallbackShares> entries(kEntries);
  uint32_t admitted = 0;
  const MonoTime begin{ 1000000 };
  for (MonoTime now = begin; now < begin + Seconds(10); now = now + Millis(5)) {
    for (FallbackShares& entry : entries) {
      admitted += ReserveShare(entry, now, contract, kEntries, {}) ? 1 : 0;
    }
  }
  BOOST_TEST(admitted <= 40u * 10);
  BOOST_TEST(admitted >= 40u * 10 - 2 * kEntries);
}

BOOST_AUTO_TEST_CASE(share_starts_empty_after_a_burst_under_grants)
{
  FallbackShares shares;
  BOOST_TEST(
    !ReserveShare(shares, MonoTime{ 1000000 }, MakeContract(40), 8, {}));
}

// Guards against refusing the first request within the rate when control
// becomes unreachable: its token is available within the time that a request
// may wait.
BOOST_AUTO_TEST_CASE(request_within_its_share_waits_for_its_token)
{
  FallbackShares shares;
  const MonoTime now{ 1000000 };
  const Contract contract = MakeContract(60); // 20/s for each of 3 entries
  const auto reserve = [&](MonoTime aAt) {
    return ReserveShare(shares, aAt, contract, 3, Millis(200));
  };
  for (int at = 1; at <= 4; ++at) {
    const auto wait = reserve(now);
    BOOST_REQUIRE(wait.has_value());
    BOOST_TEST(wait->Millis() == 50 * at);
  }
  BOOST_TEST(!reserve(now).has_value());
  // Waiting requests have reserved the next tokens, so a new one waits longer.
  BOOST_TEST(reserve(now + Millis(50))->Millis() == 200);
}

BOOST_AUTO_TEST_CASE(grantor_reserves_the_share_of_unreachable_entries)
{
  const Contract contract = MakeContract(100);
  const ConfigView view = ViewWith(contract, { 1 });
  Grantor grantor;
  MonoTime now{ 10000000 };
  StartGrantor(
    grantor, now, ConfigView(), Seconds(2), Seconds(3), Term(1), now);
  grantor.mRateShare = 0.5;
  double given = 0;
  uint64_t sequence = 0;
  for (int step = 0; step < 100; ++step) {
    now = now + Millis(100);
    GrantRequest request = Ask(1, ++sequence, 1, 50);
    request.mDemands[0].mSpent = given;
    for (const WorkspaceGrant& grant :
         HandleGrantRequest(grantor, now, view, request).mGrants) {
      given += grant.mTokens + grant.mBrief;
    }
  }
  // 10 s at half the rate, plus the bucket that was full at the start.
  BOOST_TEST(given <= 100 + 50 * 10 + 1);
}

BOOST_AUTO_TEST_CASE(holdings_are_known_once_all_entries_were_replaced)
{
  const Contract contract = MakeContract(100);
  const ConfigView view = ViewWith(contract, { 1, 2 });
  Grantor grantor;
  const MonoTime now{ 10000000 };
  StartGrantor(grantor, now, view, Seconds(2), Seconds(3), Term(5), now);
  BOOST_TEST(!HandleGrantRequest(grantor, now, view, Ask(9, 1, 5, 1)).mSettled);
  ReplaceGrantorSession(grantor, now, Epoch(1));
  ReplaceGrantorSession(grantor, now, Epoch(2));
  const MonoTime soon = now + Millis(200);
  BOOST_TEST(HandleGrantRequest(grantor, soon, view, Ask(9, 2, 5, 1)).mSettled);
}

namespace {

constexpr uint64_t kEntries = 2;

// Simulates entries that started aSince before an election and admitted aSpent
// requests each, of which aReporting report to the new leader. Returns the
// tokens that it grants in the first 200 ms when each wants 100.
double
GrantedByNewLeader(double aSpent, Duration aSince, uint64_t aReporting)
{
  const Contract contract = MakeContract(100);
  ConfigView view = ViewWith(contract, { 1, 2 });
  const MonoTime elected{ 10000000 };
  std::vector<TokenHolder> holders(kEntries);
  for (uint64_t at = 0; at < kEntries; ++at) {
    const InstanceId name("entry-" + std::to_string(at + 1));
    view.mMembers[name].mRole = MemberRole::eEntry;
    StartTokenHolder(holders[at], elected - aSince, name, Epoch(at + 1));
    for (double spent = 0; spent < aSpent; ++spent) {
      CountAdmission(
        holders[at].mRecent, elected - Millis(100), contract.mWorkspace);
    }
  }
  Grantor grantor;
  StartGrantor(grantor,
               elected,
               view,
               Seconds(2),
               Seconds(3),
               Term(5),
               elected - Seconds(60));
  double given = 0;
  // Brief tokens of the former leader have to expire first.
  for (const Duration after : { Millis(5), Millis(150), Millis(200) }) {
    const MonoTime now = elected + after;
    for (uint64_t at = 0; at < aReporting; ++at) {
      TokenHolder& holder = holders[at];
      HandleGrantorChange(holder, now);
      for (int wanted = 0; wanted < 100; ++wanted) {
        (void)TryAdmit(holder, now, contract, false);
      }
      while (auto request = NextGrantRequest(holder, now)) {
        const GrantReply reply =
          HandleGrantRequest(grantor, now, view, *request);
        for (const WorkspaceGrant& grant : reply.mGrants) {
          given += grant.mTokens + grant.mBrief;
        }
        HandleGrantReply(holder, now, reply);
      }
    }
  }
  return given;
}

} // namespace

// Guards against refusing callers within their rate for a second after each
// change of leader, and against granting a burst twice.
BOOST_AUTO_TEST_CASE(new_leader_computes_the_unused_part_of_a_burst)
{
  // 100 tokens minus the 20 of the last second, plus the refill of 200 ms.
  const double partlyUsed = GrantedByNewLeader(10, Seconds(5), kEntries);
  BOOST_TEST(partlyUsed >= 70);
  BOOST_TEST(partlyUsed <= 80 + 20 + 1);
  // The burst was spent: only the refill since then is left.
  BOOST_TEST(GrantedByNewLeader(50, Seconds(5), kEntries) <= 20 + 1);
  // Processes that started 300 ms ago can report only these 300 ms.
  BOOST_TEST(GrantedByNewLeader(0, Millis(300), kEntries) <= 30 + 20 + 1);
  BOOST_TEST(GrantedByNewLeader(0, Millis(300), kEntries) >= 25);
  // One entry does not report: it may have spent the whole burst.
  BOOST_TEST(GrantedByNewLeader(0, Seconds(5), 1) == 0);
}

BOOST_AUTO_TEST_CASE(unused_share_is_dropped_when_grants_resume)
{
  FallbackShares shares;
  const Contract contract = MakeContract(40);
  const MonoTime now{ 1000000 };
  BOOST_TEST(!ReserveShare(shares, now, contract, 1, {}));
  DropUnusedShares(shares);
  BOOST_TEST(
    ReserveShare(shares, now + Millis(500), contract, 1, {}).has_value());
  DropUnusedShares(shares);
  BOOST_TEST(!ReserveShare(shares, now + Millis(500), contract, 1, {}));
}

BOOST_AUTO_TEST_CASE(holder_reports_that_no_grants_are_expected)
{
  TokenHolder holder;
  MonoTime now{ 10000000 };
  StartTokenHolder(holder, now, InstanceId("e"), Epoch(1));
  BOOST_TEST(AreGrantsExpected(holder, now));
  const Contract contract = MakeContract(100);
  TryAdmit(holder, now, contract, false);
  BOOST_REQUIRE(NextGrantRequest(holder, now).has_value());
  BOOST_TEST(AreGrantsExpected(holder, now + Millis(100)));
  BOOST_TEST(!AreGrantsExpected(holder, now + Millis(500)));
}
