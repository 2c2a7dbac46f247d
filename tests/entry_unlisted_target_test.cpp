// Guards against heartbeats of another writer, which names a service that the
// configuration does not list, that keep the entry from those of a sound target
// or fill its memory and log.
#define BOOST_TEST_MODULE entry_unlisted_target
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "direct_fixture.h"

using namespace caraway;

namespace {

struct Heartbeats : Direct
{
  Heartbeats()
  {
    mSent.clear();
    mLines.clear();
  }

  Target Known(const char* aId)
  {
    return mEntry.mConfig.mTargets.at(TargetId(aId));
  }

  // A report of another writer under the target's id.
  Target Unlisted(const char* aId)
  {
    Target target = Known(aId);
    target.mService = ServiceId("metrics-agent");
    target.mStartedAt += 1000;
    return target;
  }

  void Beat(const Target& aTarget, uint64_t aSequence)
  {
    TargetHeartbeat beat;
    beat.mCall = HttpCallId(mNextCall++);
    beat.mTarget = aTarget;
    beat.mSequence = aSequence;
    Step(beat);
  }

  // Answers the calls to control that were sent.
  void Answer()
  {
    for (const ControlCall& call : Sent<ControlCall>()) {
      Receive(kControl,
              ControlCallReply{
                call.mGroup, call.mCall, call.mEntryEpoch, CallDone{} });
    }
    mSent.clear();
  }

  // The targets that the entry told control it had heard from.
  std::vector<TargetId> Heard()
  {
    std::vector<TargetId> heard;
    for (const TargetsHeard& sent : Sent<TargetsHeard>()) {
      heard.insert(heard.end(), sent.mTargets.begin(), sent.mTargets.end());
    }
    return heard;
  }

  size_t LinesOf(const std::string& aEvent)
  {
    return static_cast<size_t>(
      std::count_if(mLines.begin(), mLines.end(), [&](const auto& aLine) {
        return aLine.mEvent == aEvent;
      }));
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(unlisted_heartbeat_does_not_hide_a_sound_one,
                        Heartbeats)
{
  Beat(Known("t-a1"), 1);
  Beat(Unlisted("t-a1"), 1000);
  Answer();
  Target draining = Known("t-a1");
  draining.mDraining = true;
  Beat(draining, 2);
  const auto calls = Sent<ControlCall>();
  BOOST_REQUIRE(!calls.empty());
  const auto* report = std::get_if<ReportTargets>(&calls.back().mBody);
  BOOST_REQUIRE(report != nullptr);
  BOOST_TEST((report->mSeen.at(0) == draining));
}

// The other writer's heartbeats do not stand for those of a target that has
// ended.
BOOST_FIXTURE_TEST_CASE(unlisted_heartbeat_keeps_no_target_alive, Heartbeats)
{
  Beat(Unlisted("t-a1"), 1);
  Beat(Known("t-a2"), 1);
  Advance(Seconds(1));
  BOOST_TEST((Heard() == std::vector<TargetId>{ TargetId("t-a2") }));
}

BOOST_FIXTURE_TEST_CASE(deregistration_of_another_writer_ends_nothing,
                        Heartbeats)
{
  Beat(Unlisted("t-a1"), 1);
  Answer();
  TargetDeregistration gone;
  gone.mTarget = TargetId("t-a1");
  gone.mService = ServiceId("metrics-agent");
  Step(gone);
  BOOST_TEST(Sent<ControlCall>().empty());
  // Without a service, the start that the configuration has is meant.
  gone.mService = {};
  Step(gone);
  const auto calls = Sent<ControlCall>();
  BOOST_REQUIRE(!calls.empty());
  const auto* report = std::get_if<ReportTargets>(&calls.back().mBody);
  BOOST_REQUIRE(report != nullptr);
  BOOST_TEST(report->mDeregistered.at(0).mStartedAt ==
             Known("t-a1").mStartedAt);
}

BOOST_FIXTURE_TEST_CASE(writer_with_ever_new_ids_fills_neither_memory_nor_log,
                        Heartbeats)
{
  constexpr int kWriters = 20000;
  Target target = Unlisted("t-a1");
  for (int at = 0; at < kWriters; ++at) {
    target.mId = TargetId("agent-" + std::to_string(at));
    Beat(target, 1);
    Answer();
    Step(TargetDeregistration{ {}, target.mId, {}, target.mStartedAt });
    Answer();
  }
  BOOST_TEST(mEntry.mReports.mHeartbeats.size() <= 8192u);
  BOOST_TEST(mEntry.mGoneTargets.size() <= 1024u);
  const auto named =
    std::count_if(mLines.begin(), mLines.end(), [](const auto& aLine) {
      return aLine.mEvent == "target_report" &&
             aLine.mChoice == "service is not listed";
    });
  BOOST_TEST(named == 1);
  // Heartbeats leave no other line; each deregistration leaves one, and one of
  // its call to control.
  BOOST_TEST(LinesOf("target_report") == kWriters + 1u);
  BOOST_TEST(LinesOf("order") == size_t{ kWriters });
}
