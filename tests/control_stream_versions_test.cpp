// Guards against control naming the wrong software version for a stream: after
// a version has left, under a new leader, and after all replicas lost power.
#define BOOST_TEST_MODULE control_stream_versions
#include <boost/test/unit_test.hpp>

#include "tests/control_group.h"

using namespace caraway;

namespace {

const ServiceId kService("engine");
const StreamId kStream(7);

struct Group : ControlGroup
{
  std::vector<OriginReply> mReplies; // to the last question

  Group()
  {
    mOnMessage = [this](const Message& aMessage) {
      if (const auto* reply = std::get_if<OriginReply>(&aMessage)) {
        mReplies.push_back(*reply);
      }
    };
    // Targets have a record once a plan lists their service.
    ServingPlan plan;
    plan.mVersion = 1;
    plan.mServices.resize(2);
    plan.mServices[0].mId = kService;
    plan.mServices[1].mId = ServiceId("other");
    Call(ReplacePlan{ plan });
  }

  void Call(CallBody aBody) { SendCall(std::move(aBody), Millis(300)); }

  void AddTarget(const char* aId,
                 const char* aVersion,
                 const ServiceId& aService = kService)
  {
    Call(ReportTargets{ { TargetOf(aId, aVersion, aService) }, {} });
  }

  void RemoveTarget(const char* aId)
  {
    Call(ReportTargets{ {}, { { TargetId(aId), 1 } } });
  }

  void SendToAll(const Message& aMessage)
  {
    for (size_t at = 0; at < mLink.mReplicas.size(); ++at) {
      mLink.SendFrom(kGroupEntry, ControlLink::AddressOf(at), aMessage);
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
  plan.mVersion = 2;
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
  LosePower();
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
  mLink.SendFrom(kGroupEntry,
                 ControlLink::AddressOf(leader),
                 OriginQuery{ RequestId("r"), kStream, kService });
  mLink.Run(Millis(5));
  BOOST_REQUIRE_EQUAL(mReplies.size(), 1u);
  BOOST_TEST(!mReplies[0].mLeader);
  BOOST_TEST((mReplies[0].mState == OriginState::eUnknown));
}
