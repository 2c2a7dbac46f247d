// Guards the tolerance above contracts: it must serve callers within their rate
// while nobody knows what was admitted, and never exceed what the deployment
// states, over every window and all entries.
#define BOOST_TEST_MODULE admission_overrun
#include <boost/test/unit_test.hpp>

#include "caraway/admission/grantor.h"
#include "caraway/admission/token_holder.h"
#include "caraway/control/command.h"

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

// One entry that asks a leader which has just started.
struct NewLeader
{
  ConfigView mConfig;
  Grantor mGrantor;
  TokenHolder mHolder;
  MonoTime mNow{ Seconds(100).mMicros };

  NewLeader()
  {
    mConfig.mContracts[kNorth] = MakeContract(4, 8);
    StartGrantor(
      mGrantor, mNow, mConfig, Seconds(2), Seconds(3), Term(1), mNow);
    StartTokenHolder(mHolder, mNow, InstanceId("entry-1"), Epoch(1));
  }

  // Tries to admit aCount requests at once, as callers do that return together.
  int Admit(int aCount)
  {
    int admitted = 0;
    int waiting = 0;
    for (int request = 0; request < aCount; ++request) {
      const Admission admission =
        TryAdmit(mHolder, mNow, mConfig.mContracts.at(kNorth), false);
      admitted += admission.mVerdict == AdmitVerdict::eAdmitted ? 1 : 0;
      waiting += admission.mVerdict == AdmitVerdict::eAsk ? 1 : 0;
    }
    for (int round = 0; round < 8; ++round) {
      if (auto ask = NextGrantRequest(mHolder, mNow)) {
        HandleGrantReply(
          mHolder, mNow, HandleGrantRequest(mGrantor, mNow, mConfig, *ask));
        int still = 0;
        for (; waiting > 0; --waiting) {
          const Admission admission =
            TryAdmit(mHolder, mNow, mConfig.mContracts.at(kNorth), true);
          admitted += admission.mVerdict == AdmitVerdict::eAdmitted ? 1 : 0;
          still += admission.mVerdict == AdmitVerdict::eAsk ? 1 : 0;
        }
        waiting = still;
      }
      mNow = mNow + Millis(20);
    }
    return admitted;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(new_leader_without_a_tolerance_starts_empty, NewLeader)
{
  BOOST_TEST(Admit(8) <= 1);
}

BOOST_FIXTURE_TEST_CASE(new_leader_serves_callers_that_return_together,
                        NewLeader)
{
  AllowOverrun(mGrantor, kTolerance, mNow + kLeaderOverrunTime);
  BOOST_TEST(Admit(8) == 8);
}

BOOST_FIXTURE_TEST_CASE(new_leader_stays_within_its_part_of_the_tolerance,
                        NewLeader)
{
  AllowOverrun(mGrantor, kTolerance, mNow + kLeaderOverrunTime);
  const double part =
    kLeaderPart * OverrunOf(kTolerance, mConfig.mContracts.at(kNorth));
  int admitted = 0;
  const MonoTime start = mNow;
  while (mNow - start < Seconds(2)) {
    admitted += Admit(50);
  }
  const double contract = 4 * (mNow - start).Seconds() + 8;
  BOOST_TEST(admitted <= contract + part);
  mNow = start + Seconds(10);
  const MonoTime calm = mNow;
  admitted = Admit(50);
  BOOST_TEST(admitted <= 8 + 4 * (mNow - calm).Seconds() + 1);
}

BOOST_AUTO_TEST_CASE(leaders_in_quick_succession_share_one_tolerance)
{
  ControlState state;
  uint64_t index = 0;
  const auto ask = [&](Duration aLogical) {
    ControlCommand command;
    command.mLogical = MonoTime{ aLogical.mMicros };
    command.mBody = UseRateTolerance{ Seconds(7) };
    return ApplyCommand(state, LogIndex(++index), command).mMayOverrun;
  };
  BOOST_TEST(ask(Seconds(1)));
  BOOST_TEST(!ask(Seconds(2)));
  const auto decoded = DecodeControlState(EncodeControlState(state));
  BOOST_REQUIRE(decoded.ok());
  state = *decoded; // a replica that starts from a snapshot
  BOOST_TEST(!ask(Seconds(7)));
  BOOST_TEST(ask(Seconds(8)));
}

BOOST_AUTO_TEST_CASE(no_tolerance_without_a_setting)
{
  BOOST_TEST(OverrunOf({}, MakeContract(4, 8)) == 0);
}
