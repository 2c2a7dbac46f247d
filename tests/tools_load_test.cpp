// Tests the parts of caraway-load that do no I/O. Guards against plans that
// differ between runs with the same seed, malformed traces that are accepted,
// answers that count as correct although they are truncated or belong to
// another request, and wrong counts in the results.
#define BOOST_TEST_MODULE tools_load
#include <boost/test/unit_test.hpp>

#include <cmath>

#include <nlohmann/json.hpp>

#include "tools/load_settings.h"

using namespace caraway;
using Json = nlohmann::json;

namespace {

LoadPlanSettings
SomePlan(ArrivalShape aShape)
{
  LoadPlanSettings settings;
  settings.mSeed = 42;
  settings.mShape = aShape;
  settings.mRate = 50;
  settings.mLength = Seconds(20);
  settings.mMaxCount = 100000;
  settings.mShares = { 3, 1 };
  return settings;
}

bool
SamePlan(const std::vector<LoadArrival>& aOne,
         const std::vector<LoadArrival>& aOther)
{
  return std::equal(aOne.begin(),
                    aOne.end(),
                    aOther.begin(),
                    aOther.end(),
                    [](const LoadArrival& aLeft, const LoadArrival& aRight) {
                      return aLeft.mAt == aRight.mAt &&
                             aLeft.mKind == aRight.mKind &&
                             aLeft.mWorkspace == aRight.mWorkspace;
                    });
}

std::string
TraceLine(const char* aAt, const char* aKind, const char* aWorkspace)
{
  return std::string("{\"at_ms\":") + aAt + ",\"kind\":\"" + aKind +
         "\",\"workspace\":\"" + aWorkspace +
         "\",\"prompt_bytes\":100,\"max_tokens\":4}\n";
}

LoadRecord
Answered(uint32_t aWorkspace, LoadKind aKind, LoadOutcome aOutcome, int aMillis)
{
  LoadRecord record;
  record.mArrival.mWorkspace = aWorkspace;
  record.mArrival.mKind = aKind;
  record.mOutcome = aOutcome;
  record.mTotal = Millis(aMillis);
  record.mFirst = Millis(aMillis / 2);
  return record;
}

LoadResult
SomeResult()
{
  LoadResult result;
  result.mArrivals = "poisson";
  result.mWorkspaces = { "a", "<b>" };
  result.mLength = Seconds(1);
  for (int count = 0; count < 100; ++count) {
    result.mRecords.push_back(
      Answered(0, LoadKind::eStream, LoadOutcome::eOk, 100));
  }
  result.mRecords.push_back(
    Answered(1, LoadKind::eKeyed, LoadOutcome::eRefused, 9000));
  result.mRecords.push_back(
    Answered(1, LoadKind::eKeyed, LoadOutcome::eOk, 10));
  result.mRecords[3].mSendLag = Millis(7);
  result.mMarks = { { Millis(500), "zone <out>" } };
  return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_same_seed_gives_the_same_plan)
{
  for (const ArrivalShape shape : { ArrivalShape::eConstant,
                                    ArrivalShape::ePoisson,
                                    ArrivalShape::eBursts }) {
    LoadPlanSettings settings = SomePlan(shape);
    const auto plan = MakeLoadPlan(settings);
    BOOST_TEST(!plan.empty());
    BOOST_TEST(SamePlan(plan, MakeLoadPlan(settings)));
    settings.mSeed = 43;
    BOOST_TEST(!SamePlan(plan, MakeLoadPlan(settings)));
  }
}

BOOST_AUTO_TEST_CASE(a_plan_keeps_its_rate_mix_and_bounds)
{
  LoadPlanSettings settings = SomePlan(ArrivalShape::eConstant);
  const auto constant = MakeLoadPlan(settings);
  BOOST_TEST(constant.size() >= 1000u);
  BOOST_TEST(constant.size() <= 1001u);
  BOOST_TEST(std::abs(constant[50].mAt.mMicros - 1000000) <= 1);

  settings.mShape = ArrivalShape::ePoisson;
  settings.mMix = { 1, 0, 0, 1 };
  const auto poisson = MakeLoadPlan(settings);
  size_t second = 0;
  for (const LoadArrival& arrival : poisson) {
    BOOST_TEST((arrival.mAt < settings.mLength));
    BOOST_TEST((arrival.mKind == LoadKind::eOnline ||
                arrival.mKind == LoadKind::eUnkeyed));
    second += arrival.mWorkspace;
  }
  // 1,000 arrivals are expected; the bounds are five standard deviations away.
  BOOST_TEST(poisson.size() > 842u);
  BOOST_TEST(poisson.size() < 1158u);
  BOOST_TEST(second > poisson.size() / 6);
  BOOST_TEST(second < poisson.size() / 3);

  settings.mMaxCount = 7;
  BOOST_TEST(MakeLoadPlan(settings).size() == 7u);
}

BOOST_AUTO_TEST_CASE(bursts_hold_more_arrivals_than_the_time_between)
{
  const auto plan = MakeLoadPlan(SomePlan(ArrivalShape::eBursts));
  size_t inside = 0;
  for (const LoadArrival& arrival : plan) {
    inside += arrival.mAt.mMicros % 5000000 < 1000000 ? 1 : 0;
  }
  // A rate 8 times as high for a fifth of the time gives two thirds of all
  // arrivals: 8 / (8 + 4).
  BOOST_TEST(inside > plan.size() * 60 / 100);
  BOOST_TEST(inside < plan.size() * 74 / 100);
}

BOOST_AUTO_TEST_CASE(a_valid_trace_is_read_unchanged)
{
  const auto plan = ParseLoadTrace(TraceLine("5", "stream", "b") + "\n" +
                                     TraceLine("5", "keyed", "a"),
                                   { "a", "b" },
                                   10);
  BOOST_REQUIRE(plan.ok());
  BOOST_REQUIRE(plan->size() == 2u);
  BOOST_TEST((*plan)[0].mAt.Millis() == 5);
  BOOST_TEST((*plan)[0].mWorkspace == 1u);
  BOOST_TEST(((*plan)[0].mKind == LoadKind::eStream));
  BOOST_TEST((*plan)[0].mPromptBytes == 100u);
  BOOST_TEST((*plan)[0].mMaxTokens == 4u);
  BOOST_TEST(((*plan)[1].mKind == LoadKind::eKeyed));
}

BOOST_AUTO_TEST_CASE(a_malformed_trace_is_refused_with_its_line)
{
  const std::string good = TraceLine("5", "online", "a");
  for (const std::string& bad : { std::string("{broken\n"),
                                  std::string("[]\n"),
                                  std::string("{\"at_ms\":5}\n"),
                                  TraceLine("-1", "online", "a"),
                                  TraceLine("1.5", "online", "a"),
                                  TraceLine("\"5\"", "online", "a"),
                                  TraceLine("9999999999", "online", "a"),
                                  TraceLine("5", "other", "a"),
                                  TraceLine("5", "online", "stranger"),
                                  TraceLine("4", "online", "a") }) {
    const auto plan = ParseLoadTrace(good + bad, { "a" }, 10);
    BOOST_TEST(!plan.ok(), bad);
    BOOST_TEST(std::string(plan.status().message()).find("line 2") !=
                 std::string::npos,
               bad);
  }
  BOOST_TEST(!ParseLoadTrace(good + good, { "a" }, 1).ok());
}

BOOST_AUTO_TEST_CASE(mixes_marks_and_addresses_are_checked)
{
  BOOST_REQUIRE(ParseLoadMix("stream:2").ok());
  BOOST_TEST((*ParseLoadMix("stream:2"))[1] == 2);
  BOOST_TEST((*ParseLoadMix("stream:2"))[0] == 0);
  for (const char* bad :
       { "", "stream", "other:1", "stream:-1", "stream:nan", "stream:0" }) {
    BOOST_TEST(!ParseLoadMix(bad).ok(), bad);
  }
  BOOST_REQUIRE(ParseLoadMark("500:a:b").ok());
  BOOST_TEST(ParseLoadMark("500:a:b")->mText == "a:b");
  for (const char* bad : { "", "500", "500:", "x:a", "-1:a" }) {
    BOOST_TEST(!ParseLoadMark(bad).ok(), bad);
  }
  for (const char* good :
       { "http://127.0.0.1:80", "https://127.9.9.9:80/", "http://[::1]:80" }) {
    BOOST_TEST(IsLoopbackUrl(good), good);
  }
  for (const char* bad : { "http://10.0.0.1:80",
                           "http://127.0.0.1.example:80",
                           "http://127.0.0.1@10.0.0.1:80",
                           "http://127.0.0.1:80@10.0.0.1:80",
                           "http://localhost:80",
                           "http://[::2]:80",
                           "127.0.0.1:80",
                           "http://127.0.0.1:80/path" }) {
    BOOST_TEST(!IsLoopbackUrl(bad), bad);
  }
}

BOOST_AUTO_TEST_CASE(answers_of_other_requests_and_truncated_answers_are_wrong)
{
  LoadCallSettings settings;
  LoadArrival arrival;
  auto check = [&](int aStatus, const std::string& aBody) {
    return LoadOutcomeName(
      CheckLoadAnswer(settings, arrival, 1, aStatus, aBody));
  };
  const std::string piece = "data: {\"choices\":[{\"text\":\"w1 \"}]}\n\n";
  arrival.mKind = LoadKind::eStream;
  BOOST_TEST(check(200, piece + "data: [DONE]\n\n") == "ok");
  BOOST_TEST(check(200, piece) == "wrong");
  BOOST_TEST(check(200, "data: [DONE]\n\n") == "wrong");
  BOOST_TEST(check(200, piece + "data: {\"error\":{}}\n\ndata: [DONE]\n\n") ==
             "wrong");
  settings.mCheckSeed = 7;
  BOOST_TEST(check(200, piece + "data: [DONE]\n\n") == "wrong");

  // The request body is {"pallet":"..."} with 8 + index letters.
  arrival.mKind = LoadKind::eKeyed;
  BOOST_TEST(check(200, R"({"executions":1,"body_bytes":22})") == "ok");
  BOOST_TEST(check(200, R"({"executions":1,"body_bytes":23})") == "wrong");
  BOOST_TEST(check(200, R"({"executions":2,"body_bytes":22})") == "wrong");
  BOOST_TEST(check(200, "{") == "wrong");
  BOOST_TEST(check(503, R"({"error":{"outcome":"not_run"}})") == "refused");
  BOOST_TEST(check(503, R"({"error":{"outcome":"unknown"}})") == "unknown");
  BOOST_TEST(check(500, "") == "failed");
}

BOOST_AUTO_TEST_CASE(figures_are_counted_by_workspace_and_kind)
{
  const LoadResult result = SomeResult();
  const Json json = Json::parse(FormatLoadJson(result));
  BOOST_REQUIRE(json["groups"].size() == 2u);
  const Json& streams = json["groups"][0];
  BOOST_TEST(streams["ok"] == 100);
  BOOST_TEST(streams["latency_ms"]["p99"].get<double>() >= 100);
  BOOST_TEST(streams["latency_ms"]["p99"].get<double>() <= 106);
  BOOST_TEST(streams["first_token_ms"]["p50"].get<double>() >= 50);
  BOOST_TEST(streams["first_token_ms"]["p50"].get<double>() <= 53);
  // A refused request is counted, but has no latency sample.
  const Json& bookings = json["groups"][1];
  BOOST_TEST(bookings["sent"] == 2);
  BOOST_TEST(bookings["refused"] == 1);
  BOOST_TEST(bookings["latency_ms"]["count"] == 1);
  BOOST_TEST(bookings["latency_ms"]["p99"].get<double>() <= 11);
  BOOST_TEST(json["worst_send_lag_ms"].get<double>() == 7);
  BOOST_TEST(json["marks"][0]["at_ms"] == 500);

  const std::string table = FormatLoadTable(result);
  BOOST_TEST(table.find("102 requests in 1.0 s; sent at most 7.0 ms late") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_report_escapes_names_and_has_no_external_references)
{
  const std::string html = FormatLoadHtml(SomeResult());
  BOOST_TEST(html.find("<b>") == std::string::npos);
  BOOST_TEST(html.find("zone &lt;out&gt;") != std::string::npos);
  BOOST_TEST(html.find("<polyline") != std::string::npos);
  BOOST_TEST(html.find("http") == std::string::npos);
}
