// Runs all roles over in-memory links with a series of faults. Each case failed
// once, or guards a guarantee that only the roles together can keep. The oracle
// of fuzz/fleet checks safety at every step, and liveness after the last fault.
#define BOOST_TEST_MODULE fleet_faults
#include <boost/test/unit_test.hpp>

#include "fuzz/fleet/batches.h"
#include "fuzz/fleet/commands.h"

using namespace caraway::fleet;

namespace {

using Kind = CommandKind;

void
CheckRun(const std::vector<Command>& aCommands,
         const FleetSettings& aSettings = {})
{
  std::string trace;
  for (const std::string& broken : RunCommands(aSettings, aCommands, &trace)) {
    BOOST_ERROR(broken);
  }
}

std::vector<Command>
Repeated(size_t aTimes, const std::vector<Command>& aCommands)
{
  std::vector<Command> all;
  for (size_t i = 0; i < aTimes; ++i) {
    all.insert(all.end(), aCommands.begin(), aCommands.end());
  }
  return all;
}

std::vector<Command>
Joined(const std::vector<std::vector<Command>>& aParts)
{
  std::vector<Command> all;
  for (const auto& part : aParts) {
    all.insert(all.end(), part.begin(), part.end());
  }
  return all;
}

const std::vector<Command> kTraffic{ { Kind::eOnline, 0, 20 },
                                     { Kind::eStream, 1, 20 },
                                     { Kind::eService, 0, 20 },
                                     { Kind::eServiceKey, 1, 20 },
                                     { Kind::eResend, 0, 20 } };

} // namespace

// A node that lost contact with control once dropped its items without handing
// them back. Its session stayed alive, so the ledger waited for them for ever.
// The items have to be running when the lease expires, so the test varies the
// phase relative to the renewals.
BOOST_AUTO_TEST_CASE(items_are_handed_back_after_lost_contact)
{
  for (uint32_t phase = 0; phase < 1000; phase += 100) {
    CheckRun(Joined({ { { Kind::eSilenceTarget, 0, 0 },
                        { Kind::eSilenceTarget, 1, 0 },
                        { Kind::eSilenceTarget, 2, phase },
                        { Kind::eBatch, 30, 80 },
                        { Kind::eKillControl, 0, 0 },
                        { Kind::eKillLeader, 0, 0 } },
                      Repeated(20, { { Kind::eWait, 0, 600 } }) }));
  }
}

BOOST_AUTO_TEST_CASE(leader_killed_and_cut_off_in_turn)
{
  CheckRun(Joined({ { { Kind::eBatch, 33, 100 } },
                    kTraffic,
                    { { Kind::eKillLeader, 0, 200 } },
                    kTraffic,
                    { { Kind::eRestartControl, 0, 100 },
                      { Kind::eRestartControl, 1, 100 },
                      { Kind::eRestartControl, 2, 2000 },
                      { Kind::eIsolateLeader, 0, 500 } },
                    kTraffic,
                    { { Kind::eWithdrawKey, 0, 100 } },
                    kTraffic }));
}

BOOST_AUTO_TEST_CASE(second_loss_right_after_a_repair)
{
  CheckRun(Joined({ { { Kind::eBatch, 30, 50 },
                      { Kind::eChangeContract, 1, 0 },
                      { Kind::eKillLeader, 0, 50 },
                      { Kind::eRestartControl, 0, 0 },
                      { Kind::eRestartControl, 1, 0 },
                      { Kind::eRestartControl, 2, 30 },
                      { Kind::eKillLeader, 0, 50 },
                      { Kind::eChangeContract, 2, 300 } },
                    kTraffic }));
}

BOOST_AUTO_TEST_CASE(entry_lost_with_orders_in_flight)
{
  CheckRun(Joined({ kTraffic,
                    { { Kind::eServiceKey, 0, 1 },
                      { Kind::eKillEntry, 0, 0 },
                      { Kind::eResend, 1, 50 },
                      { Kind::eRestartEntry, 0, 3000 },
                      { Kind::eResend, 0, 50 } },
                    kTraffic }));
}

BOOST_AUTO_TEST_CASE(nodes_killed_with_items_and_calls_in_flight)
{
  CheckRun(Joined({ { { Kind::eBatch, 39, 300 } },
                    kTraffic,
                    { { Kind::eKillNode, 0, 0 },
                      { Kind::eKillNode, 3, 10 },
                      { Kind::eRestartNode, 0, 300 },
                      { Kind::eKillNode, 0, 10 },
                      { Kind::eKillTarget, 1, 100 },
                      { Kind::eRestartTargetCold, 1, 100 } },
                    kTraffic }));
}

BOOST_AUTO_TEST_CASE(zone_out_and_back_while_a_key_is_withdrawn)
{
  CheckRun(
    Joined({ { { Kind::eBatch, 30, 50 } },
             kTraffic,
             { { Kind::eZoneOut, 0, 10 }, { Kind::eWithdrawKey, 0, 10 } },
             Repeated(3, kTraffic),
             Repeated(16, { { Kind::eOnline, 0, 550 } }),
             { { Kind::eZoneIn, 0, 100 } },
             kTraffic }));
}

BOOST_AUTO_TEST_CASE(graceful_stops_cut_no_request)
{
  CheckRun(Joined({ { { Kind::eBatch, 30, 50 } },
                    kTraffic,
                    { { Kind::eBurst, 0, 5 },
                      { Kind::eStopEntry, 0, 10 },
                      { Kind::eStopNode, 0, 10 } },
                    kTraffic,
                    Repeated(8, { { Kind::eWait, 0, 600 } }) }));
}

BOOST_AUTO_TEST_CASE(cancelled_job_stops_through_a_leader_change)
{
  CheckRun({ { Kind::eTurnCold, 0, 0 },
             { Kind::eTurnCold, 1, 0 },
             { Kind::eTurnCold, 2, 0 },
             { Kind::eBatch, 39, 400 },
             { Kind::eKillLeader, 0, 10 },
             { Kind::eCancelJob, 0, 100 },
             { Kind::eReadResults, 0, 8000 } });
}

BOOST_AUTO_TEST_CASE(lost_and_duplicated_messages)
{
  CheckRun(
    Joined({ { { Kind::eLossy, 0, 0 }, { Kind::eBatch, 36, 100 } },
             Repeated(6, kTraffic),
             { { Kind::eCutOneWay, 0, 100 }, { Kind::eCutOneWay, 3, 100 } },
             Repeated(4, kTraffic) }));
}

// Withdrawing a contract once did not stop the running batch jobs of its
// workspace.
BOOST_AUTO_TEST_CASE(withdrawn_contract_stops_batch_work)
{
  const auto fleet = StartFleet({});
  for (auto& [address, node] : fleet->mNodes) {
    node.mTarget.mServiceTime = caraway::Seconds(3);
  }
  const SubmittedJob job = SubmitJob(*fleet, 0, 40, false);
  BOOST_REQUIRE(!job.mId.empty());
  RunFor(*fleet, caraway::Seconds(1));
  BOOST_REQUIRE(
    Operate(*fleet, "DELETE", "/admin/contracts/acme", "").mStatus == 200);
  RunFor(*fleet, caraway::Seconds(7));
  const size_t before = fleet->mOracle.mExecutions.size();
  RunFor(*fleet, caraway::Seconds(20));
  BOOST_TEST(fleet->mOracle.mExecutions.size() == before);
}
