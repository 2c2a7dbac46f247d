// Tests the HTTP API of the entry. Guards against serving callers without a
// valid key, contract or remaining rate, and against accepting malformed input.
#define BOOST_TEST_MODULE entry_http
#include <boost/test/unit_test.hpp>

#include "entry_rig.h"

using namespace caraway;

namespace {

struct OneNode : EntryRig
{
  OneNode()
  {
    AddNode("a1", 11);
    mSent.clear();
  }

  void ExpectRefusal(uint64_t aCall, int aStatus, const char* aCode)
  {
    BOOST_TEST(Status(aCall) == aStatus);
    BOOST_TEST(ErrorField(aCall, "code") == aCode);
    BOOST_TEST(ErrorField(aCall, "outcome") == "not_run");
    BOOST_TEST(!ErrorField(aCall, "remedy").empty());
    BOOST_TEST(Sent<Dispatch>().empty());
  }

  uint64_t BookWithAuthorization(const std::string& aAuthorization)
  {
    return HttpWith(
      "POST", "/stock/7", "{}", { { "Authorization", aAuthorization } });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http, OneNode)

BOOST_AUTO_TEST_CASE(wrong_keys_are_refused)
{
  std::string wrongSecret = TestKey('1');
  wrongSecret.back() = '2';
  const std::string digest =
    "ck_" + std::string(16, '1') + "_" + std::string(64, '0');
  for (const std::string& text : { std::string(),
                                   std::string("Bearer "),
                                   std::string("Basic abc"),
                                   "Bearer " + TestKey('2'),
                                   "Bearer " + wrongSecret,
                                   "Bearer " + digest,
                                   "Bearer " + TestKey('1') + "1",
                                   "Bearer " + TestKey('1').substr(0, 19) }) {
    ExpectRefusal(BookWithAuthorization(text), 401, "unauthenticated");
  }
  BookWithAuthorization("bearer " + TestKey('1'));
  BOOST_TEST(Sent<Dispatch>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(withdrawn_key_without_digest_admits_no_caller)
{
  // The entry may receive the withdrawal of a key that its copy of the
  // configuration never contained.
  Change(WithdrawKey{ KeyId(TestKey('3').substr(0, 19)) });
  ExpectRefusal(
    BookWithAuthorization("Bearer " + TestKey('3')), 401, "unauthenticated");
}

BOOST_AUTO_TEST_CASE(contract_limits_models_and_routes)
{
  ExpectRefusal(
    Http("POST", "/v1/completions", R"({"model":"other","prompt":"x"})"),
    403,
    "not_permitted");
  AddRoute("secret", "/stock/secret", true, false);
  ExpectRefusal(Http("GET", "/stock/secret/1"), 403, "not_permitted");
  Http("GET", "/stock/secrets"); // doesn't match the longer prefix
  BOOST_TEST(Sent<Dispatch>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(malformed_completions_are_refused)
{
  const std::string nested(200000, '[');
  for (const std::string& body :
       { std::string(),
         std::string("{"),
         std::string("[]"),
         nested,
         std::string(R"({"messages":[{"role":"user","content":"x"}]})"),
         std::string(R"({"model":7,"messages":[{"role":"user"}]})"),
         std::string(R"({"model":"m"})"),
         std::string(R"({"model":"m","messages":[]})"),
         std::string(R"({"model":"m","messages":["x"]})"),
         std::string(R"({"model":"m","messages":[{"content":"x"}]})"),
         std::string(R"({"model":"m","messages":[{"role":"u","content":1}]})"),
         std::string(
           R"({"model":"m","stream":"yes","messages":[{"role":"u"}]})"),
         std::string(
           R"({"model":"m","max_tokens":-1,"messages":[{"role":"u"}]})"),
         std::string(
           "{\"model\":\"\xff\",\"messages\":[{\"role\":\"u\"}]}") }) {
    ExpectRefusal(
      Http("POST", "/v1/chat/completions", body), 400, "invalid_argument");
  }
  ExpectRefusal(Http("POST", "/v1/completions", R"({"model":"m","prompt":{}})"),
                400,
                "invalid_argument");
  ExpectRefusal(
    Http("POST", "/stock/7", std::string(901 * 1024, 'x')), 413, "too_large");
}

BOOST_AUTO_TEST_CASE(malformed_paths_and_headers_are_refused)
{
  for (const char* path : { "/stock/../open/x",
                            "/stock/%2e%2e/open",
                            "/stock/a%2Fb",
                            "/stock/a\\b",
                            "/stock/a b" }) {
    ExpectRefusal(Http("GET", path), 400, "invalid_argument");
  }
  ExpectRefusal(Http("GET", "/nowhere"), 404, "not_found");
  ExpectRefusal(Http("PUT", "/v1/batches"), 405, "invalid_argument");
  for (const char* deadline : { "0", "-1", "soon", "3600001" }) {
    ExpectRefusal(Http("GET", "/read/1", "", { { "X-Deadline-Ms", deadline } }),
                  400,
                  "invalid_argument");
  }
  ExpectRefusal(
    Http("GET", "/read/1", "", { { "X", std::string(70000, 'x') } }),
    431,
    "too_large");
  AddRoute("anyone", "/anyone", false, true);
  ExpectRefusal(Http("POST", "/anyone", "", { { "Idempotency-Key", "k" } }),
                400,
                "invalid_argument");
}

BOOST_AUTO_TEST_CASE(malformed_files_and_batches_are_refused)
{
  const Headers form{ { "Content-Type", "multipart/form-data; boundary=B" } };
  const auto part = [](const std::string& aName, const std::string& aValue) {
    return "--B\r\nContent-Disposition: form-data; name=\"" + aName +
           "\"\r\n\r\n" + aValue + "\r\n";
  };
  for (const std::string& body :
       { std::string(),
         std::string("--B"),
         std::string("--B\r\n\r\n--B--"),
         part("purpose", "batch") + "--B--\r\n",
         part("file", "x") + "--B--\r\n",
         part("file", "x") + part("purpose", "other") + "--B--\r\n" }) {
    ExpectRefusal(
      Http("POST", "/v1/files", body, form), 400, "invalid_argument");
  }
  ExpectRefusal(Http("POST", "/v1/files", "x"), 400, "invalid_argument");
  ExpectRefusal(Http("GET", "/v1/files?limit=x"), 400, "invalid_argument");
  ExpectRefusal(Http("GET", "/v1/files/a%20b"), 404, "not_found");
  ExpectRefusal(Http("POST", "/v1/uploads/upload_1/cancel"), 404, "not_found");
  ExpectRefusal(
    Http("POST", "/v1/uploads", R"({"purpose":"batch","bytes":-1})"),
    400,
    "invalid_argument");
  const std::string start = R"({"input_file_id":"file-1","endpoint":)";
  for (const std::string& body :
       { std::string("{}"),
         start + R"("/v1/embeddings"})",
         start + R"("/v1/completions","completion_window":"1d"})",
         start + R"("/v1/completions","completion_window":"h"})",
         start + R"("/v1/completions","completion_window":"9999h"})",
         start + R"("/v1/completions","metadata":[]})" }) {
    ExpectRefusal(Http("POST", "/v1/batches", body), 400, "invalid_argument");
  }
  BOOST_TEST(Sent<ControlCall>().empty());
}

BOOST_AUTO_TEST_CASE(models_are_those_of_the_contract)
{
  const uint64_t list = Http("GET", "/v1/models");
  BOOST_TEST(Body(list)["data"][0]["id"] == "m");
  BOOST_TEST(Status(Http("GET", "/v1/models/m")) == 200);
  BOOST_TEST(Status(Http("GET", "/v1/models/other")) == 404);
}

BOOST_AUTO_TEST_CASE(rate_limited_reply_has_retry_after)
{
  mTokens = 0;
  const uint64_t call = Chat();
  Advance(Millis(200));
  ExpectRefusal(call, 429, "rate_limited");
  BOOST_TEST(HeaderOf(call, "Retry-After") == "3"); // 2.5 s, rounded up
}

BOOST_AUTO_TEST_CASE(request_waits_at_most_200_ms_for_a_grant_reply)
{
  mGrants = false;
  const uint64_t late = Chat();
  BOOST_TEST(Status(late) == 0);
  Advance(Millis(199));
  BOOST_TEST(Status(late) == 0);
  Advance(Millis(1));
  BOOST_TEST(Status(late) == 429);
}

BOOST_AUTO_TEST_CASE(grant_reply_releases_waiting_requests)
{
  mGrants = false;
  Chat();
  const auto grantRequests = Sent<GrantRequest>();
  BOOST_REQUIRE(grantRequests.size() == 1u);
  BOOST_TEST(Sent<Dispatch>().empty());
  mGrants = true;
  Receive(kControl, Grant(grantRequests[0]));
  Advance(Millis(50));
  BOOST_TEST(Sent<Dispatch>().size() == 1u);
}

BOOST_AUTO_TEST_CASE(too_many_requests_are_refused)
{
  mEntry.mSettings.mMaxActiveRequests = 1;
  Chat();
  OneDispatch();
  ExpectRefusal(Chat(), 503, "overloaded");
}

BOOST_AUTO_TEST_CASE(caller_disconnect_cancels_idempotent_calls_only)
{
  const uint64_t chat = Chat();
  const Dispatch chatDispatch = OneDispatch();
  Step(HttpClosed{ HttpCallId(chat) });
  const auto cancels = Sent<CancelRequest>();
  BOOST_REQUIRE(cancels.size() == 1u);
  BOOST_TEST(cancels[0].mRequest.mValue == chatDispatch.mRequest.mValue);
  const uint64_t booking = Http("POST", "/stock/7", "{}");
  const Dispatch dispatch = OneDispatch();
  Step(HttpClosed{ HttpCallId(booking) });
  BOOST_TEST(Sent<CancelRequest>().empty());
  Answer(dispatch, 0, "x", true);
  BOOST_TEST(mResponses.empty());
  BOOST_TEST(mEntry.mRequests.empty());
}

BOOST_AUTO_TEST_CASE(metrics_hold_no_keys)
{
  Chat();
  const uint64_t call = HttpWith("GET", "/metrics", "", {});
  const std::string& text = mResponses[call].mBody;
  BOOST_TEST(text.find("caraway_entry_dispatches_total 1") !=
             std::string::npos);
  BOOST_TEST(text.find("ck_") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
