// Guards against replicas that count the same changes differently: a member
// that polls the one which is ahead skips changes for good and still gets its
// lease.
#define BOOST_TEST_MODULE control_restore
#include <boost/test/unit_test.hpp>

#include "caraway/base/random.h"
#include "caraway/config/view_digest.h"
#include "caraway/control/command.h"

using namespace caraway;

namespace {

constexpr uint64_t kNames = 4; // of each kind, so that commands meet objects

struct Commands
{
  Random mRandom;
  uint64_t mPlans = 0;
  uint64_t mTime = 1;

  uint64_t Draw(uint64_t aBelow) { return DrawBelow(mRandom, aBelow); }
  std::string Name(const char* aKind)
  {
    return aKind + std::to_string(Draw(kNames));
  }

  ServingPlan NextPlan()
  {
    ServingPlan plan;
    plan.mVersion = Draw(8) == 0 ? mPlans : ++mPlans;
    plan.mServices.resize(2);
    plan.mServices[0].mId = ServiceId("s0");
    plan.mServices[1].mId = ServiceId("s1");
    plan.mServices[0].mColdRate = static_cast<double>(Draw(3)) / 3;
    for (uint64_t at = 0; at <= Draw(kNames); ++at) {
      PlanWorkspace workspace;
      workspace.mId = WorkspaceId("w" + std::to_string(at));
      workspace.mRate = static_cast<double>(Draw(100)) / 7;
      workspace.mKeys = { { static_cast<uint8_t>(Draw(256)),
                            static_cast<uint8_t>(at) } };
      plan.mWorkspaces.push_back(workspace);
    }
    plan.mSource = "plan " + std::to_string(plan.mVersion);
    return plan;
  }

  Target NextTarget()
  {
    Target target;
    target.mId = TargetId(Name("t"));
    target.mService = ServiceId("s" + std::to_string(Draw(3)));
    target.mAddress = Name("10.0.0.");
    target.mVersion = Name("v");
    target.mDraining = Draw(4) == 0;
    target.mStartedAt = static_cast<int64_t>(Draw(5));
    target.mColdFor = Millis(static_cast<int64_t>(Draw(2)) * 100);
    return target;
  }

  Member NextMember()
  {
    Member member;
    member.mInstance = InstanceId(Name("m"));
    member.mIncarnation = Draw(5);
    member.mRole = Draw(2) == 0 ? MemberRole::eEntry : MemberRole::eNode;
    member.mAddress = PeerAddress("a");
    return member;
  }

  ControlCall Call(CallBody aBody)
  {
    ControlCall call;
    call.mBody = std::move(aBody);
    return call;
  }

  CommandBody NextBody(const ControlState& aState)
  {
    const auto& members = aState.mConfig.mView.mMembers;
    const InstanceId instance(Name("m"));
    const auto known = members.find(instance);
    const Epoch epoch =
      known == members.end() ? Epoch(Draw(5)) : known->second.mEpoch;
    switch (Draw(12)) {
      case 0:
        return RegisterMember{ NextMember() };
      case 1: {
        TargetInfo info;
        info.mId = TargetId(Name("t"));
        return UpdateMember{ instance, epoch, info, Draw(2) == 0 };
      }
      case 2:
        return EndSession{ instance, epoch };
      case 3:
      case 4:
        return Call(ReplacePlan{ NextPlan() });
      case 5:
        return Call(SetZone{ ZoneId(Name("z")), Draw(2) == 0 });
      case 6:
        return Call(OrderZone{
          SetZone{ ZoneId(Name("z")), Draw(2) == 0 },
          Revision(aState.mConfig.mView.mRevision.mValue -
                   std::min<uint64_t>(
                     Draw(9), aState.mConfig.mView.mRevision.mValue)) });
      case 7: {
        ReportTargets report;
        report.mSeen = { NextTarget(), NextTarget() };
        if (Draw(4) == 0) {
          report.mDeregistered = { { TargetId(Name("t")),
                                     static_cast<int64_t>(Draw(5)) } };
        }
        return Call(report);
      }
      case 8:
        return RemoveTargets{ { { TargetId(Name("t")),
                                  static_cast<int64_t>(Draw(5)) } } };
      case 9: {
        InputBlock block;
        block.mId = InputBlockId(Draw(kNames));
        block.mCrashes = static_cast<uint32_t>(Draw(3));
        return ChangeInputBlocks{ { block }, { InputBlockId(Draw(kNames)) } };
      }
      case 10:
        return ForgetVersions{ { { ServiceId("s" + std::to_string(Draw(3))),
                                   Name("v") } } };
      default:
        return LedgerTick{ Seconds(1), Seconds(1) };
    }
  }

  ControlCommand Next(const ControlState& aState)
  {
    ControlCommand command;
    mTime += Draw(40) == 0 ? 30000 : Draw(100);
    command.mLogical = MonoTime{} + Millis(static_cast<int64_t>(mTime));
    command.mBody = NextBody(aState);
    return command;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_restored_replica_counts_changes_like_one_that_ran_on)
{
  constexpr LogIndex kFirst(1);
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    Commands commands{ Random(seed) };
    ControlState steady;
    ControlState restored;
    ConfigView member; // follows by deltas of the restored replica
    for (uint64_t index = kFirst.mValue; index <= 400; ++index) {
      const ControlCommand command = commands.Next(steady);
      auto decoded = DecodeCommand(EncodeCommand(command));
      BOOST_REQUIRE(decoded.ok());
      ApplyCommand(steady, LogIndex(index), *decoded);
      ApplyCommand(restored, LogIndex(index), *decoded);
      BOOST_TEST_REQUIRE(
        (steady.mConfig.mView.mRevision == restored.mConfig.mView.mRevision),
        "seed " << seed << ", index " << index);
      for (auto change = FirstChangeAfter(restored.mConfig, member.mRevision);
           change != restored.mConfig.mRecent.end();
           ++change) {
        ApplyChange(member, *change);
      }
      BOOST_TEST_REQUIRE(
        (ViewDigest(member) == ViewDigest(steady.mConfig.mView)),
        "seed " << seed << ", index " << index);
      // Each seed restores at other indexes, the first one at every index.
      if (index % seed == 0) {
        auto state = DecodeControlState(EncodeControlState(restored));
        BOOST_REQUIRE(state.ok());
        restored = *std::move(state);
      }
    }
    BOOST_TEST(EncodeControlState(steady) == EncodeControlState(restored),
               "seed " << seed);
  }
}
