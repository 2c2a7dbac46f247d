// Tests three replicas with members: leases, elections, cut-off leaders and
// withdrawals.
#define BOOST_TEST_MODULE control_replicas
#include <boost/test/unit_test.hpp>

#include <deque>
#include <optional>

#include <nlohmann/json.hpp>

#include "tests/control_holder.h"

using namespace caraway;
using Json = nlohmann::json;

namespace {

const std::string kContract = R"({"rate":10,"burst":20})";

struct ThreeReplicas
{
  ControlLink mLink;
  std::deque<LinkHolder> mHolders;

  explicit ThreeReplicas(uint64_t aSeed = 1)
    : mLink(3, aSeed)
  {
    for (LinkReplica& replica : mLink.mReplicas) {
      replica.mSettings.mEntriesAdmitWhenCutOff = true;
    }
    mLink.StartAll();
    BOOST_REQUIRE(mLink.AwaitLeader());
  }

  LinkHolder& Join(const std::string& aZone)
  {
    mHolders.push_back(MakeHolder(mLink, mHolders.size(), aZone));
    mHolders.back().mFetchFrom = mHolders.size() % 3;
    mHolders.back().Begin();
    return mHolders.back();
  }

  uint64_t Put(const std::string& aWorkspace)
  {
    const auto response =
      mLink.Write("PUT", "/admin/contracts/" + aWorkspace, kContract);
    BOOST_REQUIRE(response.mStatus == 200);
    return Json::parse(response.mBody)["revision"];
  }

  bool InForce(uint64_t aRevision)
  {
    const auto response =
      mLink.Call(mLink.Leader().value(),
                 "GET",
                 "/admin/inforce?revision=" + std::to_string(aRevision));
    return response.mStatus == 200 &&
           Json::parse(response.mBody)["in_force"].get<bool>();
  }

  Revision RevisionAt(size_t aReplica)
  {
    return mLink.mReplicas[aReplica].mControl->mState.mConfig.mView.mRevision;
  }
};

} // namespace

// A retransmitted Register must not end the session that the first one started.
BOOST_FIXTURE_TEST_CASE(register_is_idempotent_per_incarnation, ThreeReplicas)
{
  LinkHolder& holder = Join("z1");
  mLink.Run(Seconds(2));
  const Epoch epoch = holder.mEpoch;
  BOOST_TEST(!epoch.IsNone());
  holder.Send(Register{ holder.mMember, 1 });
  mLink.Run(Millis(100));
  BOOST_TEST((holder.mEpoch == epoch));
  // A new process of the same instance ends the old session, and a late
  // duplicate of the old process must not end the new one.
  const Member old = holder.mMember;
  holder.mMember.mIncarnation = 99;
  holder.mEpoch = {};
  holder.Send(Register{ holder.mMember, 1 });
  mLink.Run(Millis(100));
  BOOST_TEST((holder.mEpoch > epoch));
  const Epoch fresh = holder.mEpoch;
  holder.Send(Register{ old, 1 });
  mLink.Run(Millis(100));
  const auto& members = mLink.LeaderControl().mState.mConfig.mView.mMembers;
  BOOST_TEST((members.at(old.mInstance).mEpoch == fresh));
}

BOOST_FIXTURE_TEST_CASE(silent_holder_delays_in_force_by_its_lease,
                        ThreeReplicas)
{
  Join("z1");
  Join("z1");
  LinkHolder& silent = Join("z1");
  mLink.Run(Seconds(3));
  silent.mSilent = true;
  // A last renewal may be in flight.
  const MonoTime freed = GrantorLeaseEnd(mLink.mNow + mLink.mDelay, Seconds(3));
  const uint64_t revision = Put("lindholt");
  mLink.Run(Seconds(1));
  BOOST_TEST(!InForce(revision));
  BOOST_TEST((silent.mLeaseEnd > mLink.mNow));
  mLink.RunUntil(silent.mLeaseEnd);
  // At the grantor the lease expires later than at the holder.
  BOOST_TEST(!InForce(revision));
  mLink.RunUntil(freed);
  BOOST_TEST(InForce(revision));
  mLink.Run(Seconds(3));
  const auto& members = mLink.LeaderControl().mState.mConfig.mView.mMembers;
  BOOST_TEST(!members.contains(silent.mMember.mInstance));
  BOOST_TEST(members.size() == 2u);
}

BOOST_FIXTURE_TEST_CASE(withdrawn_key_and_zone_out_reach_every_holder,
                        ThreeReplicas)
{
  for (int at = 0; at < 6; ++at) {
    Join("z" + std::to_string(at % 3));
  }
  mLink.Run(Seconds(3));
  Put("lindholt");
  const Json key = Json::parse(
    mLink.Write("POST", "/admin/keys", R"({"workspace":"lindholt"})").mBody);
  const KeyId id(key["id"].get<std::string>());
  mLink.Write("DELETE", "/admin/keys/" + id.mValue);
  const Json out =
    Json::parse(mLink.Write("POST", "/admin/zones/z1/out").mBody);
  mLink.Run(Seconds(2));
  BOOST_TEST(InForce(out["revision"]));
  for (const LinkHolder& holder : mHolders) {
    BOOST_TEST(holder.mView.mKeys.at(id).mWithdrawn);
    BOOST_TEST(!ZoneInService(holder.mView, ZoneId("z1")));
  }
}

// A cut-off leader that does not know of its successor must serve neither
// reads nor renewals.
BOOST_FIXTURE_TEST_CASE(cut_off_leader_serves_nothing, ThreeReplicas)
{
  LinkHolder& holder = Join("z1");
  mLink.Run(Seconds(2));
  const size_t old = mLink.Leader().value();
  mLink.mCut.insert(ControlLink::AddressOf(old));
  mLink.Run(Millis(520));
  const HttpResponse read = mLink.Call(old, "GET", "/admin/contracts");
  BOOST_TEST((read.mStatus == 503 || read.mStatus == 421));
  std::vector<ControlAction> actions;
  Renew renew;
  renew.mInstance = holder.mMember.mInstance;
  renew.mEpoch = holder.mEpoch;
  StepControl(*mLink.mReplicas[old].mControl,
              mLink.mNow,
              1000,
              MessageReceived{ holder.mMember.mAddress, renew },
              actions);
  for (const ControlAction& action : actions) {
    const auto* send = std::get_if<SendMessage>(&action);
    BOOST_TEST(
      (send == nullptr || !std::holds_alternative<RenewReply>(send->mMessage)));
  }
  BOOST_REQUIRE(mLink.AwaitLeader());
  BOOST_TEST(mLink.Leader().value() != old);
  const uint64_t revision = Put("lindholt");
  mLink.mCut.clear();
  mLink.Run(Seconds(2));
  BOOST_TEST(RevisionAt(old).mValue == revision);
}

// A write accepted by a cut-off leader must not be confirmed, and a resend
// to the new leader must succeed.
BOOST_FIXTURE_TEST_CASE(unconfirmed_write_is_reported_as_unknown, ThreeReplicas)
{
  const size_t old = mLink.Leader().value();
  mLink.mCut.insert(ControlLink::AddressOf(old));
  const HttpCallId call = mLink.Ask(old,
                                    "PUT",
                                    "/admin/contracts/w",
                                    kContract,
                                    { { "X-Operation-Id", "lost" } });
  mLink.Run(Seconds(3));
  BOOST_REQUIRE(mLink.mResponses.contains(call));
  BOOST_TEST(mLink.mResponses[call].mStatus == 503);
  const Json error = Json::parse(mLink.mResponses[call].mBody)["error"];
  BOOST_TEST(error["outcome"] == "unknown");
  BOOST_REQUIRE(mLink.AwaitLeader());
  BOOST_TEST(
    mLink.Write("PUT", "/admin/contracts/w", kContract, "lost").mStatus == 200);
  mLink.mCut.clear();
  mLink.Run(Seconds(2));
  BOOST_TEST((RevisionAt(0) == RevisionAt(1)));
  BOOST_TEST((RevisionAt(1) == RevisionAt(2)));
}

BOOST_FIXTURE_TEST_CASE(follower_names_the_leader, ThreeReplicas)
{
  const size_t leader = mLink.Leader().value();
  const HttpResponse response =
    mLink.Call((leader + 1) % 3, "GET", "/admin/status");
  BOOST_TEST(response.mStatus == 421);
  BOOST_TEST(Json::parse(response.mBody)["leader"] ==
             ControlLink::AddressOf(leader).mValue);
}

// If the leader itself was cut off, most members seem lost. They must get time
// to renew before any of them is removed.
BOOST_FIXTURE_TEST_CASE(mass_loss_of_members_delays_removal, ThreeReplicas)
{
  for (int at = 0; at < 6; ++at) {
    Join("z" + std::to_string(at % 3));
  }
  mLink.Run(Seconds(3));
  for (LinkHolder& holder : mHolders) {
    holder.mSilent = true;
  }
  mLink.Run(Seconds(7));
  const auto& view = mLink.LeaderControl().mState.mConfig.mView;
  BOOST_TEST(view.mMembers.size() == 6u);
  for (int at = 0; at < 5; ++at) {
    mHolders[static_cast<size_t>(at)].mSilent = false;
  }
  mLink.Run(Seconds(4));
  BOOST_TEST(view.mMembers.size() == 5u);
  for (const LinkHolder& holder : mHolders) {
    BOOST_TEST(holder.mRegistrations == 1u);
  }
}

// Leases and sessions must survive repeated changes of leader.
BOOST_FIXTURE_TEST_CASE(sessions_survive_changes_of_leader, ThreeReplicas)
{
  for (int at = 0; at < 4; ++at) {
    Join("z1");
  }
  mLink.Run(Seconds(3));
  uint64_t revision = Put("lindholt");
  for (int round = 0; round < 3; ++round) {
    const size_t killed = mLink.Leader().value();
    mLink.Kill(killed);
    const MonoTime at = mLink.mNow;
    BOOST_REQUIRE(mLink.AwaitLeader(Seconds(2)));
    BOOST_TEST((mLink.mNow - at <= Seconds(2)));
    const auto next = Put("ws-" + std::to_string(round));
    BOOST_TEST(next > revision);
    revision = next;
    mLink.Start(killed);
    mLink.Run(Seconds(5));
    BOOST_TEST(InForce(revision));
    BOOST_TEST(RevisionAt(killed).mValue == revision);
  }
  for (const LinkHolder& holder : mHolders) {
    BOOST_TEST(holder.mRegistrations == 1u);
  }
}

namespace {

// Checks that what the leader grants and what cut-off entries admit on their
// own make up no more than the rate.
void
CheckRateShares(ThreeReplicas& aGroup)
{
  if (!aGroup.mLink.Leader()) {
    return;
  }
  const Control& control = aGroup.mLink.LeaderControl();
  // The leader looks at the leases every 200 ms.
  const MonoTime before = aGroup.mLink.mNow - Millis(300);
  size_t cutOff = 0;
  for (const LinkHolder& holder : aGroup.mHolders) {
    cutOff += holder.mLeaseEnd <= before ? 1 : 0;
  }
  const double shares =
    static_cast<double>(cutOff) / static_cast<double>(aGroup.mHolders.size());
  BOOST_TEST(control.mLeadership.mGrantor.mRateShare + shares <= 1 + 1e-9);
}

} // namespace

// Guards against a quota that two holders use: an entry that is cut off admits
// its share, and a leader that was elected since does not know of it.
BOOST_AUTO_TEST_CASE(new_leader_leaves_cut_off_entries_their_share)
{
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      ThreeReplicas group(seed);
      for (int at = 0; at < 5; ++at) {
        group.Join("z1");
      }
      group.mLink.Run(Seconds(3));
      Random random(seed);
      std::optional<size_t> killed;
      for (int step = 0; step < 25; ++step) {
        LinkHolder& holder =
          group.mHolders[DrawBelow(random, group.mHolders.size())];
        switch (DrawBelow(random, 3)) {
          case 0:
            holder.mSilent = true;
            break;
          case 1:
            holder.mSilent = false;
            break;
          default:
            if (killed) {
              group.mLink.Start(*killed);
              killed.reset();
            } else if (group.mLink.Leader()) {
              killed = group.mLink.Leader();
              group.mLink.Kill(*killed);
            }
        }
        for (uint64_t part = 1 + DrawBelow(random, 40); part > 0; --part) {
          group.mLink.Run(Millis(100));
          CheckRateShares(group);
        }
      }
    }
  }
}

// A replica that missed more entries than the log keeps must catch up by a
// snapshot.
BOOST_AUTO_TEST_CASE(lagging_replica_gets_a_snapshot_and_serves_it)
{
  ControlLink link(3);
  for (LinkReplica& replica : link.mReplicas) {
    replica.mSettings.mRaft.mSnapshotEvery = 50;
    replica.mSettings.mRaft.mTailEntries = 10;
  }
  link.StartAll();
  BOOST_REQUIRE(link.AwaitLeader());
  const size_t behind = (link.Leader().value() + 1) % 3;
  link.Kill(behind);
  for (int round = 0; round < 200; ++round) {
    BOOST_REQUIRE(
      link
        .Write("PUT", "/admin/contracts/ws-" + std::to_string(round), kContract)
        .mStatus == 200);
  }
  link.Start(behind);
  link.Run(Seconds(3));
  const Control& control = *link.mReplicas[behind].mControl;
  BOOST_TEST(control.mState.mConfig.mView.mContracts.size() == 200u);
  BOOST_TEST(control.mState.mConfig.mView.mRevision.mValue == 200u);
  BOOST_TEST(!link.mReplicas[behind].mHalted);
}

BOOST_FIXTURE_TEST_CASE(leaving_member_and_stopping_replica, ThreeReplicas)
{
  LinkHolder& holder = Join("z1");
  mLink.Run(Seconds(2));
  holder.Send(Leave{ holder.mMember.mInstance, holder.mEpoch });
  holder.mSilent = true;
  mLink.Run(Millis(100));
  BOOST_TEST(mLink.LeaderControl().mState.mConfig.mView.mMembers.empty());
  const uint64_t revision = Put("lindholt");
  BOOST_TEST(InForce(revision)); // no member holds a lease any more
  const size_t leader = mLink.Leader().value();
  mLink.Post(leader, mLink.mNow, StopRequested{});
  mLink.Run(Millis(50));
  BOOST_TEST(mLink.mReplicas[leader].mStopped);
  BOOST_TEST(mLink.Call(leader, "GET", "/readyz").mStatus == 503);
}

// Guards against a member that takes the state which a restarted replica has
// recovered from its disk for the configuration in force.
BOOST_AUTO_TEST_CASE(recovered_state_is_not_served_before_the_commit_is_known)
{
  ControlLink link(3);
  for (LinkReplica& replica : link.mReplicas) {
    replica.mSettings.mRaft.mSnapshotEvery = 50;
  }
  link.StartAll();
  BOOST_REQUIRE(link.AwaitLeader());
  for (int round = 0; round < 90; ++round) {
    BOOST_REQUIRE(
      link
        .Write("PUT", "/admin/contracts/ws-" + std::to_string(round), kContract)
        .mStatus == 200);
  }
  link.Run(Seconds(1));
  for (size_t at = 0; at < 3; ++at) {
    link.Kill(at);
  }
  // Each revision that a member is sent from the first moment on.
  std::vector<uint64_t> served;
  const PeerAddress member("10.1.0.1:1");
  link.mPeers[member] = [&](const PeerAddress&, const Message& aMessage) {
    if (const auto* delta = std::get_if<ConfigDelta>(&aMessage)) {
      served.push_back(delta->mTo.mValue);
    } else if (const auto* part = std::get_if<ConfigSnapshotPart>(&aMessage)) {
      served.push_back(part->mRevision.mValue);
    }
  };
  link.StartAll();
  for (size_t at = 0; at < 3; ++at) {
    BOOST_REQUIRE(
      link.mReplicas[at].mControl->mState.mConfig.mView.mRevision.mValue < 90u);
    link.SendFrom(member, ControlLink::AddressOf(at), ConfigFetch{});
    BOOST_REQUIRE(link.AwaitLeader());
    link.Run(Millis(200));
    BOOST_TEST(served == std::vector<uint64_t>{ 90 },
               boost::test_tools::per_element());
    served.clear();
    // Again for the next one, with all of them restarted.
    for (size_t other = 0; other < 3; ++other) {
      link.Kill(other);
    }
    link.StartAll();
  }
}
