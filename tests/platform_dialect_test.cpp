// Guards the platform's dialect: requests become the right events, invalid ones
// are refused, and data of targets is accepted only from complete messages.
#define BOOST_TEST_MODULE platform_dialect
#include <boost/test/unit_test.hpp>

#include "platform/dialect.h"
#include "platform/heartbeat_json.h"
#include "platform/jobs_json.h"
#include "platform/plan_json.h"

using namespace caraway;

namespace {

HttpRequest
Request(const char* aMethod, const char* aPath, const char* aBody = "")
{
  HttpRequest request;
  request.mCall = HttpCallId(1);
  request.mMethod = aMethod;
  request.mPath = aPath;
  request.mBody = aBody;
  return request;
}

EntryEvent
Event(ListenerUse aUse, const HttpRequest& aRequest)
{
  const DecodedRequest decoded =
    platform::MakeEntryDialect().mRead(aUse, aRequest);
  BOOST_REQUIRE(std::holds_alternative<EntryEvent>(decoded));
  return std::get<EntryEvent>(decoded);
}

int
Refused(ListenerUse aUse, const HttpRequest& aRequest)
{
  const DecodedRequest decoded =
    platform::MakeEntryDialect().mRead(aUse, aRequest);
  const auto* answer = std::get_if<HttpResponse>(&decoded);
  return answer == nullptr ? 0 : answer->mStatus;
}

constexpr const char* kPlan =
  R"({"version":7,"routeTable":[{"name":"r","host":"h","pathPrefix":"/p/",)"
  R"("kind":"streaming","timeoutMs":5000,"sloMs":300,"priority":0,)"
  R"("split":[{"service":"s","weight":90},{"service":"t","weight":10}],)"
  R"("maxAttempts":2,"resumable":true,"gapTargetMs":200}],)"
  R"("services":[{"name":"s","coldPerS":23.0,"engine":{"slots":8}},)"
  R"({"name":"t"}],)"
  R"("tenants":[{"name":"w","apiKeys":["k"],"ratePerS":45,"burst":40}]})";

} // namespace

BOOST_AUTO_TEST_CASE(configuration_becomes_a_plan)
{
  auto plan = platform::ReadPlan(kPlan);
  BOOST_REQUIRE(plan.ok());
  BOOST_TEST(plan->mVersion == 7u);
  BOOST_TEST((plan->mRoutes[0].mKind == CallKind::eStream));
  BOOST_TEST(plan->mRoutes[0].mShares.size() == 2u);
  BOOST_TEST(plan->mRoutes[0].mTimeout.Millis() == 5000);
  BOOST_TEST(plan->mServices[0].mEngine);
  BOOST_TEST(!plan->mServices[1].mEngine);
  BOOST_TEST(plan->mWorkspaces[0].mRate == 45);
  BOOST_TEST(plan->mSource == kPlan);
  BOOST_TEST(CheckPlan(*plan).ok());
}

BOOST_AUTO_TEST_CASE(truncated_configuration_is_refused_at_every_length)
{
  const std::string whole = kPlan;
  for (size_t length = 0; length < whole.size(); ++length) {
    BOOST_TEST(!platform::ReadPlan(whole.substr(0, length)).ok());
  }
  BOOST_TEST(Refused(ListenerUse::eOperators,
                     Request("POST", "/v1/Config.Replace", "{")) == 400);
}

BOOST_AUTO_TEST_CASE(caller_request_loses_only_credentials_and_system_headers)
{
  HttpRequest http = Request("POST", "/p/x", "body");
  http.mQuery = "q=1";
  http.mHeaders = {
    { "Host", "h:80" },          { "Attempt-Id", "id" },
    { "Deadline-Ms", "5000" },   { "Authorization", "Bearer k" },
    { "Token-Usage", "450,90" }, { "Connection", "keep-alive" },
    { "X-Other", "kept" },       { "Tenant", "forged" }
  };
  const EntryEvent event = Event(ListenerUse::eCallers, http);
  const auto& request = std::get<ForwardRequest>(event);
  BOOST_TEST(request.mId.mValue == "id");
  BOOST_TEST(request.mHost == "h");
  BOOST_TEST(request.mKey == "k");
  BOOST_TEST(request.mDeadline->Millis() == 5000);
  BOOST_TEST(request.mOutputTokens == 90u);
  BOOST_TEST(request.mHeaders.size() == 2u); // Token-Usage and X-Other
}

// If malformed numbers were read as zero, a large request would count as a
// small one, and a read of results would return lines a second time.
BOOST_AUTO_TEST_CASE(malformed_numbers_are_refused)
{
  for (const char* sizes : { "450", "450,", "450,x", "1,2,3", "-1,2" }) {
    HttpRequest http = Request("POST", "/p/x", "body");
    http.mHeaders = { { "Token-Usage", sizes } };
    BOOST_TEST(Refused(ListenerUse::eCallers, http) == 400);
  }
  for (const char* after : { "x", "-1", "1x" }) {
    HttpRequest http = Request("GET", "/v1/lots/j1", "");
    http.mQuery = std::string("after=") + after;
    BOOST_TEST(Refused(ListenerUse::eCallers, http) == 400);
  }
}

BOOST_AUTO_TEST_CASE(call_to_a_target_names_workspace_target_and_time_left)
{
  StartTargetCall call;
  call.mContext.mRequest = RequestId("id");
  call.mContext.mWorkspace = WorkspaceId("w");
  call.mContext.mExpected = TargetId("t");
  call.mContext.mTimeLeft = Millis(1234);
  call.mContext.mResumeAfter = 5;
  platform::MakeTargetDialect().mWriteCall(call);
  BOOST_TEST(HeaderValue(call.mHeaders, "Attempt-Id") == "id");
  BOOST_TEST(HeaderValue(call.mHeaders, "Tenant") == "w");
  BOOST_TEST(HeaderValue(call.mHeaders, "Expect-Instance") == "t");
  BOOST_TEST(HeaderValue(call.mHeaders, "Deadline-Ms") == "1234");
  BOOST_TEST(HeaderValue(call.mHeaders, "Last-Event-Id") == "5");
}

// A malformed rate taken as a number would stop or flood the target.
BOOST_AUTO_TEST_CASE(stated_rate_is_a_whole_decimal_number)
{
  const auto rate = [](const char* aText) {
    TargetCallBegan answer;
    answer.mStatus = 200;
    answer.mHeaders = { { "Server-Limit", aText } };
    platform::MakeTargetDialect().mReadAnswer(answer);
    return answer.mStatedRate;
  };
  BOOST_TEST((rate("2.6") == std::optional(2.6)));
  BOOST_TEST((rate("0") == std::optional(0.0)));
  for (const char* text : { "", "x", "3 a second", "-1", "inf", "nan" }) {
    BOOST_TEST(!rate(text));
  }
}

BOOST_AUTO_TEST_CASE(response_tells_whether_the_target_ran_the_request)
{
  const auto read = [](int aStatus, Headers aHeaders) {
    TargetCallBegan answer;
    answer.mStatus = aStatus;
    answer.mHeaders = std::move(aHeaders);
    platform::MakeTargetDialect().mReadAnswer(answer);
    return answer;
  };
  BOOST_TEST(read(503, { { "Not-Executed", "1" } }).mNotRun);
  BOOST_TEST(!read(503, {}).mNotRun);
  BOOST_TEST(read(421, {}).mWrongTarget);
  BOOST_TEST(read(200, { { "Server-Leaving", "1" } }).mLeaving);
  BOOST_TEST(!read(200, { { "Server-Leaving", "0" } }).mLeaving);
  // The response comes from another target that now has the address.
  BOOST_TEST(!read(421, { { "Server-Leaving", "1" } }).mLeaving);
  BOOST_TEST(read(200, {}).mForeign); // no signature
  BOOST_TEST(!read(200, { { "Server-Signature", "s" } }).mForeign);
  BOOST_TEST(read(200, { { "Instance-Load", "3,1,8" } }).mLoad->mWaiting == 1u);
  BOOST_TEST(!read(200, { { "Instance-Load", "3,1" } }).mLoad.has_value());
}

BOOST_AUTO_TEST_CASE(heartbeats_with_invalid_fields_are_refused)
{
  const std::string good =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":8,)"
    R"("state":"ready","coldLeftMs":1500,"callSeq":4,"born":17})";
  auto heartbeat = platform::ReadHeartbeat("i-1", good);
  BOOST_REQUIRE(heartbeat.ok());
  BOOST_TEST(heartbeat->mTarget.mStartedAt == 17);
  BOOST_TEST(heartbeat->mTarget.mColdFor.Millis() == 1500);
  for (
    const char* bad :
    { R"({"service":"s"})",
      R"({"service":1,"address":"10.0.0.1:80","zone":"a","slots":8,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":8,"state":"asleep"})",
      R"({"service":"s","address":"here","zone":"a","slots":8,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":8,"state":"ready","born":1.5})",
      "[]",
      "" }) {
    BOOST_TEST(!platform::ReadHeartbeat("i-1", bad).ok());
  }
}

BOOST_AUTO_TEST_CASE(job_items_keep_id_path_headers_and_body)
{
  ForwardRequest request;
  request.mId = RequestId("job");
  request.mBody =
    R"({"requests":[{"id":"i","path":"/p/1","headers":{"Model":"m"},)"
    R"("body":"q83vEg==","tokenCount":940}]})";
  auto job = platform::ReadJob(request);
  BOOST_REQUIRE(job.ok());
  BOOST_TEST(job->mItems[0].mId == "i");
  BOOST_TEST(job->mItems[0].mTokens == 940u);
  BOOST_TEST(platform::ReadItemBody(job->mLines) == "\xab\xcd\xef\x12");
  request.mBody = R"({"requests":[]})";
  BOOST_TEST(!platform::ReadJob(request).ok());
  request.mBody = "{";
  BOOST_TEST(!platform::ReadJob(request).ok());
}

// Items run under the workspace that submitted them. Without checks of header,
// path and body, an item could name another workspace, inject a request into
// the call to a target, or run with an empty body.
BOOST_AUTO_TEST_CASE(
  job_items_cannot_override_system_headers_or_inject_requests)
{
  ForwardRequest request;
  request.mId = RequestId("job");
  request.mBody =
    R"({"requests":[{"id":"i","path":"/p/1","headers":{"Model":"m",)"
    R"("tenant":"other","Authorization":"Bearer k","Host":"h",)"
    R"("Expect-Instance":"t","Last-Event-Id":"7","Content-Length":"1"},)"
    R"("body":"","tokenCount":9}]})";
  auto job = platform::ReadJob(request);
  BOOST_REQUIRE(job.ok());
  BOOST_TEST(job->mLines.find(R"("headers":{"Model":"m"})") !=
             std::string::npos);
  for (const char* item :
       { R"({"id":"i","path":"/p HTTP/1.1\r\nX: y","body":""})",
         R"({"id":"i","path":"/p q","body":""})",
         R"({"id":"i","path":"p","body":""})",
         R"({"id":"i","path":7,"body":""})",
         R"({"id":"i\n","path":"/p","body":""})",
         R"({"id":"i","path":"/p","headers":{"A":"b\r\nC: d"},"body":""})",
         R"({"id":"i","path":"/p","headers":{"A":1},"body":""})",
         R"({"id":"i","path":"/p","headers":["A"],"body":""})",
         R"({"id":"i","path":"/p","body":"*"})",
         R"({"id":"i","path":"/p","body":"","tokenCount":-1})" }) {
    request.mBody = std::string(R"({"requests":[)") + item + "]}";
    BOOST_TEST(!platform::ReadJob(request).ok(), item);
  }
}

// Without range checks, negative numbers wrap to large ones and large ones
// overflow times.
BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_refused_or_bounded)
{
  const auto plan = [](const std::string& aFrom, const std::string& aTo) {
    std::string text = kPlan;
    text.replace(text.find(aFrom), aFrom.size(), aTo);
    return platform::ReadPlan(text);
  };
  BOOST_TEST(!plan(R"("version":7)", R"("version":-7)").ok());
  BOOST_TEST(!plan(R"("weight":90)", R"("weight":-90)").ok());
  BOOST_TEST(!plan(R"("weight":90)", R"("weight":1e300)").ok());
  BOOST_TEST(!plan(R"("maxAttempts":2)", R"("maxAttempts":2.5)").ok());
  BOOST_TEST(!plan(R"("ratePerS":45)", R"("ratePerS":-45)").ok());
  BOOST_TEST(!plan(R"("timeoutMs":5000)", R"("timeoutMs":-5000)").ok());
  const auto longest = plan(R"("timeoutMs":5000)", R"("timeoutMs":1e300)");
  BOOST_REQUIRE(longest.ok());
  BOOST_TEST(longest->mRoutes[0].mTimeout.mMicros > 0);
  const std::string head =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready",)";
  BOOST_TEST(!platform::ReadHeartbeat("i", head + R"("slots":-1})").ok());
  BOOST_TEST(
    !platform::ReadHeartbeat("i", head + R"("slots":1,"coldLeftMs":-1})").ok());
  const auto cold = platform::ReadHeartbeat(
    "i", head + R"("slots":1,"coldLeftMs":9223372036854775807})");
  BOOST_REQUIRE(cold.ok());
  BOOST_TEST(cold->mTarget.mColdFor.mMicros > 0);
  HttpRequest http = Request("POST", "/p/x", "");
  http.mHeaders = { { "Deadline-Ms", "18446744073709551615" } };
  const EntryEvent event = Event(ListenerUse::eCallers, http);
  BOOST_TEST(std::get<ForwardRequest>(event).mDeadline->mMicros > 0);
}

BOOST_AUTO_TEST_CASE(results_list_completed_and_failed_items)
{
  FileBytesReply reply;
  reply.mTotal = 3;
  reply.mNextOffset = 2;
  reply.mBytes = R"({"custom_id":"a","output":"x\ny"})"
                 "\n"
                 R"({"custom_id":"b","error":{"code":"impossible"}})"
                 "\n";
  BOOST_TEST(
    platform::WriteResults(reply) ==
    R"({"next":2,"results":[{"id":"a","output":"x\ny","state":"completed"},)"
    R"({"id":"b","output":"","state":"dead_letter"}],"total":3})");
}

BOOST_AUTO_TEST_CASE(reply_kinds_map_to_http_statuses)
{
  const auto status = [](CallReplyBody aBody) {
    return platform::MakeEntryDialect()
      .mWriteReply({ HttpCallId(1), OrderTopic::eSubmitJob, std::move(aBody) })
      .mStatus;
  };
  BOOST_TEST(status(JobReply{}) == 202);
  BOOST_TEST(status(CallFailed{ ErrorKind::eRateLimited, "" }) == 429);
  BOOST_TEST(status(CallFailed{ ErrorKind::eUnavailable, "" }) == 503);
  BOOST_TEST(status(CallFailed{ ErrorKind::eOutcomeUnknown, "" }) == 502);
}

BOOST_AUTO_TEST_CASE(order_of_a_roll_out_is_read_or_refused)
{
  const EntryEvent event =
    Event(ListenerUse::eOperators,
          Request("POST",
                  "/v1/Rollouts.Begin",
                  R"({"service":"s","to":"v2","durationS":12})"));
  const auto& order = std::get<ControlOrder>(event);
  const auto& begin = std::get<BeginRollout>(order.mBody);
  BOOST_TEST(begin.mService.mValue == "s");
  BOOST_TEST(begin.mTo == "v2");
  BOOST_TEST(begin.mDuration.Millis() == 12000);
  for (const char* body :
       { "",
         "{",
         "[]",
         R"({"service":"s","durationS":12})",
         R"({"service":"s","to":7,"durationS":12})",
         R"({"service":"","to":"v2","durationS":12})",
         R"({"service":"s","to":"v2","durationS":0})",
         R"({"service":"s","to":"v2","durationS":-1})",
         R"({"service":"s","to":"v2","durationS":1e300})" }) {
    BOOST_TEST(Refused(ListenerUse::eOperators,
                       Request("POST", "/v1/Rollouts.Begin", body)) == 400);
  }
  BOOST_TEST(std::holds_alternative<ControlOrder>(
    Event(ListenerUse::eOperators, Request("GET", "/v1/Rollouts.Read/s"))));
}

BOOST_AUTO_TEST_CASE(load_of_three_or_four_figures_is_read)
{
  const auto read = [](const char* aLoad) {
    TargetCallBegan began;
    began.mStatus = 200;
    began.mHeaders = { { "Instance-Load", aLoad } };
    platform::MakeTargetDialect().mReadAnswer(began);
    return began;
  };
  BOOST_REQUIRE(read("3,1,8").mLoad);
  BOOST_TEST(!read("3,1,8").mLoad->mPace);
  const TargetCallBegan slow = read("3,1,8,250");
  BOOST_REQUIRE(slow.mLoad);
  BOOST_TEST(slow.mLoad->mWaiting == 1u);
  BOOST_TEST(*slow.mLoad->mPace == 2.5);
  for (const char* bad :
       { "3,1", "3,1,8,0", "3,1,8,-5", "3,1,8,x", "3,1,8,100,1", "x" }) {
    BOOST_TEST(!read(bad).mLoad);
    BOOST_TEST(read(bad).mLoadUnreadable);
  }
  BOOST_TEST(!read("").mLoadUnreadable);
}

// The last part belongs to the request alone. Tokens that can't be read, or too
// many of them, must not make a prompt look shared as a whole.
BOOST_AUTO_TEST_CASE(tokens_of_the_shared_parts_are_read)
{
  const auto tokens = [](const char* aParts) {
    HttpRequest request = Request("POST", "/p/x");
    request.mHeaders = { { "Prefix-Hash", aParts } };
    return std::get<ForwardRequest>(Event(ListenerUse::eCallers, request))
      .mSharedTokens;
  };
  BOOST_TEST(tokens("5c1e07a2:800,91bd3f06:410,e4402b7d:250") == 1210u);
  BOOST_TEST(tokens("5c1e07a2:800") == 0u);
  BOOST_TEST(tokens("") == 0u);
  BOOST_TEST(tokens("a:x,b:-4,c,d:30,e:1") == 30u);
  BOOST_TEST(tokens("a:4294967295,b:4294967295,c:1") == 1u << 24);
}
