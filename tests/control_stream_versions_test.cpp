// Guards against control naming the wrong software version for a stream: after
// a version has left, under a new leader, and after all replicas lost power.
#define BOOST_TEST_MODULE control_stream_versions
#include <boost/test/unit_test.hpp>

#include "tests/control_link.h"

using namespace caraway;

namespace {

const PeerAddress kEntry("10.0.1.1:1");
const ServiceId kService("engine");
const StreamId kStream(7);

struct Group
{
  ControlLink mLink{ 3 };
  std::vector<OriginReply> mReplies; // to the last question
  Epoch mEpoch;
  uint64_t mCalls = 0;

  Group()
  {
    mLink.StartAll();
    BOOST_REQUIRE(mLink.AwaitLeader());
    mLink.mPeers[kEntry] = [this](const PeerAddress&, const Message& aMessage) {
      if (const auto* reply = std::get_if<OriginReply>(&aMessage)) {
        mReplies.push_back(*reply);
      } else if (const auto* session = std::get_if<RegisterReply>(&aMessage)) {
        mEpoch = session->mEpoch;
      }
    };
    Register entry;
    entry.mMember.mInstance = InstanceId("entry-1");
    entry.mMember.mIncarnation = 1;
    entry.mMember.mAddress = kEntry;
    SendToAll(entry);
    mLink.Run(Millis(200));
    BOOST_REQUIRE(!mEpoch.IsNone());
  }

  void Report(ReportTargets aReport) { Call(std::move(aReport)); }

  // Sends an order to the leader, as the entry.
  void Call(CallBody aBody)
  {
    ControlCall call;
    call.mCall = ++mCalls;
    call.mEntry = InstanceId("entry-1");
    call.mEntryEpoch = mEpoch;
    call.mBody = std::move(aBody);
    mLink.SendFrom(
      kEntry, ControlLink::AddressOf(mLink.Leader().value()), std::move(call));
    mLink.Run(Millis(300));
  }

  void AddTarget(const char* aId,
                 const char* aVersion,
                 const ServiceId& aService = kService)
  {
    Target target;
    target.mId = TargetId(aId);
    target.mService = aService;
    target.mAddress = std::string("10.0.2.1:") + aId;
    target.mVersion = aVersion;
    target.mStartedAt = 1;
    Report({ { target }, {} });
  }

  void RemoveTarget(const char* aId)
  {
    Report({ {}, { { TargetId(aId), 1 } } });
  }

  void SendToAll(const Message& aMessage)
  {
    for (size_t at = 0; at < mLink.mReplicas.size(); ++at) {
      mLink.SendFrom(kEntry, ControlLink::AddressOf(at), aMessage);
    }
    mLink.Run(Millis(20));
  }

  // Asks all replicas, as an entry does. Returns the reply that decides.
  OriginReply Ask()
  {
    mReplies.clear();
    SendToAll(OriginQuery{ RequestId("r"), kStream, kService });
    OriginReply decides;
    for (const OriginReply& reply : mReplies) {
      if (reply.mState == OriginState::eKnown ||
          (reply.mLeader && decides.mState != OriginState::eKnown)) {
        decides = reply;
      }
    }
    return decides;
  }

  void BeginStream(const char* aVersion)
  {
    SendToAll(StreamsBegun{ { { kService, aVersion } }, { { kStream, 0 } } });
  }

  void ChangeLeader()
  {
    mLink.Kill(mLink.Leader().value());
    BOOST_REQUIRE(mLink.AwaitLeader());
    mLink.Run(Millis(200));
  }

  // Lets time pass while the target's heartbeats arrive.
  void Pass(Duration aTime, const char* aId)
  {
    for (const MonoTime end = mLink.mNow + aTime; mLink.mNow < end;) {
      SendToAll(TargetsHeard{ { TargetId(aId) } });
      mLink.Run(Seconds(1));
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(single_version_needs_no_record, Group)
{
  BOOST_TEST((Ask().mState == OriginState::eUnknown)); // no targets yet
  AddTarget("1", "v1");
  BOOST_TEST((Ask().mState == OriginState::eOneVersion));
  BOOST_TEST(Ask().mOrigin.mVersion == "v1");
}

BOOST_FIXTURE_TEST_CASE(two_versions_need_a_record, Group)
{
  AddTarget("1", "v1");
  AddTarget("2", "v2");
  BOOST_TEST((Ask().mState == OriginState::eUnknown));
  BOOST_TEST(Ask().mLeader);
  BeginStream("v1");
  BOOST_TEST((Ask().mState == OriginState::eKnown));
  BOOST_TEST(Ask().mOrigin.mVersion == "v1");
  ChangeLeader();
  BOOST_TEST((Ask().mState == OriginState::eKnown));
}

// The stream may have begun at the other service of its route.
BOOST_FIXTURE_TEST_CASE(split_route_needs_a_record, Group)
{
  const ServiceId other("other");
  ServingPlan plan;
  plan.mVersion = 1;
  plan.mServices.resize(2);
  plan.mServices[0].mId = kService;
  plan.mServices[1].mId = other;
  PlanRoute route;
  route.mId = RouteId("r");
  route.mHost = "h";
  route.mPathPrefix = "/r/";
  route.mKind = CallKind::eStream;
  route.mShares = { { kService, 1 }, { other, 0 } };
  route.mTimeout = Seconds(5);
  plan.mRoutes = { route };
  AddTarget("1", "v1");
  Call(ReplacePlan{ plan });
  BOOST_TEST((Ask().mState == OriginState::eOneVersion));
  AddTarget("2", "v1", other);
  BOOST_TEST((Ask().mState == OriginState::eUnknown));
  BeginStream("v1");
  BOOST_TEST((Ask().mState == OriginState::eKnown));
}

BOOST_FIXTURE_TEST_CASE(version_that_has_left_is_remembered, Group)
{
  AddTarget("1", "v1");
  AddTarget("2", "v2");
  RemoveTarget("1");
  BOOST_TEST((Ask().mState == OriginState::eUnknown));
  ChangeLeader();
  BOOST_TEST((Ask().mState == OriginState::eUnknown));
  Pass(Seconds(50), "2");
  BOOST_TEST((Ask().mState == OriginState::eUnknown));
  Pass(Seconds(15), "2");
  BOOST_TEST((Ask().mState == OriginState::eOneVersion));
  BOOST_TEST(Ask().mOrigin.mVersion == "v2");
}

BOOST_FIXTURE_TEST_CASE(versions_outlive_a_loss_of_all_power, Group)
{
  AddTarget("1", "v1");
  AddTarget("2", "v2");
  RemoveTarget("1");
  BeginStream("v1");
  for (size_t at = 0; at < mLink.mReplicas.size(); ++at) {
    mLink.Kill(at);
  }
  mLink.StartAll();
  BOOST_REQUIRE(mLink.AwaitLeader());
  mLink.Run(Millis(200));
  BOOST_TEST((Ask().mState == OriginState::eUnknown));
  BOOST_TEST(Ask().mLeader);
}

// A replica that is cut off cannot know whether there is another version.
BOOST_FIXTURE_TEST_CASE(replica_that_does_not_lead_names_no_version, Group)
{
  AddTarget("1", "v1");
  const size_t leader = mLink.Leader().value();
  Ask();
  for (const OriginReply& reply : mReplies) {
    BOOST_TEST(((reply.mState == OriginState::eOneVersion) == reply.mLeader));
  }
  mLink.mCut.insert(ControlLink::AddressOf(leader));
  mLink.Run(Seconds(5));
  mLink.mCut.clear();
  mReplies.clear();
  mLink.SendFrom(kEntry,
                 ControlLink::AddressOf(leader),
                 OriginQuery{ RequestId("r"), kStream, kService });
  mLink.Run(Millis(5));
  BOOST_REQUIRE_EQUAL(mReplies.size(), 1u);
  BOOST_TEST(!mReplies[0].mLeader);
  BOOST_TEST((mReplies[0].mState == OriginState::eUnknown));
}
