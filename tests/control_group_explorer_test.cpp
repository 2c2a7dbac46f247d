// Enumerates sequences of planned and unplanned events at a control group, each
// begun once the deployment bears another loss, and ends each with a lost disk
// while all other replicas lose power. Guards against ways to a group that is
// short of a vote although it should bear that loss.
//
// CARAWAY_EXPLORER_DEPTH=N enumerates sequences of N events instead of one and
// CARAWAY_EXPLORER_SHARE=K plays one of K of them, from the one with the number
// CARAWAY_EXPLORER_FIRST.
#define BOOST_TEST_MODULE control_group_explorer
#include <boost/test/unit_test.hpp>

#include <cstdlib>

#include "tests/joined_group.h"

using namespace caraway;

namespace {

// A replica counts as lost until it has been back, or its successor has run,
// for this long.
constexpr Duration kCatchUp = Millis(4800);
constexpr Duration kRecovery = Seconds(12);

enum class Event : uint8_t
{
  eStopAndReturn,  // as planned
  eReplacePlanned, // the successor first
  eRetire,         // by an operator, the successor first
  eReplaceLost,    // the successor 1 s later
  ePowerLoss,      // and return
  eLoseDisk,       // and return
  eCutOff,         // for 3 s
  eSlowDisk,       // for 3 s
  eAllKilled,      // and return
  eStartSpare,
};

constexpr Event kEvents[] = { Event::eStopAndReturn, Event::eReplacePlanned,
                              Event::eRetire,        Event::eReplaceLost,
                              Event::ePowerLoss,     Event::eLoseDisk,
                              Event::eCutOff,        Event::eSlowDisk,
                              Event::eAllKilled,     Event::eStartSpare };

const char*
Name(Event aEvent)
{
  constexpr const char* kNames[] = {
    "stop and return", "replace as planned", "retire",  "replace a lost one",
    "power loss",      "lose a disk",        "cut off", "slow disk",
    "all killed",      "start a spare",
  };
  return kNames[static_cast<size_t>(aEvent)];
}

struct Step
{
  Event mEvent = Event::eStopAndReturn;
  bool mLeader = false; // else the first voter that does not lead
};

struct Explored
{
  JoinedGroup mGroup;
  size_t mNextSpare = 3;
  std::vector<std::string> mAccepted;

  explicit Explored(uint64_t aSeed)
    : mGroup(aSeed, 3, QuickElections(), 4)
  {
    Write();
  }

  void Write()
  {
    const std::string name = "w" + std::to_string(mAccepted.size());
    if (mGroup.mLink
          .Write("PUT", "/admin/contracts/" + name, R"({"rate":9,"burst":9})")
          .mStatus == 200) {
      mAccepted.push_back(name);
    }
  }

  size_t StartSpare()
  {
    mGroup.mLink.Start(mNextSpare);
    return mNextSpare++;
  }

  size_t Victim(bool aLeader)
  {
    return aLeader ? mGroup.mLink.Leader().value() : mGroup.Followers().at(0);
  }

  void Restart(size_t aReplica)
  {
    mGroup.Run(Seconds(1));
    mGroup.mLink.Start(aReplica);
  }

  // Returns for how long the deployment bears no further loss from now on.
  Duration Play(const Step& aStep)
  {
    ControlLink& link = mGroup.mLink;
    const PeerAddress address = ControlLink::AddressOf(Victim(aStep.mLeader));
    const size_t victim = Victim(aStep.mLeader);
    switch (aStep.mEvent) {
      case Event::eStopAndReturn:
        mGroup.Stop(victim);
        Restart(victim);
        return kCatchUp;
      case Event::eReplacePlanned:
        StartSpare();
        mGroup.Run(kCatchUp);
        mGroup.Stop(victim);
        return {};
      case Event::eRetire:
        StartSpare();
        mGroup.Run(kCatchUp);
        mGroup.mEntry.Call(RetireReplica{ InstanceAt(victim) });
        mGroup.Run(Seconds(3));
        mGroup.Stop(victim);
        return {};
      case Event::eReplaceLost:
        link.Kill(victim);
        mGroup.Run(Seconds(1));
        StartSpare();
        return kCatchUp;
      case Event::ePowerLoss:
        link.Kill(victim);
        Restart(victim);
        return kCatchUp;
      case Event::eLoseDisk:
        link.Kill(victim);
        mGroup.EmptyDisk(victim);
        Restart(victim);
        return kCatchUp;
      case Event::eCutOff:
        link.mCut.insert(address);
        mGroup.Run(Seconds(3));
        link.mCut.clear();
        return kCatchUp;
      case Event::eSlowDisk:
        link.mSyncOf[victim] = Millis(400);
        mGroup.Run(Seconds(3));
        link.mSyncOf.clear();
        return kCatchUp;
      case Event::eAllKilled:
        mGroup.RestartAll();
        return kCatchUp;
      case Event::eStartSpare:
        StartSpare();
        return {};
    }
    return {};
  }

  bool HoldsAll()
  {
    const auto& view = mGroup.mLink.LeaderControl().mState.mConfig.mView;
    return std::all_of(
      mAccepted.begin(), mAccepted.end(), [&](const std::string& aName) {
        return view.mContracts.contains(WorkspaceId(aName));
      });
  }

  // Every replica that runs belongs to the group in the end.
  bool AllBelong()
  {
    for (size_t at = 0; at < mGroup.mLink.mReplicas.size(); ++at) {
      if (mGroup.mLink.mReplicas[at].mControl && !mGroup.Belongs(at)) {
        return false;
      }
    }
    return true;
  }
};

uint64_t
Setting(const char* aName, uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

void
PlaySequence(const std::vector<Step>& aSteps, size_t aLost, Duration aGap)
{
  std::string what;
  for (const Step& step : aSteps) {
    what += std::string(Name(step.mEvent)) +
            (step.mLeader ? " (leader), " : " (follower), ");
  }
  BOOST_TEST_CONTEXT(what << "then lose disk " << aLost << " after "
                          << aGap.Millis() << " ms")
  {
    Explored explored(1 + aLost);
    JoinedGroup& group = explored.mGroup;
    for (const Step& step : aSteps) {
      const Duration pause = explored.Play(step);
      group.Run(pause + aGap);
      if (!group.AwaitLeader(kRecovery)) {
        BOOST_ERROR("no leader after " << Name(step.mEvent));
        return;
      }
      explored.Write();
    }
    std::vector<size_t> voters = group.Followers();
    voters.push_back(group.mLink.Leader().value());
    group.LosePowerAndDisk(voters.at(aLost % voters.size()));
    if (!group.AwaitLeader(kRecovery)) {
      BOOST_ERROR("no leader in the end");
      return;
    }
    BOOST_TEST(explored.HoldsAll());
    group.Run(Seconds(10));
    BOOST_REQUIRE(group.AwaitLeader(kRecovery));
    BOOST_TEST(explored.AllBelong());
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(group_bears_a_lost_disk_after_every_sequence)
{
  const uint64_t depth = Setting("CARAWAY_EXPLORER_DEPTH", 1);
  const uint64_t share = Setting("CARAWAY_EXPLORER_SHARE", 1);
  const uint64_t first = Setting("CARAWAY_EXPLORER_FIRST", 0);
  const uint64_t kinds = 2 * std::size(kEvents);
  uint64_t sequences = 1;
  for (uint64_t at = 0; at < depth; ++at) {
    sequences *= kinds;
  }
  uint64_t number = 0;
  uint64_t played = 0;
  for (uint64_t sequence = 0; sequence < sequences; ++sequence) {
    std::vector<Step> steps;
    for (uint64_t rest = sequence, at = 0; at < depth; ++at, rest /= kinds) {
      steps.push_back({ kEvents[rest % kinds / 2], (rest % kinds) % 2 == 1 });
    }
    for (size_t lost = 0; lost < 3; ++lost) {
      for (const int64_t gap : { 0, 30, 300, 1500 }) {
        if (number++ % share == first) {
          PlaySequence(steps, lost, Millis(gap));
          ++played;
        }
      }
    }
  }
  BOOST_TEST_MESSAGE("sequences played: " << played);
}
