// Guards against a report of a service that the configuration does not list,
// which put the sound target at the reported address out of use.
#define BOOST_TEST_MODULE control_unlisted_target
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "tests/control_group.h"

using namespace caraway;

namespace {

const ServiceId kService("engine");
const ServiceId kOther("renderer");
const ServiceId kUnlisted("metrics-agent");
const char* const kAddress = "10.0.2.1:8080";

Target
MakeTarget(const std::string& aId,
           const ServiceId& aService,
           int64_t aStartedAt,
           const std::string& aAddress = kAddress)
{
  Target target;
  target.mId = TargetId(aId);
  target.mService = aService;
  target.mAddress = aAddress;
  target.mZone = ZoneId("a");
  target.mVersion = "v1";
  target.mSlots = 8;
  target.mStartedAt = aStartedAt;
  return target;
}

ServingPlan
PlanOf(uint64_t aVersion, const std::vector<ServiceId>& aServices)
{
  ServingPlan plan;
  plan.mVersion = aVersion;
  for (const ServiceId& service : aServices) {
    plan.mServices.emplace_back().mId = service;
  }
  return plan;
}

// The durable state of one replica, without a log.
struct State
{
  ControlState mState;
  uint64_t mIndex = 0;

  void Apply(CommandBody aBody)
  {
    ControlCommand command;
    command.mLogical = MonoTime{} + Millis(static_cast<int64_t>(++mIndex) * 10);
    command.mBody = std::move(aBody);
    ApplyCommand(mState, LogIndex(mIndex), command);
  }
  void Call(CallBody aBody)
  {
    ControlCall call;
    call.mBody = std::move(aBody);
    Apply(std::move(call));
  }
  void See(const Target& aTarget) { Call(ReportTargets{ { aTarget }, {} }); }
  void Plan(uint64_t aVersion, const std::vector<ServiceId>& aServices)
  {
    Call(ReplacePlan{ PlanOf(aVersion, aServices) });
  }
  const std::map<TargetId, Target>& Targets() const
  {
    return mState.mConfig.mView.mTargets;
  }
  std::string At(const std::string& aAddress = kAddress) const
  {
    std::string ids;
    for (const auto& [id, target] : Targets()) {
      ids += target.mAddress == aAddress ? id.mValue + " " : "";
    }
    return ids;
  }
};

struct Group : ControlGroup
{
  uint64_t mDone = 0; // calls

  Group()
  {
    mOnMessage = [this](const Message& aMessage) {
      const auto* reply = std::get_if<ControlCallReply>(&aMessage);
      mDone +=
        reply != nullptr && std::holds_alternative<CallDone>(reply->mBody) ? 1
                                                                           : 0;
    };
  }

  void Send(CallBody aBody) { SendCall(std::move(aBody), Millis(300)); }
  void See(const Target& aTarget) { Send(ReportTargets{ { aTarget }, {} }); }
  void RenewLease()
  {
    Renew renew;
    renew.mInstance = InstanceId("entry-1");
    renew.mEpoch = mEpoch;
    renew.mRevision = Leader().mConfig.mView.mRevision;
    renew.mLeaseLeft = Seconds(2);
    SendToLeader(renew);
  }
  const ControlState& StateOf(size_t aReplica)
  {
    return mLink.mReplicas[aReplica].mControl->mState;
  }
  const ControlState& Leader() { return StateOf(mLink.Leader().value()); }
  bool HasTarget(const char* aId)
  {
    return Leader().mConfig.mView.mTargets.contains(TargetId(aId));
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(unlisted_service_at_an_address_leaves_its_target)
{
  State state;
  state.Plan(1, { kService });
  state.See(MakeTarget("t-1", kService, 100));
  const Revision before = state.mState.mConfig.mView.mRevision;
  state.See(MakeTarget("agent", kUnlisted, 200));
  state.See(MakeTarget("t-1", kUnlisted, 300)); // under the target's own id
  BOOST_TEST(state.At() == "t-1 ");
  BOOST_TEST((state.Targets().at(TargetId("t-1")).mService == kService));
  BOOST_TEST((state.mState.mConfig.mView.mRevision == before));
  // What the target reports afterwards still counts.
  Target draining = MakeTarget("t-1", kService, 100);
  draining.mDraining = true;
  state.See(draining);
  BOOST_TEST(state.Targets().at(TargetId("t-1")).mDraining);
  state.See(MakeTarget("t-2", kService, 150));
  BOOST_TEST(state.At() == "t-2 ");
}

// A deregistration of the other writer ends only what it reported.
BOOST_AUTO_TEST_CASE(unlisted_target_that_ends_leaves_the_others)
{
  State state;
  state.Plan(1, { kService });
  state.See(MakeTarget("t-1", kService, 100));
  state.See(MakeTarget("agent", kUnlisted, 200));
  state.Call(ReportTargets{ {}, { { TargetId("agent"), 200 } } });
  BOOST_TEST(state.At() == "t-1 ");
  state.Plan(2, { kService, kUnlisted });
  BOOST_TEST(state.At() == "t-1 "); // the agent has ended
}

// The plan and the reports may stand in the log in any order.
BOOST_AUTO_TEST_CASE(records_do_not_depend_on_the_order_of_plan_and_reports)
{
  const std::vector<Target> reports{
    MakeTarget("t-1", kService, 100),
    MakeTarget("agent", kUnlisted, 200),
    MakeTarget("t-0", kService, 50),
    MakeTarget("t-1", kUnlisted, 300),
    MakeTarget("far", kService, 70, "10.0.2.2:8080"),
  };
  std::vector<size_t> order(reports.size() + 1); // the last one is the plan
  for (size_t at = 0; at < order.size(); ++at) {
    order[at] = at;
  }
  do {
    State state;
    for (const size_t at : order) {
      if (at < reports.size()) {
        state.See(reports[at]);
      } else {
        state.Plan(1, { kService });
      }
    }
    BOOST_TEST_REQUIRE(state.At() == "t-1 ");
    BOOST_TEST_REQUIRE(state.At("10.0.2.2:8080") == "far ");
    BOOST_TEST_REQUIRE(
      (state.Targets().at(TargetId("t-1")).mService == kService));
  } while (std::next_permutation(order.begin(), order.end()));
}

// A target that starts before the configuration that lists its service is used
// from that configuration on, without another heartbeat.
BOOST_AUTO_TEST_CASE(target_is_in_use_with_the_plan_that_lists_its_service)
{
  State state;
  Target cold = MakeTarget("t-1", kService, 100);
  cold.mColdFor = Millis(500);
  state.See(cold);
  state.Plan(1, { kService });
  BOOST_TEST(state.At() == "t-1 ");
  BOOST_TEST((state.Targets().at(TargetId("t-1")).mColdFor == Millis(490)));
  state.See(MakeTarget("t-2", kOther, 200));
  BOOST_TEST(state.At() == "t-1 ");
  state.Plan(2, { kService, kOther });
  BOOST_TEST(state.At() == "t-2 ");
}

// Work may still run at targets of a service that a plan removed. They keep
// their record, and a late heartbeat of a former target does not replace it.
BOOST_AUTO_TEST_CASE(withdrawn_service_keeps_its_records)
{
  State state;
  state.Plan(1, { kService, kOther });
  state.See(MakeTarget("t-1", kOther, 100));
  state.See(MakeTarget("t-2", kService, 200));
  BOOST_TEST(state.At() == "t-2 ");
  state.Plan(2, { kOther });
  BOOST_TEST(state.At() == "t-2 ");
  state.See(MakeTarget("t-1", kOther, 100)); // delayed
  state.See(MakeTarget("agent", kUnlisted, 300));
  BOOST_TEST(state.At() == "t-2 ");
  Target draining = MakeTarget("t-2", kService, 200);
  draining.mDraining = true;
  state.See(draining);
  BOOST_TEST(state.Targets().at(TargetId("t-2")).mDraining);
  state.Plan(3, { kService, kOther });
  BOOST_TEST(state.At() == "t-2 ");
  state.See(MakeTarget("t-3", kOther, 400)); // a new one takes the address
  BOOST_TEST(state.At() == "t-3 ");
}

// An earlier version recorded the targets of any service.
BOOST_AUTO_TEST_CASE(record_of_an_earlier_version_gives_way)
{
  State state;
  state.Plan(1, { kService });
  AppendChange(state.mState.mConfig,
               SetTarget{ MakeTarget("agent", kUnlisted, 200) });
  state.See(MakeTarget("t-1", kService, 100));
  BOOST_TEST(state.At() == "t-1 ");
}

BOOST_FIXTURE_TEST_CASE(stray_records_leave_by_themselves, Group)
{
  Send(ReplacePlan{ PlanOf(1, { kService }) });
  mLink.Run(Seconds(2));
  See(MakeTarget("t-1", kService, 100, "10.0.2.2:8080"));
  for (LinkReplica& replica : mLink.mReplicas) {
    AppendChange(replica.mControl->mState.mConfig,
                 SetTarget{ MakeTarget("agent", kUnlisted, 200) });
  }
  mLink.Run(Seconds(2));
  BOOST_TEST(!HasTarget("agent"));
  BOOST_TEST(HasTarget("t-1"));
}

// State, log and configuration stay bounded, whatever another writer reports.
BOOST_FIXTURE_TEST_CASE(writer_with_ever_new_ids_is_bounded, Group)
{
  Send(ReplacePlan{ PlanOf(1, { kService }) });
  mLink.Run(Seconds(2));
  See(MakeTarget("t-1", kService, 100));
  const Revision before = Leader().mConfig.mView.mRevision;
  const LogIndex from = Leader().mApplied;
  const uint64_t done = mDone;
  constexpr int kReports = 2000;
  for (int at = 0; at < kReports; ++at) {
    if (at % 100 == 0) {
      RenewLease();
    }
    const std::string id = "agent-" + std::to_string(at);
    SendCall(ReportTargets{ { MakeTarget(id, kUnlisted, 1000 + at) }, {} },
             Millis(1));
    // The same one again, started anew each time.
    SendCall(ReportTargets{ { MakeTarget("agent", kUnlisted, 1000 + at) }, {} },
             Millis(1));
  }
  SendToLeader(TargetsHeard{ { TargetId("t-1") } });
  mLink.Run(Seconds(1));
  BOOST_TEST(mDone - done == 2u * kReports); // each is answered
  BOOST_TEST((Leader().mConfig.mView.mRevision == before));
  // About 5 s: a few targets at the address, and ticks of the ledger.
  BOOST_TEST(Leader().mApplied.mValue - from.mValue < 50u);
  BOOST_TEST(HasTarget("t-1"));
}

// A target that waits for its configuration finds room beside such a writer.
BOOST_AUTO_TEST_CASE(writer_with_ever_new_ids_leaves_room_for_a_target)
{
  State state;
  for (int at = 0; at < 100; ++at) {
    state.See(MakeTarget("agent-" + std::to_string(at), kUnlisted, 1000 + at));
  }
  state.See(MakeTarget("t-1", kService, 100));
  state.Plan(1, { kService });
  BOOST_TEST(state.At() == "t-1 ");
  BOOST_TEST(state.mState.mUnlistedTargets.size() <= 2u);
}

// Unlisted targets that have fallen silent are not put to use later.
BOOST_FIXTURE_TEST_CASE(silent_unlisted_target_is_dropped, Group)
{
  See(MakeTarget("t-1", kService, 100));
  See(MakeTarget("t-2", kService, 100, "10.0.2.2:8080"));
  for (int second = 0; second < 12; ++second) {
    Register();
    See(MakeTarget("t-2", kService, 100, "10.0.2.2:8080"));
    mLink.Run(Millis(500));
  }
  Send(ReplacePlan{ PlanOf(1, { kService }) });
  mLink.Run(Seconds(2));
  BOOST_TEST(!HasTarget("t-1"));
  BOOST_TEST(HasTarget("t-2"));
}

BOOST_FIXTURE_TEST_CASE(unlisted_targets_outlive_a_loss_of_power, Group)
{
  See(MakeTarget("t-1", kService, 100));
  See(MakeTarget("agent", kUnlisted, 200));
  LosePower();
  Register();
  Send(ReplacePlan{ PlanOf(1, { kService }) });
  mLink.Run(Seconds(2));
  BOOST_TEST(HasTarget("t-1"));
  BOOST_TEST(!HasTarget("agent"));
  const std::string leader = EncodeControlState(Leader());
  for (size_t at = 0; at < mLink.mReplicas.size(); ++at) {
    if (StateOf(at).mApplied == Leader().mApplied) {
      BOOST_TEST(EncodeControlState(StateOf(at)) == leader);
    }
  }
  auto decoded = DecodeControlState(leader);
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST(EncodeControlState(*decoded) == leader);
}
