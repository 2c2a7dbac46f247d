// Guards against soak checks that miss a fault: each guarantee that a record
// can show as broken has to be reported, and a correct record reports nothing.
#define BOOST_TEST_MODULE platform_soak
#include <boost/test/unit_test.hpp>

#include "platform/soak/soak_fleet.h"
#include "platform/soak/soak_kept.h"
#include "platform/soak/soak_results.h"
#include "platform/soak/soak_rollout_check.h"

using namespace caraway;
using namespace caraway::soak;

namespace {

RequestRecord
Request(RouteKind aKind, int aStatus)
{
  RequestRecord request;
  request.mId = request.mContent = "r1";
  request.mKind = aKind;
  request.mWorkspace = "w";
  request.mPath = "/p/r1";
  request.mBody = "body";
  request.mService = "s";
  request.mStatus = aStatus;
  request.mWhole = true;
  request.mSignature = SignatureOf("r1");
  request.mAnswer = PlainAnswer("r1");
  return request;
}

Run
RunOf(const RequestRecord& aRequest)
{
  Run run;
  run.mTarget = "t";
  run.mService = aRequest.mService;
  run.mWorkspace = aRequest.mWorkspace;
  run.mPath = aRequest.mPath;
  run.mBody = aRequest.mBody;
  return run;
}

size_t
FindingsOfRuns(const RequestRecord& aRequest)
{
  Record record;
  record.mRequests[aRequest.mId] = aRequest;
  CheckRuns(record);
  return record.mViolations.size();
}

size_t
FindingsOfAnswer(const RequestRecord& aRequest)
{
  Record record;
  CheckAnswer(record, aRequest);
  return record.mViolations.size();
}

std::string
ResultOf(const std::string& aItem)
{
  std::string output;
  for (uint64_t event = 1; event <= kStreamEvents; ++event) {
    output +=
      (event > 1 ? "\\n" : "") + aItem + "/" + std::to_string(event) + "/v1";
  }
  return R"({"id":")" + aItem + R"(","state":"completed","output":")" + output +
         R"("})";
}

// An answer to a read of a job with four items.
std::string
ListOf(size_t aNext, const std::string& aResults)
{
  return R"({"total":4,"next":)" + std::to_string(aNext) + R"(,"results":[)" +
         aResults + "]}";
}

struct JobRecord
{
  Record mRecord;
  Job mJob;

  JobRecord()
  {
    mJob.mId = "j";
    mJob.mItems = { "i0", "i1", "i2", "i3" };
    mRecord.mItems["i3"].mBody = "body of i3";
  }

  std::optional<size_t> Read(size_t aFrom,
                             const std::string& aBody,
                             ListEnd aEnd = ListEnd::eSettled)
  {
    return CheckResults(mRecord, mJob, aFrom, aBody, aEnd);
  }

  size_t Findings() const { return mRecord.mViolations.size(); }
};

RolloutRecord
EndedRollout(bool aBad, const char* aState)
{
  RolloutRecord rollout;
  rollout.mFrom = "old";
  rollout.mTo = "new";
  rollout.mBad = aBad;
  rollout.mShare = 0.1;
  rollout.mSlack = 2;
  rollout.mRollbackTime = Seconds(5);
  rollout.mState = aState;
  rollout.mEndedAt = MonoTime{ 0 } + Seconds(100);
  return rollout;
}

} // namespace

BOOST_AUTO_TEST_CASE(correct_request_has_no_findings)
{
  RequestRecord request = Request(RouteKind::eOnce, 200);
  request.mRuns = { RunOf(request) };
  BOOST_TEST(FindingsOfRuns(request) == 0u);
  BOOST_TEST(FindingsOfAnswer(request) == 0u);
}

BOOST_AUTO_TEST_CASE(second_run_is_found_where_one_is_allowed)
{
  RequestRecord request = Request(RouteKind::eOnce, 200);
  request.mRuns = { RunOf(request), RunOf(request) };
  BOOST_TEST(FindingsOfRuns(request) == 1u);
  request.mKind = RouteKind::eRepeatable;
  BOOST_TEST(FindingsOfRuns(request) == 0u);
  request.mRuns.push_back(RunOf(request));
  BOOST_TEST(FindingsOfRuns(request) == 1u);
}

BOOST_AUTO_TEST_CASE(false_not_run_refusal_is_found)
{
  for (const int status : { 429, 503 }) {
    RequestRecord request = Request(RouteKind::eStream, status);
    BOOST_TEST(FindingsOfRuns(request) == 0u);
    request.mRuns = { RunOf(request) };
    BOOST_TEST(FindingsOfRuns(request) == 1u);
  }
}

BOOST_AUTO_TEST_CASE(changed_request_or_shown_key_is_found)
{
  RequestRecord request = Request(RouteKind::eOnce, 200);
  for (const int change : { 0, 1, 2, 3, 4 }) {
    Run run = RunOf(request);
    run.mReceivedKey = change == 0;
    run.mWorkspace += change == 1 ? "x" : "";
    run.mService += change == 2 ? "x" : "";
    run.mPath += change == 3 ? "x" : "";
    run.mBody += change == 4 ? "x" : "";
    request.mRuns = { run };
    BOOST_TEST(FindingsOfRuns(request) == 1u);
  }
}

BOOST_AUTO_TEST_CASE(wrong_short_or_duplicated_answer_is_found)
{
  RequestRecord request = Request(RouteKind::eOnce, 200);
  request.mSignature = SignatureOf("r2");
  BOOST_TEST(FindingsOfAnswer(request) == 1u);
  request = Request(RouteKind::eOnce, 200);
  request.mAnswer.pop_back();
  BOOST_TEST(FindingsOfAnswer(request) == 1u);
  request = Request(RouteKind::eStream, 200);
  request.mAnswer.clear();
  for (uint64_t event = 1; event <= kStreamEvents; ++event) {
    request.mAnswer += StreamEvent("r1", event, "v1");
  }
  BOOST_TEST(FindingsOfAnswer(request) == 0u);
  request.mAnswer += StreamEvent("r1", kStreamEvents, "v1");
  BOOST_TEST(FindingsOfAnswer(request) == 1u);
  request.mStatus = 0; // a broken stream with a repeated event
  request.mAnswer = StreamEvent("r1", 1, "v1") + StreamEvent("r1", 1, "v1");
  BOOST_TEST(FindingsOfAnswer(request) == 1u);
}

BOOST_AUTO_TEST_CASE(short_answer_is_found_only_if_its_end_is_stated)
{
  RequestRecord request = Request(RouteKind::eOnce, 200);
  request.mAnswer.pop_back();
  request.mEndStated = false;
  BOOST_TEST(FindingsOfAnswer(request) == 0u);
}

BOOST_AUTO_TEST_CASE(stream_of_two_versions_is_found)
{
  RequestRecord request = Request(RouteKind::eResumable, 0);
  request.mAnswer = StreamEvent("r1", 1, "v1") + StreamEvent("r1", 2, "v2");
  BOOST_TEST(FindingsOfAnswer(request) == 1u);
  request.mAnswer = StreamEvent("r1", 1, "v2") + StreamEvent("r1", 2, "v2");
  BOOST_TEST(FindingsOfAnswer(request) == 0u);
  BOOST_TEST(VersionOfEvents(request) == "v2");
  BOOST_TEST(CountEvents(request) == 2u);
  request.mResumedAfter = 2;
  request.mBegunVersion = "v1";
  request.mAnswer = StreamEvent("r1", 3, "v2");
  BOOST_TEST(FindingsOfAnswer(request) == 1u);
  request.mAnswer = StreamEvent("r1", 3, "v1");
  BOOST_TEST(FindingsOfAnswer(request) == 0u);
}

BOOST_AUTO_TEST_CASE(item_of_two_versions_is_found)
{
  std::string whole;
  for (uint64_t event = 1; event <= kStreamEvents; ++event) {
    whole += (event > 1 ? "\ni/" : "i/") + std::to_string(event) + "/v1";
  }
  BOOST_TEST(IsItemOutput("i", whole));
  whole.back() = '2';
  BOOST_TEST(!IsItemOutput("i", whole));
}

BOOST_AUTO_TEST_CASE(rate_and_cold_start_bounds_are_checked)
{
  Record record;
  RequestRecord request = Request(RouteKind::eOnce, 200);
  for (int at = 0; at < 200; ++at) {
    request.mId = "r" + std::to_string(at);
    Run run = RunOf(request);
    run.mAt = request.mSentAt = MonoTime{ 0 } + Millis(at);
    request.mRuns.clear();
    record.mRequests[request.mId] = request;
    NoteRun(record, request.mId, run);
  }
  CheckRate(record, "w", { 30, 30 }); // limit: 218 in 5 s
  CheckColdPeriod(record, "t", MonoTime{ 0 }, MonoTime{ 0 } + Seconds(3), 130);
  BOOST_TEST(record.mViolations.size() == 0u);
  CheckRate(record, "w", { 25, 30 }); // limit: 190.5
  BOOST_TEST(record.mViolations.size() == 1u);
  CheckColdPeriod(record, "t", MonoTime{ 0 }, MonoTime{ 0 } + Seconds(3), 129);
  BOOST_TEST(record.mViolations.size() == 2u);
}

BOOST_AUTO_TEST_CASE(runs_of_a_request_that_crashes_targets_are_counted)
{
  Record record;
  RequestRecord request = Request(RouteKind::eRepeatable, 0);
  request.mPath = "/p/deadly";
  const auto run = [&](int aNumber, Duration aAt) {
    request.mId = "r" + std::to_string(aNumber);
    Run one = RunOf(request);
    one.mAt = MonoTime{ 0 } + aAt;
    record.mRequests[request.mId] = request;
    NoteRun(record, request.mId, one);
    record.mDeadlyCrashes[request.mPath].push_back(one.mAt);
  };
  for (int at = 0; at < 3; ++at) {
    run(at, Seconds(at));
  }
  for (int at = 3; at < 6; ++at) {
    run(at, Seconds(10 + at));
  }
  CheckDeadly(record, MonoTime{ 0 } + Seconds(5));
  BOOST_TEST(record.mViolations.size() == 0u);
  run(6, Seconds(20));
  CheckDeadly(record, MonoTime{ 0 } + Seconds(5));
  BOOST_TEST(record.mViolations.size() == 1u);
}

BOOST_AUTO_TEST_CASE(rate_that_a_target_states_is_checked_over_all_callers)
{
  Record record;
  const auto start = [&](Duration aAt) {
    record.mStarts["t"].push_back(MonoTime{ 0 } + aAt);
  };
  for (int at = 0; at < 100; ++at) {
    start(Millis(20 * at)); // before the rate can have been learned
  }
  for (int at = 0; at < 17; ++at) {
    start(Millis(4000 + 200 * at));
  }
  const auto findings = [&](double aRate) {
    record.mViolations.clear();
    CheckStatedRate(
      record, "t", MonoTime{ 0 }, MonoTime{ 0 } + Seconds(9), aRate);
    return record.mViolations.size();
  };
  BOOST_TEST(findings(2) == 0u); // 1.5 x 2 x 4 + 5 starts in 4 s
  BOOST_TEST(findings(1.9) == 1u);
}

BOOST_AUTO_TEST_CASE(run_without_a_sent_request_is_found)
{
  Record record;
  NoteRun(record, "unknown", Run{});
  CheckRuns(record);
  BOOST_TEST(record.mViolations.size() == 1u);
}

BOOST_AUTO_TEST_CASE(results_are_read_to_the_end_of_the_list)
{
  JobRecord job;
  BOOST_TEST(job.Read(0, ListOf(1, ResultOf("i0"))).value_or(0) == 1u);
  BOOST_TEST(job.Read(1, ListOf(2, ResultOf("i2"))).value_or(0) == 2u);
  BOOST_TEST(!job.Read(2, ListOf(2, "")));
  BOOST_TEST(job.mJob.mListed.size() == 2u);
  BOOST_TEST(job.Findings() == 0u);
  BOOST_TEST(
    (UnlistedItems(job.mJob) == std::vector<std::string>{ "i1", "i3" }));
}

BOOST_AUTO_TEST_CASE(lost_or_changed_result_is_found)
{
  JobRecord job;
  job.Read(0, ListOf(2, ResultOf("i0") + "," + ResultOf("i1")));
  job.Read(1, ListOf(1, ""), ListEnd::eMayLag);
  BOOST_TEST(job.Findings() == 0u);
  job.Read(1, ListOf(1, ""));
  BOOST_TEST(job.Findings() == 1u);
  job.Read(0, ListOf(0, ""), ListEnd::eMayLag);
  BOOST_TEST(job.Findings() == 2u);
  job.Read(0, ListOf(1, ResultOf("i1")));
  BOOST_TEST(job.Findings() == 3u);
}

BOOST_AUTO_TEST_CASE(result_of_another_job_or_wrong_position_is_found)
{
  JobRecord job;
  job.Read(0, ListOf(1, ResultOf("other")));
  BOOST_TEST(job.Findings() == 1u);
  job.Read(1, ListOf(3, ResultOf("i1")));
  BOOST_TEST(job.Findings() == 2u);
  job.Read(0, "not JSON");
  BOOST_TEST(job.Findings() == 3u);
}

BOOST_AUTO_TEST_CASE(changed_body_of_an_item_is_found)
{
  JobRecord job;
  CheckItemBody(job.mRecord, "i3", "body of i3");
  BOOST_TEST(job.Findings() == 0u);
  CheckItemBody(job.mRecord, "i3", "body of i4");
  BOOST_TEST(job.Findings() == 1u);
}

BOOST_AUTO_TEST_CASE(roll_out_that_ends_wrongly_is_found)
{
  Record record;
  RolloutRecord rollout = EndedRollout(true, "rolled_back");
  CheckRollout(record, rollout);
  CheckRollout(record, EndedRollout(false, "completed"));
  BOOST_TEST(record.mViolations.size() == 0u);
  CheckRollout(record, EndedRollout(true, "completed"));
  CheckRollout(record, EndedRollout(false, "rolled_back"));
  BOOST_TEST(record.mViolations.size() == 2u);
  rollout = EndedRollout(true, "active");
  rollout.mEndedAt.reset();
  CheckRollout(record, rollout);
  BOOST_TEST(record.mViolations.size() == 3u);
}

BOOST_AUTO_TEST_CASE(exposure_above_share_and_slack_is_found)
{
  Record record;
  RolloutRecord rollout = EndedRollout(true, "rolled_back");
  rollout.mRuns.resize(100, { MonoTime{ 0 }, "old", true });
  rollout.mRuns.resize(113, { MonoTime{ 0 }, "new", false });
  CheckRollout(record, rollout); // 0.1 x 113 + 2 = 13.3
  BOOST_TEST(record.mViolations.size() == 0u);
  rollout.mRuns.push_back({ MonoTime{ 0 }, "new", false });
  CheckRollout(record, rollout); // 14 of 114
  BOOST_TEST(record.mViolations.size() == 1u);
}

BOOST_AUTO_TEST_CASE(request_at_a_version_out_of_use_is_found)
{
  Record record;
  RolloutRecord back = EndedRollout(true, "rolled_back");
  back.mSlack = 10;
  back.mRuns = { { *back.mEndedAt + Seconds(5), "new", true },
                 { *back.mEndedAt + Seconds(6), "new", false },
                 { *back.mEndedAt + Seconds(6), "old", true } };
  RolloutRecord completed = EndedRollout(false, "completed");
  completed.mRuns = { { *completed.mEndedAt, "old", true },
                      { *completed.mEndedAt + Millis(1), "old", false },
                      { *completed.mEndedAt + Millis(1), "new", true } };
  CheckRollout(record, back);
  CheckRollout(record, completed);
  BOOST_TEST(record.mViolations.size() == 0u);
  back.mRuns.push_back({ *back.mEndedAt + Millis(5001), "new", true });
  CheckRollout(record, back);
  BOOST_TEST(record.mViolations.size() == 1u);
  completed.mRuns.push_back({ *completed.mEndedAt + Millis(1), "old", true });
  CheckRollout(record, completed);
  BOOST_TEST(record.mViolations.size() == 2u);
  completed.mRuns.pop_back();
  completed.mCallsAtOld = 1;
  CheckRollout(record, completed);
  BOOST_TEST(record.mViolations.size() == 3u);
}

BOOST_AUTO_TEST_CASE(process_above_its_memory_is_found)
{
  Record record;
  CheckUsage(record, ProgramRole::eEntry, { 0, { 110'000'000, 9 } });
  CheckUsage(record, ProgramRole::eControl, { 0, { 140'000'000, 9 } });
  BOOST_TEST(record.mViolations.size() == 0u);
  CheckUsage(record, ProgramRole::eEntry, { 0, { 110'000'001, 9 } });
  CheckUsage(record, ProgramRole::eControl, { 0, { 140'000'001, 9 } });
  BOOST_TEST(record.mViolations.size() == 2u);
}

BOOST_AUTO_TEST_CASE(request_that_a_planned_stop_leaves_unanswered_is_found)
{
  const auto at = [](int64_t aMillis) {
    return MonoTime{ 0 } + Millis(aMillis);
  };
  const MonoTime stopped = at(10000);
  BrokenRequest request{ at(9900), at(10050), Seconds(3), true };
  BOOST_TEST(IsLostAtStop(request, stopped, std::nullopt));
  BOOST_TEST(IsLostAtStop(request, stopped, at(6800)));
  BOOST_TEST(!IsLostAtStop(request, stopped, at(6900)));
  // A close that crosses a request is allowed for a short while.
  request.mPassedOn = false;
  BOOST_TEST(!IsLostAtStop(request, stopped, std::nullopt));
  request.mEndedAt = at(10101);
  BOOST_TEST(IsLostAtStop(request, stopped, std::nullopt));
  // Past the time-out of the route, before the stop, or long after the grace.
  request.mEndedAt = at(12900);
  BOOST_TEST(!IsLostAtStop(request, stopped, std::nullopt));
  request = { at(9500), at(9900), Seconds(3), true };
  BOOST_TEST(!IsLostAtStop(request, stopped, std::nullopt));
  request = { at(19000), at(19100), Seconds(3), true };
  BOOST_TEST(!IsLostAtStop(request, stopped, std::nullopt));
}
