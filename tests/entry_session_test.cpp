// Tests the entry's session with control. Guards against accepting requests
// without a lease, reverting to an older configuration, using withdrawn keys
// and zones out of service, waiting for a lost leader, and interrupting
// requests on shutdown.
#define BOOST_TEST_MODULE entry_session
#include <boost/test/unit_test.hpp>

#include "entry_rig.h"

using namespace caraway;

namespace {

struct OneNode : EntryRig
{
  OneNode()
  {
    AddNode("a1", 11);
    mSent.clear();
  }

  std::string Ready()
  {
    return std::to_string(Status(HttpWith("GET", "/readyz", "", {})));
  }

  // The entry's own member record, as control distributes it.
  void AddSelf()
  {
    Member self;
    self.mInstance = InstanceId("entry-1");
    self.mEpoch = Epoch(100);
    Change(SetMember{ self });
    mSent.clear();
  }

  void Redirect(const PeerAddress& aFrom, const char* aLeader)
  {
    Receive(aFrom, NotLeader{ PeerAddress(aLeader) });
  }

  // Destination of the last message of type T, empty if there is none.
  template<class T>
  std::string LastTo()
  {
    std::string to;
    for (const auto& [peer, message] : mSent) {
      if (std::holds_alternative<T>(message)) {
        to = peer.mValue;
      }
    }
    return to;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(session, OneNode)

BOOST_AUTO_TEST_CASE(expired_lease_refuses_keyed_work_only)
{
  BOOST_TEST(Ready() == "200");
  mLease = false;
  // The lease counts from the send time of the last renewal, less 1% for clock
  // drift.
  Advance(Millis(2960));
  BOOST_TEST(Ready() == "200");
  Advance(Millis(1000));
  BOOST_TEST(Ready() == "503");
  const uint64_t keyed = Chat();
  BOOST_TEST(Status(keyed) == 503);
  BOOST_TEST(ErrorField(keyed, "code") == "lease_expired");
  BOOST_TEST(ErrorField(keyed, "outcome") == "not_run");
  BOOST_TEST(!HeaderOf(keyed, "Retry-After").empty());
  HttpWith("GET", "/open/x", "", {});
  BOOST_TEST(OneDispatch().mWorkspace.Empty());
  BOOST_TEST(Status(HttpWith("GET", "/healthz", "", {})) == 200);
}

// Without the announcement, the entry notices the loss of a leader only when a
// renewal times out, and until then requests wait for tokens in vain.
BOOST_AUTO_TEST_CASE(announced_leader_is_used_at_once)
{
  const PeerAddress next("10.0.9.2:7000");
  mSent.clear();
  Receive(next, Leading{ Term(7) });
  BOOST_TEST(LastTo<Renew>() == next.mValue);
  // A late announcement of a former leader is ignored.
  mSent.clear();
  Receive(kControl, Leading{ Term(6) });
  BOOST_TEST(LastTo<Renew>() == "");
}

BOOST_AUTO_TEST_CASE(late_renewal_reply_does_not_lengthen_the_lease)
{
  mLease = false;
  Advance(Seconds(2));
  const MonoTime sent = mNow - Seconds(2);
  Receive(kControl,
          RenewReply{ InstanceId("entry-1"),
                      Epoch(100),
                      RenewVerdict::eGranted,
                      Seconds(3),
                      Revision(1),
                      sent.mMicros });
  Advance(Millis(980));
  BOOST_TEST(Ready() == "503");
}

BOOST_AUTO_TEST_CASE(new_revision_is_renewed_at_once)
{
  Change(SetZoneService{ ZoneId("b"), false });
  const auto renewals = Sent<Renew>();
  BOOST_REQUIRE(renewals.size() == 1u);
  BOOST_TEST(renewals[0].mRevision.mValue == mRevision);
}

BOOST_AUTO_TEST_CASE(configuration_revision_never_decreases)
{
  Change(WithdrawKey{ KeyId(TestKey('1').substr(0, 19)) });
  ConfigSnapshotPart old;
  old.mRevision = Revision(mRevision - 1);
  old.mLast = true;
  Receive(kControl, old);
  ConfigDelta delta;
  delta.mFrom = Revision(mRevision - 1);
  delta.mTo = Revision(mRevision);
  Receive(kControl, delta);
  BOOST_TEST(mEntry.mConfig.mRevision.mValue == mRevision);
  BOOST_TEST(Status(Chat()) == 401);
}

BOOST_AUTO_TEST_CASE(delta_with_a_gap_is_not_applied)
{
  ConfigDelta delta;
  delta.mFrom = Revision(mRevision + 5);
  delta.mTo = Revision(mRevision + 6);
  Receive(kControl, delta);
  BOOST_TEST(mEntry.mConfig.mRevision.mValue == mRevision);
}

BOOST_AUTO_TEST_CASE(snapshot_parts_are_collected_in_order)
{
  const std::vector<ConfigChange> changes =
    SnapshotChanges(mEntry.mConfig, ConfigScope::eAll);
  ConfigSnapshotPart first;
  first.mRevision = Revision(mRevision + 10);
  first.mChanges = { changes[0], changes[1] };
  ConfigSnapshotPart second = first;
  second.mOffset = 2;
  second.mChanges.assign(changes.begin() + 2, changes.end());
  second.mLast = true;
  Receive(kControl, second); // not applied without the first part
  BOOST_TEST(mEntry.mConfig.mRevision.mValue == mRevision);
  Receive(kControl, first);
  Receive(kControl, first);
  const auto fetches = Sent<ConfigFetch>();
  BOOST_REQUIRE(!fetches.empty());
  BOOST_TEST(fetches.back().mSnapshotOffset == 2u);
  BOOST_TEST((fetches.back().mSnapshotRevision == first.mRevision));
  Receive(kControl, second);
  BOOST_TEST(mEntry.mConfig.mRevision.mValue == mRevision + 10);
  BOOST_TEST(mEntry.mConfig.mKeys.size() == 1u);
}

BOOST_AUTO_TEST_CASE(fetch_switches_replica_after_timeout)
{
  mEntry.mSettings.mControl = { kControl, PeerAddress("control:2") };
  Advance(Seconds(2));
  BOOST_TEST(LastTo<ConfigFetch>() == "control:2");
}

BOOST_AUTO_TEST_CASE(redirect_is_followed_and_timeout_switches_replica)
{
  mEntry.mSettings.mControl = { kControl,
                                PeerAddress("control:2"),
                                PeerAddress("control:3") };
  mLease = false;
  Redirect(kControl, "control:3");
  BOOST_TEST(LastTo<Renew>() == "control:3");
  mSent.clear();
  Advance(Millis(500));
  BOOST_TEST(LastTo<Renew>() != "control:3");
  BOOST_TEST(!LastTo<Renew>().empty());
}

BOOST_AUTO_TEST_CASE(redirect_loop_between_replicas_is_rate_limited)
{
  mEntry.mSettings.mControl = { kControl, PeerAddress("control:2") };
  mLease = false;
  for (int round = 0; round < 100; ++round) {
    Redirect(kControl, "control:2");
    Redirect(PeerAddress("control:2"), "control:1");
    Advance(Millis(1));
  }
  BOOST_TEST(Sent<Renew>().size() <= 5u); // the first, and one per 50 ms
}

BOOST_AUTO_TEST_CASE(withdrawn_key_ends_running_requests)
{
  const uint64_t stream = Chat(true);
  Answer(OneDispatch(), 0, "data: 1\n\n", false);
  const uint64_t booking = Http("POST", "/stock/7", "{}");
  OneDispatch();
  HttpWith("GET", "/open/x", "", {});
  OneDispatch();
  Change(WithdrawKey{ KeyId(TestKey('1').substr(0, 19)) });
  BOOST_TEST(Sent<CancelRequest>().size() == 2u);
  BOOST_TEST(mState[stream] == "aborted");
  BOOST_TEST(mChunks[stream].find("withdrawn") != std::string::npos);
  BOOST_TEST(Status(booking) == 403);
  BOOST_TEST(ErrorField(booking, "outcome") == "unknown");
  BOOST_TEST(mEntry.mRequests.size() == 1u); // the one to the open route
}

BOOST_AUTO_TEST_CASE(withdrawn_contract_ends_its_keys)
{
  const uint64_t call = Chat();
  Change(WithdrawContract{ WorkspaceId("w") });
  BOOST_TEST(Status(call) == 403);
  BOOST_TEST(Status(Chat()) == 401);
}

BOOST_AUTO_TEST_CASE(zone_out_of_service_gets_no_new_work)
{
  AddNode("b1", 21);
  Change(SetZoneService{ ZoneId("a"), false });
  for (int request = 0; request < 20; ++request) {
    Chat();
    BOOST_TEST(OneDispatch().mNodeEpoch.mValue == 21u);
  }
  Change(SetTargetService{ TargetId("t-b1"), false });
  const uint64_t none = Chat();
  BOOST_TEST(Status(none) == 503);
  BOOST_TEST(ErrorField(none, "outcome") == "not_run");
  Change(SetZoneService{ ZoneId("a"), true });
  Chat();
  BOOST_TEST(OneDispatch().mNodeEpoch.mValue == 11u);
}

BOOST_AUTO_TEST_CASE(watches_of_nodes_in_use_are_renewed)
{
  Chat();
  BOOST_TEST(Sent<Watch>().size() == 1u);
  Advance(Seconds(9));
  BOOST_TEST(Sent<Watch>().size() == 2u);
}

BOOST_AUTO_TEST_CASE(stop_finishes_running_requests_then_leaves)
{
  AddSelf();
  const uint64_t before = Chat();
  const Dispatch first = OneDispatch();
  Step(StopRequested{});
  BOOST_TEST(Ready() == "503");
  BOOST_TEST(Sent<Renew>().back().mDraining);
  const uint64_t during = Chat(); // the load balancer still sends requests
  const Dispatch second = OneDispatch();
  Advance(Seconds(1));
  Outcomes(first, AttemptState::eRunning);
  Outcomes(second, AttemptState::eRunning);
  Advance(Seconds(1));
  const uint64_t after = Chat();
  BOOST_TEST(ErrorField(after, "code") == "draining");
  Answer(first, 0, "one", true);
  BOOST_TEST(Sent<Leave>().empty());
  Answer(second, 0, "two", true);
  BOOST_TEST(mResponses[before].mBody + mResponses[during].mBody == "onetwo");
  BOOST_TEST(Sent<Leave>().size() == 1u);
  BOOST_TEST(!mStopped);
  Receive(kControl,
          RenewReply{ InstanceId("entry-1"),
                      Epoch(100),
                      RenewVerdict::eUnknownSession,
                      {},
                      Revision(1),
                      0 });
  BOOST_TEST(mStopped);
  mSent.clear();
  Advance(Seconds(5));
  BOOST_TEST(mSent.empty());
}

BOOST_AUTO_TEST_CASE(stop_without_control_ends_after_five_seconds)
{
  mLease = false;
  AddSelf();
  Step(StopRequested{});
  Advance(Millis(6900));
  BOOST_TEST(!mStopped);
  BOOST_TEST(Sent<Leave>().size() >= 9u);
  Advance(Millis(200));
  BOOST_TEST(mStopped);
}

// Guards against an entry that goes on by a copy which lacks changes at or
// below its revision: it would lack them for good, with a lease.
BOOST_AUTO_TEST_CASE(copy_that_differs_is_fetched_whole)
{
  const Revision held = mEntry.mConfig.mRevision;
  mSent.clear();
  Receive(kControl,
          RenewReply{ InstanceId("entry-1"),
                      Epoch(100),
                      RenewVerdict::eCopyDiffers,
                      Seconds(3),
                      held,
                      mNow.mMicros });
  BOOST_TEST(Ready() == "503");
  const auto fetches = Sent<ConfigFetch>();
  BOOST_REQUIRE(!fetches.empty());
  BOOST_TEST(fetches.back().mHeld.IsNone());
  // Meanwhile no lease is asked for.
  Advance(Millis(200));
  for (const Renew& renew : Sent<Renew>()) {
    BOOST_TEST(renew.mRevision.IsNone());
  }
  // The copy of the leader at the same revision takes its place.
  ConfigSnapshotPart whole;
  whole.mRevision = held;
  whole.mChanges = { SetZoneService{ ZoneId("z"), false } };
  whole.mLast = true;
  Receive(kControl, whole);
  BOOST_TEST(!ZoneInService(mEntry.mConfig, ZoneId("z")));
  BOOST_TEST((mEntry.mConfig.mRevision == held));
  const auto renewals = Sent<Renew>();
  BOOST_REQUIRE(!renewals.empty());
  BOOST_TEST((renewals.back().mRevision == held));
  BOOST_TEST(Ready() == "200");
}

BOOST_AUTO_TEST_SUITE_END()
