// Tests how the control leader finds input that crashes targets. Guards against
// targets that keep ending under one part, and against sound input, workspaces
// and whole services that are blamed for crashes.
#define BOOST_TEST_MODULE poison_evidence
#include <boost/test/unit_test.hpp>

#include "caraway/base/random.h"
#include "caraway/poison/crash_evidence.h"

using namespace caraway;

namespace {

const InputPartId kShared(1);
const InputPartId kPoison(2);

struct World
{
  CrashEvidence mEvidence;
  ConfigView mView;
  MonoTime mNow{ 1000000000 };
  std::set<InstanceId> mMembers{ InstanceId("e1"), InstanceId("e2") };
  uint64_t mRevision = 0;
  int64_t mStarts = 0;
  uint64_t mRequests = 0;
  InputParts mAsked;
  ServiceId mService;                   // of the targets that end
  std::vector<ServiceAnswer> mServices; // that still answer, in answers

  CrashSuspect Suspect(InputParts aParts, const char* aWorkspace = "w")
  {
    CrashSuspect suspect;
    suspect.mRequest = RequestId("r" + std::to_string(++mRequests));
    suspect.mWorkspace = WorkspaceId(aWorkspace);
    suspect.mParts = std::move(aParts);
    suspect.mParts.emplace_back(1000 + mRequests); // the whole input
    return suspect;
  }

  void Apply(ConfigChange aChange)
  {
    ApplyChange(mView, { Revision(++mRevision), std::move(aChange) });
  }

  void Weigh()
  {
    EvidenceActions actions =
      WeighEvidence(mEvidence, mNow, mNow, mView, mMembers);
    mAsked.insert(mAsked.end(), actions.mAsk.begin(), actions.mAsk.end());
    for (const InputBlock& block : actions.mLift) {
      Apply(RemoveInputBlock{ block.mId });
    }
    for (const InputBlock& block : actions.mBlock) {
      Apply(SetInputBlock{ block });
    }
  }

  void Report(std::vector<CrashSuspect> aSuspects, bool aConfirmed = true)
  {
    CrashReport report;
    report.mTarget = TargetId("t" + std::to_string(mStarts % 9));
    report.mStartedAt = ++mStarts;
    report.mConfirmed = aConfirmed;
    report.mService = mService;
    report.mSuspects = std::move(aSuspects);
    HandleCrashReport(mEvidence, mNow, report);
    Weigh();
  }

  // A target ends under these requests, some time after the last one.
  void Crash(std::vector<CrashSuspect> aSuspects, bool aConfirmed = true)
  {
    mNow = mNow + Millis(700);
    Report(std::move(aSuspects), aConfirmed);
  }

  // A member sees a request with these parts answered.
  void Answered(const InputParts& aParts)
  {
    StartedParts started;
    started.mMember = InstanceId("e1");
    started.mNewest = Duration{};
    started.mServices = mServices;
    for (const InputPartId& part : aParts) {
      started.mParts.push_back({ part, Duration{} });
    }
    HandleStartedParts(mEvidence, mNow, started);
    Weigh();
  }

  // All members answer what was asked; other requests were answered just now.
  void AnswerQueries()
  {
    while (!mAsked.empty()) {
      StartedParts started;
      started.mAsked.swap(mAsked);
      started.mNewest = Duration{};
      started.mServices = mServices;
      for (const InstanceId& member : mMembers) {
        started.mMember = member;
        HandleStartedParts(mEvidence, mNow, started);
      }
      Weigh();
    }
  }

  bool IsBlocked(const InputParts& aParts, const char* aWorkspace = "w") const
  {
    return FindInputBlock(mView, WorkspaceId(aWorkspace), aParts) != nullptr;
  }

  void BlockPoison()
  {
    for (int at = 0; at < 3; ++at) {
      Crash({ Suspect({ kShared, kPoison }, at == 0 ? "w" : "v") });
      Answered({ kShared });
    }
    AnswerQueries();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evidence, World)

BOOST_AUTO_TEST_CASE(part_under_which_targets_keep_ending_is_blocked)
{
  BlockPoison();
  BOOST_TEST(IsBlocked({ kShared, kPoison }));
  BOOST_TEST(IsBlocked({ InputPartId(5), kPoison }, "another"));
  BOOST_TEST(!IsBlocked({ kShared }));
  BOOST_TEST(mView.mInputBlocks.size() == 1u);
}

BOOST_AUTO_TEST_CASE(members_are_asked_before_a_part_is_blocked)
{
  for (int at = 0; at < 3; ++at) {
    Crash({ Suspect({ kPoison }) });
  }
  BOOST_TEST(mAsked.size() == 1u);
  BOOST_TEST(!IsBlocked({ kPoison }));
  StartedParts started;
  started.mMember = InstanceId("e1");
  started.mAsked = { kPoison };
  started.mParts = { { kPoison, Millis(5) } };
  started.mNewest = Duration{};
  HandleStartedParts(mEvidence, mNow, started);
  started.mMember = InstanceId("e2");
  HandleStartedParts(mEvidence, mNow, started);
  Weigh();
  BOOST_TEST(!IsBlocked({ kPoison }));
}

BOOST_AUTO_TEST_CASE(silent_member_does_not_hold_up_the_block)
{
  for (int at = 0; at < 3; ++at) {
    Crash({ Suspect({ kPoison }) });
  }
  Answered({ InputPartId(9) });
  BOOST_TEST(!IsBlocked({ kPoison }));
  mNow = NextWakeup(mEvidence);
  Weigh();
  BOOST_TEST(mView.mInputBlocks.size() == 1u);
}

// The same sound requests wait at each target that the poisonous one ends.
BOOST_AUTO_TEST_CASE(victims_that_move_along_are_not_blocked)
{
  const InputPartId sound(7);
  const CrashSuspect victim = Suspect({ sound });
  for (int at = 0; at < 4; ++at) {
    Crash({ victim, Suspect({ kPoison }, at == 0 ? "w" : "v") });
  }
  AnswerQueries();
  BOOST_TEST(IsBlocked({ kPoison }));
  BOOST_TEST(!IsBlocked(victim.mParts));
}

BOOST_AUTO_TEST_CASE(requests_that_were_being_answered_are_suspected_last)
{
  CrashSuspect begun = Suspect({ InputPartId(7) });
  begun.mBegun = true;
  for (int at = 0; at < 3; ++at) {
    Crash({ begun, Suspect({ InputPartId(100 + at) }) });
  }
  AnswerQueries();
  BOOST_TEST(!IsBlocked(begun.mParts));
}

BOOST_AUTO_TEST_CASE(ordinary_crashes_blame_nobody)
{
  for (int at = 0; at < 20; ++at) {
    Crash({ Suspect({ kShared, InputPartId(100 + at) }),
            Suspect({ kShared, InputPartId(200 + at % 5) }) });
    Answered({ kShared, InputPartId(200 + at % 5) });
  }
  AnswerQueries();
  BOOST_TEST(mView.mInputBlocks.empty());
}

BOOST_AUTO_TEST_CASE(service_that_fails_as_a_whole_blames_no_input)
{
  for (int at = 0; at < 20; ++at) {
    Crash({ Suspect({ kShared }) });
  }
  mNow = mNow + Seconds(1);
  Weigh();
  BOOST_TEST(mView.mInputBlocks.empty());
}

BOOST_AUTO_TEST_CASE(lost_connections_and_silent_machines_blame_nobody)
{
  for (int at = 0; at < 5; ++at) {
    Crash({ Suspect({ kPoison }) }, false);
  }
  Answered({ InputPartId(9) });
  AnswerQueries();
  BOOST_TEST(mView.mInputBlocks.empty());
}

BOOST_AUTO_TEST_CASE(later_start_of_the_target_confirms_its_end)
{
  for (int at = 0; at < 3; ++at) {
    Crash({ Suspect({ kPoison }) }, false);
    Target target;
    target.mId = TargetId("t" + std::to_string((mStarts - 1) % 9));
    target.mStartedAt = 100 + mStarts;
    Apply(SetTarget{ target });
  }
  Answered({ InputPartId(9) });
  AnswerQueries();
  BOOST_TEST(mView.mInputBlocks.size() == 1u);
}

BOOST_AUTO_TEST_CASE(one_workspace_cannot_block_a_part_for_others)
{
  for (int at = 0; at < 3; ++at) {
    Crash({ Suspect({ kPoison }, "w") });
  }
  Answered({ InputPartId(9) });
  AnswerQueries();
  BOOST_TEST(IsBlocked({ kPoison }, "w"));
  BOOST_TEST(!IsBlocked({ kPoison }, "v"));
  // One crash by another workspace is enough to widen it.
  Crash({ Suspect({ kPoison }, "v") });
  Answered({ InputPartId(9) });
  AnswerQueries();
  BOOST_TEST(IsBlocked({ kPoison }, "x"));
  BOOST_TEST(mView.mInputBlocks.size() == 1u);
}

BOOST_AUTO_TEST_CASE(one_repeated_request_is_blocked_as_such)
{
  const CrashSuspect repeated = Suspect({ kShared, kPoison });
  for (int at = 0; at < 3; ++at) {
    Crash({ repeated });
    Answered({ kShared });
  }
  AnswerQueries();
  BOOST_TEST(IsBlocked(repeated.mParts));
  BOOST_TEST(!IsBlocked({ kShared, kPoison }));
}

BOOST_AUTO_TEST_CASE(
  input_without_parts_is_blocked_when_its_repeats_end_targets)
{
  const CrashSuspect repeated = Suspect({});
  for (int at = 0; at < 3; ++at) {
    Crash({ repeated });
  }
  Answered({ InputPartId(9) });
  AnswerQueries();
  BOOST_TEST(IsBlocked(repeated.mParts));
}

BOOST_AUTO_TEST_CASE(answer_lifts_a_wrong_block)
{
  BlockPoison();
  mNow = mNow + Seconds(1);
  Answered({ kPoison });
  BOOST_TEST(!IsBlocked({ kPoison }));
}

BOOST_AUTO_TEST_CASE(input_that_crashes_again_after_a_lift_is_blocked_again)
{
  BlockPoison();
  mNow = mNow + Seconds(1);
  Answered({ kPoison });
  mNow = mNow + Seconds(5);
  BlockPoison();
  BOOST_TEST(IsBlocked({ kPoison }));
}

BOOST_AUTO_TEST_CASE(block_ends_on_probation_and_one_crash_renews_it_for_longer)
{
  BlockPoison();
  const Duration first = mView.mInputBlocks.begin()->second.mLength;
  mNow = mNow + first;
  Weigh();
  BOOST_TEST(!IsBlocked({ kPoison }));
  BOOST_TEST(mView.mInputBlocks.size() == 1u);
  Crash({ Suspect({ kPoison }) });
  Answered({ InputPartId(9) });
  AnswerQueries();
  Crash({ Suspect({ kPoison }, "v") });
  Answered({ InputPartId(9) });
  AnswerQueries();
  BOOST_TEST(IsBlocked({ kPoison }, "x"));
  Duration longest;
  for (const auto& [id, block] : mView.mInputBlocks) {
    longest = std::max(longest, block.mLength);
  }
  BOOST_TEST(longest.mMicros >= 2 * first.mMicros);
}

BOOST_AUTO_TEST_CASE(block_ends_on_probation_despite_recent_evidence)
{
  BlockPoison();
  const Duration length = mView.mInputBlocks.begin()->second.mLength;
  mNow = mView.mInputBlocks.begin()->second.mSince + length - Seconds(3);
  for (int at = 0; at < 3; ++at) {
    Crash({ Suspect({ kShared, kPoison }) });
    Answered({ kShared });
  }
  AnswerQueries();
  mNow = mNow + Seconds(3);
  Weigh();
  AnswerQueries();
  BOOST_TEST(!IsBlocked({ kShared, kPoison }));
  BOOST_REQUIRE(mView.mInputBlocks.size() == 1u);
  BOOST_TEST(mView.mInputBlocks.begin()->second.mProbation);
}

// Several inputs crash all targets of a service in the same moment, so that no
// request is answered there, and the part that all of them share has more
// evidence than any of the causes. Another service still answers.
BOOST_AUTO_TEST_CASE(
  shared_part_is_not_blamed_for_the_crashes_of_several_inputs)
{
  mService = ServiceId("engine");
  mServices = { { mService, Duration{} } };
  Answered({ kShared });
  mNow = mNow + Seconds(5);
  mServices = { { ServiceId("plain"), Duration{} } };
  const CrashSuspect first = Suspect({ kShared });
  const CrashSuspect second = Suspect({ kShared });
  for (int wave = 0; wave < 3; ++wave) {
    mNow = mNow + Seconds(3);
    Report({ Suspect({ kShared, kPoison }, wave == 0 ? "v" : "w"),
             Suspect({ kShared }) });
    Report({ first, Suspect({ kShared }) });
    Report({ second });
    AnswerQueries();
    BOOST_TEST(!IsBlocked({ kShared }));
  }
  BOOST_TEST(IsBlocked({ kShared, kPoison }));
  BOOST_TEST(IsBlocked(first.mParts));
  BOOST_TEST(IsBlocked(second.mParts));
}

// The same with the causes at random moments, beside sound requests that wait
// at the same targets and are answered at times.
BOOST_AUTO_TEST_CASE(any_two_causes_are_found_and_the_shared_part_stays)
{
  constexpr uint32_t kMostCrashes = 5; // of one cause until it is blocked
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    Random random(seed);
    World world;
    world.mService = ServiceId("engine");
    world.mServices = { { world.mService, Duration{} } };
    world.Answered({ kShared });
    world.mNow = world.mNow + Seconds(5);
    const CrashSuspect request = world.Suspect({ kShared });
    uint32_t ofPart = 0;
    uint32_t ofRequest = 0;
    const auto part = [&] {
      return world.Suspect({ kShared, kPoison }, ofPart % 2 == 0 ? "v" : "w");
    };
    for (int step = 0; step < 60; ++step) {
      world.mNow = world.mNow + Millis(1 + DrawBelow(random, 3000));
      std::vector<CrashSuspect> suspects;
      const bool byPart = DrawBelow(random, 2) == 0;
      if (byPart && !world.IsBlocked({ kShared, kPoison })) {
        suspects.push_back(part());
        ++ofPart;
      } else if (!byPart && !world.IsBlocked(request.mParts)) {
        suspects.push_back(request);
        ++ofRequest;
      }
      if (!suspects.empty()) {
        for (uint64_t sound = DrawBelow(random, 4); sound > 0; --sound) {
          suspects.push_back(world.Suspect({ kShared }));
        }
        world.Report(std::move(suspects));
      }
      const bool answers = DrawBelow(random, 3) == 0;
      world.mServices = { { ServiceId("plain"), Duration{} } };
      if (answers) {
        world.mServices.push_back({ world.mService, Duration{} });
        world.Answered({ kShared });
      }
      world.AnswerQueries();
      BOOST_TEST(!world.IsBlocked({ kShared }), "seed " << seed);
    }
    BOOST_TEST(world.IsBlocked({ kShared, kPoison }), "seed " << seed);
    BOOST_TEST(world.IsBlocked(request.mParts), "seed " << seed);
    BOOST_TEST(ofPart <= kMostCrashes, "seed " << seed);
    BOOST_TEST(ofRequest <= kMostCrashes, "seed " << seed);
  }
}

// A part that was answered once may crash targets later. Requests of the same
// service without it tell it from the loss of the service.
BOOST_AUTO_TEST_CASE(part_that_was_answered_before_is_blocked_beside_others)
{
  mService = ServiceId("engine");
  mServices = { { mService, Duration{} } };
  Answered({ kPoison });
  mNow = mNow + Seconds(5);
  for (int at = 0; at < 3; ++at) {
    Crash({ Suspect({ kPoison }, at == 0 ? "v" : "w") });
    Answered({ kShared });
  }
  AnswerQueries();
  BOOST_TEST(IsBlocked({ kPoison }));
  BOOST_TEST(!IsBlocked({ kShared }));
}

// A lift changes the list of newest decisions, so what refers to its entries
// must not be used in the same step.
BOOST_AUTO_TEST_CASE(lift_does_not_hold_up_a_wider_block)
{
  const InputPartId other(8);
  BlockPoison();
  const CrashSuspect repeated = Suspect({ other });
  for (int at = 0; at < 3; ++at) {
    Crash({ repeated });
    Answered({ kShared });
  }
  AnswerQueries();
  BOOST_REQUIRE(IsBlocked(repeated.mParts));
  BOOST_REQUIRE(!IsBlocked({ other }));
  Crash({ Suspect({ other }, "v") });
  mNow = mNow + Seconds(1);
  StartedParts started;
  started.mAsked.swap(mAsked);
  started.mParts = { { kPoison, Duration{} } };
  started.mNewest = Duration{};
  for (const InstanceId& member : mMembers) {
    started.mMember = member;
    HandleStartedParts(mEvidence, mNow, started);
  }
  Weigh();
  BOOST_TEST(!IsBlocked({ kPoison }));
  BOOST_TEST(IsBlocked({ other }, "x"));
}

BOOST_AUTO_TEST_CASE(probation_without_a_crash_ends_the_block)
{
  BlockPoison();
  const Duration length = mView.mInputBlocks.begin()->second.mLength;
  mNow = mNow + length;
  Weigh();
  mNow = mNow + length;
  Weigh();
  BOOST_TEST(mView.mInputBlocks.empty());
}

BOOST_AUTO_TEST_CASE(lifted_input_is_not_blocked_by_its_old_evidence)
{
  BlockPoison();
  const InputBlock block = mView.mInputBlocks.begin()->second;
  PardonParts(mEvidence, mNow, block.mParts);
  Apply(RemoveInputBlock{ block.mId });
  Weigh();
  AnswerQueries();
  BOOST_TEST(!IsBlocked({ kPoison }));
}

// A start of a target whose connections once broke can still crash later.
BOOST_AUTO_TEST_CASE(crash_after_a_lost_connection_counts_from_its_own_time)
{
  std::vector<CrashReport> reports;
  for (int at = 0; at < 3; ++at) {
    CrashReport report;
    report.mTarget = TargetId("t" + std::to_string(at));
    report.mStartedAt = 1;
    report.mSuspects = { Suspect({ kPoison }, at == 0 ? "w" : "v") };
    HandleCrashReport(mEvidence, mNow, report);
    reports.push_back(report);
  }
  mNow = mNow + Seconds(1);
  Answered({ kPoison });
  for (CrashReport& report : reports) {
    mNow = mNow + Seconds(5);
    report.mConfirmed = true;
    report.mSuspects = { Suspect({ kPoison },
                                 &report == &reports[0] ? "w" : "v") };
    HandleCrashReport(mEvidence, mNow, report);
    Weigh();
  }
  Answered({ InputPartId(9) });
  AnswerQueries();
  BOOST_TEST(IsBlocked({ kPoison }, "x"));
}

// A new leader knows nothing until the members report again.
BOOST_AUTO_TEST_CASE(reports_to_a_new_leader_lead_to_the_same_block)
{
  World former;
  for (int at = 0; at < 2; ++at) {
    former.Crash({ former.Suspect({ kPoison }) });
  }
  mNow = former.mNow;
  for (const CrashRecord& crash : former.mEvidence.mCrashes) {
    CrashReport report;
    report.mTarget = crash.mTarget;
    report.mStartedAt = crash.mStartedAt;
    report.mAge = mNow - crash.mAt;
    report.mConfirmed = true;
    report.mSuspects = crash.mSuspects;
    HandleCrashReport(mEvidence, mNow, report);
    HandleCrashReport(mEvidence, mNow, report); // sent twice, counted once
  }
  mRequests = 50;
  mStarts = 50;
  Weigh();
  BOOST_TEST(mAsked.empty());
  Crash({ Suspect({ kPoison }) });
  Answered({ InputPartId(9) });
  AnswerQueries();
  BOOST_TEST(IsBlocked({ kPoison }));
}

BOOST_AUTO_TEST_CASE(state_is_bounded_under_endless_new_parts)
{
  for (int at = 0; at < 2000; ++at) {
    const InputPartId fresh(10000 + at / 3);
    mNow = mNow + Millis(20);
    Report({ Suspect({ fresh }, at % 2 == 0 ? "w" : "v") });
    Answered({ kShared });
    AnswerQueries();
  }
  BOOST_TEST(mEvidence.mCrashes.size() <= 256u);
  BOOST_TEST(mEvidence.mAnsweredAt.size() <= 256u * 4);
  BOOST_TEST(mView.mInputBlocks.size() <= kMaxInputBlocks);
  BOOST_TEST(mView.mInputBlocks.size() > 100u);
  BOOST_TEST(mView.mObjectRevisions.size() <= kMaxInputBlocks + 1);
}

BOOST_AUTO_TEST_SUITE_END()
