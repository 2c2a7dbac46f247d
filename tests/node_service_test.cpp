// Guards against a node that accepts work that it must refuse (without a lease,
// out of service, draining, with a withdrawn key), and against a stop that
// interrupts calls or loses the session.
#define BOOST_TEST_MODULE node_service
#include <boost/test/unit_test.hpp>

#include "tests/node_fixture.h"

using namespace caraway;

namespace {

// Applies one configuration change as the node's next revision.
void
Change(NodeFixture& aNode, ConfigChange aChange)
{
  const uint64_t held = aNode.mNode.mSession.mView.mRevision.mValue;
  ConfigDelta delta;
  delta.mFrom = Revision(held);
  delta.mTo = Revision(held + 1);
  delta.mChanges = { { Revision(held + 1), std::move(aChange) } };
  aNode.Hear(kTestControl, delta);
}

ErrorKind
KindOfRefusal(NodeFixture& aNode, const std::string& aRequest)
{
  if (!aNode.Run(aNode.Call(aRequest)).IsNone()) {
    return ErrorKind::eNone;
  }
  const auto refusals = aNode.Sent<Refusal>();
  BOOST_REQUIRE_EQUAL(refusals.size(), 1u);
  BOOST_TEST((refusals[0].mOutcome == Outcome::eNotRun));
  return refusals[0].mKind;
}

} // namespace

BOOST_AUTO_TEST_CASE(malformed_announcements_get_a_clear_400)
{
  NodeFixture node;
  for (const char* body : { "",
                            "[]",
                            R"({"target":"t"})",
                            R"({"target":"t","kind":"x","url":"http://a",
                                "start_id":"1"})",
                            R"({"target":"t","kind":"engine","url":"http://a",
                                "start_id":"1","models":[1]})" }) {
    HttpRequest request;
    request.mMethod = "POST";
    request.mPath = "/announce";
    request.mBody = body;
    node.Give(request);
    const auto responses = node.Actions<HttpResponse>();
    BOOST_REQUIRE_EQUAL(responses.size(), 1u);
    BOOST_TEST(responses[0].mStatus == 400);
    BOOST_TEST(responses[0].mBody.find("send ") != std::string::npos);
  }
  BOOST_TEST(!node.mNode.mTarget.mPresent);
}

BOOST_AUTO_TEST_CASE(registers_at_another_replica_after_half_a_second)
{
  NodeFixture node;
  node.Announce();
  BOOST_TEST(node.Sent<Register>().size() == 1u);
  node.Wait(Millis(500));
  bool other = false;
  for (const SendMessage& send : node.Actions<SendMessage>()) {
    other = other || (std::holds_alternative<Register>(send.mMessage) &&
                      send.mTo == kTestControl2);
  }
  BOOST_TEST(other);
  // A redirect is followed immediately, but replicas that name each other as
  // the leader are asked at most every 50 ms.
  node.Hear(kTestControl2, NotLeader{ PeerAddress("127.0.0.1:9") });
  BOOST_REQUIRE_EQUAL(node.Sent<Register>().size(), 1u);
  BOOST_TEST(
    (node.Actions<SendMessage>().back().mTo == PeerAddress("127.0.0.1:9")));
  node.Hear(kTestControl2, NotLeader{ kTestControl });
  BOOST_TEST(node.Sent<Register>().empty());
  node.Wait(Millis(50));
  BOOST_TEST(node.Sent<Register>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(lease_end_refuses_new_and_waiting_work)
{
  NodeFixture node;
  node.MakeReady();
  node.Run(node.Call("running"));
  node.Run(node.Call("waiting"));
  const MonoTime granted = node.mNow;
  node.mNow = granted + Millis(2969); // 3 s minus 1% clock drift, minus 1 ms
  node.Announce();
  BOOST_TEST(node.Sent<Refusal>().empty());
  node.Wait(Millis(1));
  BOOST_REQUIRE_EQUAL(node.Sent<Refusal>().size(), 1u);
  BOOST_TEST((node.Sent<Refusal>()[0].mKind == ErrorKind::eLeaseExpired));
  BOOST_TEST((KindOfRefusal(node, "new") == ErrorKind::eLeaseExpired));
  node.GrantLease();
  BOOST_TEST(node.mNode.mScheduler.mRunning.size() == 1u); // still runs
}

BOOST_AUTO_TEST_CASE(late_renew_reply_counts_from_its_send_time)
{
  NodeFixture node;
  node.MakeReady();
  RenewReply reply;
  reply.mInstance = InstanceId("node-1");
  reply.mEpoch = Epoch(7);
  reply.mLease = Seconds(3);
  reply.mSentAt = node.mNow.mMicros;
  node.mNow = node.mNow + Seconds(3);
  node.Announce();
  node.Hear(kTestControl, reply);
  BOOST_TEST((KindOfRefusal(node, "r1") == ErrorKind::eLeaseExpired));
}

BOOST_AUTO_TEST_CASE(zone_out_of_service_refuses_new_work_and_finishes_calls)
{
  NodeFixture node;
  node.MakeReady();
  const TargetCallId running = node.Run(node.Call("r1"));
  node.Run(node.Call("waiting"));
  Change(node, SetZoneService{ ZoneId("zone-a"), false });
  BOOST_REQUIRE_EQUAL(node.Sent<Refusal>().size(), 1u);
  BOOST_TEST((node.Sent<Refusal>()[0].mKind == ErrorKind::eZoneOut));
  BOOST_TEST(!node.Sent<Renew>().empty()); // acknowledges the revision at once
  BOOST_TEST((KindOfRefusal(node, "new") == ErrorKind::eZoneOut));
  node.Answer(running, "done");
  BOOST_TEST(node.Sent<AnswerPart>().back().mLast);
  Change(node, SetZoneService{ ZoneId("zone-a"), true });
  BOOST_TEST((KindOfRefusal(node, "again") == ErrorKind::eNone));
  node.Hear(kTestControl, ConfigDelta{}); // an outdated answer is ignored
  Change(node, SetTargetService{ TargetId("t1"), false });
  BOOST_TEST((KindOfRefusal(node, "target") == ErrorKind::eZoneOut));
}

BOOST_AUTO_TEST_CASE(withdrawn_key_ends_its_calls_and_blocks_new_ones)
{
  NodeFixture node(4);
  node.MakeReady();
  Dispatch other = node.Call("other");
  other.mKey = KeyId("ck_2");
  node.Run(other);
  const TargetCallId id = node.Run(node.Call("r1"));
  Change(node, WithdrawKey{ KeyId("ck_1") });
  const auto cancelled = node.Actions<CancelTargetCall>();
  BOOST_REQUIRE_EQUAL(cancelled.size(), 1u);
  BOOST_TEST((cancelled[0].mCall == id));
  BOOST_TEST((node.Sent<Refusal>()[0].mKind == ErrorKind::eWithdrawn));
  BOOST_TEST((KindOfRefusal(node, "r2") == ErrorKind::eWithdrawn));
}

BOOST_AUTO_TEST_CASE(new_entry_session_ends_calls_of_the_old_one)
{
  NodeFixture node;
  node.MakeReady();
  node.Run(node.Call("r1"));
  Member entry;
  entry.mInstance = InstanceId("entry-1");
  entry.mRole = MemberRole::eEntry;
  entry.mEpoch = Epoch(3); // the session that sent the call
  Change(node, SetMember{ entry });
  BOOST_TEST(node.Actions<CancelTargetCall>().empty());
  entry.mEpoch = Epoch(4);
  Change(node, SetMember{ entry });
  BOOST_TEST(node.Actions<CancelTargetCall>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(node_registers_again_after_unknown_session)
{
  NodeFixture node;
  node.MakeReady();
  RenewReply reply;
  reply.mInstance = InstanceId("node-1");
  reply.mEpoch = Epoch(7);
  reply.mVerdict = RenewVerdict::eUnknownSession;
  node.Hear(kTestControl, reply);
  BOOST_TEST(node.Sent<Register>().size() == 1u);
  BOOST_TEST((KindOfRefusal(node, "r1") == ErrorKind::eLeaseExpired));
}

BOOST_AUTO_TEST_CASE(stop_finishes_calls_then_leaves)
{
  NodeFixture node;
  node.MakeReady();
  const TargetCallId id = node.Run(node.Call("r1"));
  node.Wait(Millis(1));
  node.Give(StopRequested{});
  BOOST_REQUIRE(!node.Sent<Renew>().empty());
  BOOST_TEST(node.Sent<Renew>()[0].mDraining);
  BOOST_TEST((KindOfRefusal(node, "new") == ErrorKind::eDraining));
  node.Pass(Seconds(4));
  BOOST_TEST(node.Sent<Leave>().empty()); // a call is still running
  node.Answer(id, "done");
  BOOST_TEST(node.Sent<AnswerPart>().back().mLast);
  BOOST_TEST(node.Sent<Leave>().size() == 1u);
  BOOST_TEST(node.Actions<Stopped>().empty());
  RenewReply gone;
  gone.mInstance = InstanceId("node-1");
  gone.mEpoch = Epoch(7);
  gone.mVerdict = RenewVerdict::eUnknownSession;
  node.Hear(kTestControl, gone);
  BOOST_TEST(node.Actions<Stopped>().size() == 1u);
  BOOST_TEST((NextWakeup(node.mNode) == kNever));
}

BOOST_AUTO_TEST_CASE(leaving_target_drains_until_a_new_start)
{
  NodeFixture node;
  node.MakeReady();
  HttpRequest leave;
  leave.mMethod = "POST";
  leave.mPath = "/leave";
  node.Give(leave);
  BOOST_TEST(node.Actions<HttpResponse>()[0].mStatus == 200);
  node.Announce("s1");
  BOOST_TEST((KindOfRefusal(node, "r1") == ErrorKind::eDraining));
  node.Announce("s2");
  node.AnswerLoad("{}");
  BOOST_TEST((KindOfRefusal(node, "r2") == ErrorKind::eNone));
}

BOOST_AUTO_TEST_CASE(target_is_lost_after_three_missed_announcements)
{
  NodeFixture node;
  node.MakeReady();
  for (int n = 0; n < 7; ++n) {
    node.mNow = node.mNow + Millis(500);
    node.GrantLease();
  }
  BOOST_TEST(node.mNode.mTarget.mPresent);
  node.Wait(Millis(1));
  BOOST_TEST(!node.mNode.mTarget.mPresent);
  BOOST_REQUIRE(!node.Sent<Renew>().empty());
  BOOST_TEST(node.Sent<Renew>()[0].mTarget.mModels.empty());
  BOOST_TEST((KindOfRefusal(node, "r1") == ErrorKind::eTargetFailed));
}

BOOST_AUTO_TEST_CASE(order_with_an_older_token_is_refused)
{
  NodeFixture node;
  node.MakeReady();
  LoadOrder order;
  order.mNode = InstanceId("node-1");
  order.mNodeEpoch = Epoch(7);
  order.mToken = FencingToken(20);
  order.mSequence = 1;
  order.mModel = ModelId("m2");
  node.Hear(kTestControl, order);
  const auto calls = node.Started();
  BOOST_REQUIRE_EQUAL(calls.size(), 1u);
  BOOST_TEST(calls[0].mPath == "/admin/load");
  node.Answer(calls[0].mCall, "{}");
  BOOST_TEST(node.Sent<LoadOrderReply>()[0].mAccepted);
  node.Hear(kTestControl,
            order); // a duplicate gets the same reply and starts no call
  BOOST_TEST(node.Started().empty());
  BOOST_TEST(node.Sent<LoadOrderReply>()[0].mAccepted);
  order.mToken = FencingToken(19);
  order.mSequence = 2;
  node.Hear(kTestControl, order);
  BOOST_TEST(node.Started().empty());
  BOOST_TEST(!node.Sent<LoadOrderReply>()[0].mAccepted);
}

BOOST_AUTO_TEST_CASE(load_reports_go_to_watchers_only_while_they_watch)
{
  NodeFixture node;
  node.MakeReady();
  node.Wait(Seconds(1));
  node.Hear(kTestEntry, Watch{ PeerAddress("127.0.0.1:5") });
  BOOST_TEST(node.Sent<LoadReport>().size() == 1u);
  size_t reports = 0;
  for (int n = 0; n < 40; ++n) {
    node.Wait(Millis(500));
    reports += node.Sent<LoadReport>().size();
  }
  BOOST_TEST(reports >= 4u); // one per 2 s, for 10 s
  BOOST_TEST(reports <= 5u);
}
