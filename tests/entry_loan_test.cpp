// Guards admission at an entry while no grantor answers: it borrows from the
// entries that divide the workspace's rate, holds a request for a grantor that
// may return in time, and lends its own part only while it is out of touch.
#define BOOST_TEST_MODULE entry_loan
#include <boost/test/unit_test.hpp>

#include <set>

#include "caraway/admission/lending.h"
#include "tests/direct_fixture.h"

using namespace caraway;

namespace {

struct LoanRig : Direct
{
  LoanRig()
  {
    ServingPlan plan = *mEntry.mConfig.mPlan;
    ++plan.mVersion;
    for (PlanRoute& route : plan.mRoutes) {
      route.mLatencyGoal = Seconds(2);
    }
    plan.mWorkspaces[0].mRate = 1; // the own part doesn't refill meanwhile
    plan.mWorkspaces[0].mBurst = 10;
    Change(SetPlan{ plan });
    mEntry.mSettings.mRateTolerance = { Seconds(5), 0.1, 20 };
    for (int at = 1; at <= 4; ++at) {
      Member member;
      member.mInstance = InstanceId("entry-" + std::to_string(at));
      member.mEpoch = Epoch(static_cast<uint64_t>(at));
      member.mRole = MemberRole::eEntry;
      member.mAddress = PeerAddress("entry:" + std::to_string(at));
      Change(SetMember{ member });
    }
    Advance(Seconds(10));
    mSent.clear();
  }

  void LoseControl()
  {
    mLease = false;
    mGrants = false;
    Advance(Seconds(8)); // the lease and all tokens have ended
    mSent.clear();
  }

  // The lenders that were asked since the last call, and for what.
  std::vector<std::pair<PeerAddress, LoanRequest>> Asked()
  {
    std::vector<std::pair<PeerAddress, LoanRequest>> asked;
    for (const auto& [to, message] : mSent) {
      if (const auto* ask = std::get_if<LoanRequest>(&message)) {
        asked.emplace_back(to, *ask);
      }
    }
    mSent.clear();
    return asked;
  }

  void Lend(const std::pair<PeerAddress, LoanRequest>& aAsked,
            bool aGranted,
            Duration aDelay)
  {
    Receive(
      aAsked.first,
      LoanReply{
        aAsked.second.mRequest, aAsked.second.mWorkspace, aGranted, aDelay });
  }

  size_t Started() { return Sent<SlotRequest>().size(); }

  // Uses up what this entry may lend itself.
  void SpendOwnPart()
  {
    for (int request = 0; request < 200; ++request) {
      Receive(PeerAddress("entry:2"),
              LoanRequest{ RequestId("other" + std::to_string(request)),
                           WorkspaceId("p"),
                           {} });
    }
    mSent.clear();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(request_starts_on_a_loan_of_another_entry, LoanRig)
{
  LoseControl();
  SpendOwnPart();
  SendForward("look");
  auto asked = Asked();
  BOOST_REQUIRE(asked.size() == 1u);
  BOOST_TEST(asked[0].first.mValue != "entry:1");
  Lend(asked[0], true, {});
  BOOST_TEST(Started() == 1u);
  BOOST_TEST(mEntry.mMetrics.mBorrowed == 1u);
}

BOOST_FIXTURE_TEST_CASE(next_lender_is_asked_after_a_refusal_and_after_silence,
                        LoanRig)
{
  LoseControl();
  SpendOwnPart();
  const uint64_t call = SendForward("look");
  std::set<PeerAddress> lenders;
  auto asked = Asked();
  BOOST_REQUIRE(asked.size() == 1u);
  lenders.insert(asked[0].first);
  Lend(asked[0], false, Seconds(2));
  asked = Asked();
  BOOST_REQUIRE(asked.size() == 1u);
  lenders.insert(asked[0].first);
  const auto silent = asked[0];
  Advance(Millis(100));
  asked = Asked();
  BOOST_REQUIRE(asked.size() == 1u);
  lenders.insert(asked[0].first);
  BOOST_TEST(lenders.size() == 3u);
  // A loan that arrives late counts no more.
  Lend(silent, true, {});
  BOOST_TEST(Started() == 0u);
  Lend(asked[0], true, Millis(50));
  BOOST_TEST(Started() == 0u);
  Advance(Millis(50));
  BOOST_TEST(Started() == 1u);
  BOOST_TEST(mResponses.count(call) == 0u);
  // Neither the silent nor the empty lender is asked for the next request.
  SendForward("look");
  asked = Asked();
  BOOST_REQUIRE(asked.size() == 1u);
  BOOST_TEST(lenders.size() == 3u);
  BOOST_TEST((asked[0].first != silent.first));
}

BOOST_FIXTURE_TEST_CASE(request_waits_for_a_grantor_and_is_then_refused,
                        LoanRig)
{
  LoseControl();
  SpendOwnPart();
  std::vector<uint64_t> calls;
  for (int request = 0; request < 3; ++request) {
    calls.push_back(SendForward("look"));
    for (int lender = 0; lender < 3; ++lender) {
      for (const auto& asked : Asked()) {
        Lend(asked, false, Seconds(5));
      }
    }
  }
  Advance(Millis(300));
  BOOST_TEST(mResponses.empty());
  Advance(Millis(500));
  for (const uint64_t call : calls) {
    BOOST_REQUIRE(mResponses.count(call) == 1u);
    BOOST_TEST(mResponses[call].mStatus == 429);
  }
}

BOOST_FIXTURE_TEST_CASE(request_on_hold_starts_when_the_grantor_returns,
                        LoanRig)
{
  LoseControl();
  SpendOwnPart();
  const uint64_t call = SendForward("look");
  for (int lender = 0; lender < 3; ++lender) {
    for (const auto& asked : Asked()) {
      Lend(asked, false, Seconds(5));
    }
  }
  Advance(Millis(300));
  BOOST_TEST(mResponses.count(call) == 0u);
  mLease = true;
  mGrants = true;
  Receive(kControl, Leading{ Term(7) });
  Advance(Millis(300));
  BOOST_TEST(mResponses.count(call) == 0u);
  BOOST_TEST(Started() > 0u); // it may ask two nodes for a slot
}

BOOST_FIXTURE_TEST_CASE(entry_lends_only_while_it_is_out_of_touch, LoanRig)
{
  const auto ask = [&] {
    mSent.clear();
    Receive(PeerAddress("entry:2"),
            LoanRequest{ RequestId("r"), WorkspaceId("p"), {} });
    const auto replies = Sent<LoanReply>();
    BOOST_REQUIRE(replies.size() == 1u);
    return replies[0].mGranted;
  };
  BOOST_TEST(!ask());
  LoseControl();
  BOOST_TEST(ask());
  mLease = true;
  mGrants = true;
  Receive(kControl, Leading{ Term(7) });
  Advance(Seconds(2));
  BOOST_TEST(!ask());
}

BOOST_FIXTURE_TEST_CASE(no_loans_without_a_stated_tolerance, LoanRig)
{
  mEntry.mSettings.mRateTolerance = {};
  LoseControl();
  for (int request = 0; request < 50; ++request) {
    SendForward("look");
  }
  Advance(Seconds(1));
  BOOST_TEST(Asked().empty());
  Receive(PeerAddress("entry:2"),
          LoanRequest{ RequestId("r"), WorkspaceId("p"), {} });
  const auto replies = Sent<LoanReply>();
  BOOST_REQUIRE(replies.size() == 1u);
  BOOST_TEST(!replies[0].mGranted);
}
