// Guards against bytes on real connections that look whole and are not, and
// against requests that the process behind a balancer takes for two.
#define BOOST_TEST_MODULE runtime_framing
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "raw_peer.h"

using namespace caraway;

namespace {

std::string
Response(const std::string& aFields, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\n" + aFields + "\r\n" + aBody;
}

// Answers every request with its path.
struct Service
{
  Loop mLoop;
  HttpServer mServer;
  std::vector<HttpRequest> mRequests;

  Service()
    : mServer(mLoop, Settings())
  {
    BOOST_REQUIRE(mServer.Listen().ok());
    mServer.mOnRequest.connect([this](const HttpRequest& aRequest) {
      mRequests.push_back(aRequest);
      mServer.Respond({ aRequest.mCall, 200, {}, aRequest.mPath });
    });
  }

  static HttpServerSettings Settings()
  {
    HttpServerSettings settings;
    settings.mListen = "127.0.0.1:0";
    return settings;
  }

  std::string Exchange(const std::string& aBytes)
  {
    mRequests.clear();
    const RawSocket caller(mServer.Address());
    caller.Write(aBytes);
    return caller.ReadToEnd(mLoop);
  }
};

} // namespace

// A target that stops anywhere, in its head above all, and closes.
BOOST_FIXTURE_TEST_CASE(plain_answer_cut_at_any_byte_is_not_whole, RawCalls)
{
  for (const std::string& whole :
       { Response("Content-Length: 5\r\n", "abcde"),
         Response("Transfer-Encoding: chunked\r\n",
                  "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n") }) {
    for (size_t size = 0; size < whole.size(); ++size) {
      Call(whole.substr(0, size));
      BOOST_TEST(mFailed, "cut at " << size);
      BOOST_TEST(!mEnded, "cut at " << size);
      BOOST_TEST((mOutcome == Outcome::eUnknown));
    }
    Call(whole);
    BOOST_TEST(mEnded);
    BOOST_TEST(mBytes == "abcde");
  }
}

// An answer that ends with its connection says so; its head has to be whole.
BOOST_FIXTURE_TEST_CASE(answer_without_length_is_whole_after_its_head_only,
                        RawCalls)
{
  const std::string whole = Response("A: b\r\n", "abcde");
  for (size_t size = 0; size < whole.size(); ++size) {
    Call(whole.substr(0, size));
    BOOST_TEST(mEnded == (size >= whole.size() - 5), "cut at " << size);
    BOOST_TEST(mEndedByClose == mEnded);
  }
}

// evhttp took such an answer for an empty one, and the caller got a whole 200.
BOOST_FIXTURE_TEST_CASE(answer_without_length_on_a_kept_connection_has_a_body,
                        RawCalls)
{
  for (const char* fields : { "Connection: keep-alive\r\n",
                              "Connection: close, a\r\n",
                              "Connection:\tclose\r\n" }) {
    Call(Response(fields, "abcde"));
    BOOST_TEST(mEnded, fields);
    BOOST_TEST(mEndedByClose, fields);
    BOOST_TEST(mBytes == "abcde", fields);
  }
}

// Fields that concern the connection to the target only are not passed on.
BOOST_FIXTURE_TEST_CASE(fields_named_by_connection_are_dropped, RawCalls)
{
  Headers headers;
  mClient.mOnBegan.connect(
    [&](const TargetCallBegan& aBegan) { headers = aBegan.mHeaders; });
  Call(Response("Connection: A, close\r\nA: 1\r\nB: 2\r\nContent-Length: 0\r\n",
                ""));
  BOOST_TEST(mEnded);
  BOOST_REQUIRE(headers.size() == 1u);
  BOOST_TEST(headers[0].first == "B");
}

// The first length was taken, and the answer reached its caller as whole.
BOOST_FIXTURE_TEST_CASE(answer_with_two_readings_is_broken, RawCalls)
{
  const std::string nul("\0", 1);
  for (const std::string& answer :
       { Response("Content-Length: 2\r\nContent-Length: 5\r\n", "abcde"),
         Response("Content-Length: 5\r\nContent-Length: 2\r\n", "abcde"),
         Response("Content-Length: +5\r\n", "abcde"),
         Response("Content-Length: 2" + nul + "\r\n", "ab"),
         Response("Content-Length : 2\r\n", "ab"),
         Response("Content-Length: 2\r\n 3\r\n", "ab"),
         Response("Transfer-Encoding: gzip\r\n", "abcde"),
         Response("Transfer-Encoding:\tchunked\r\n", "2\r\nab\r\n0\r\n\r\n"),
         Response("Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
                  "2\r\nab\r\n0\r\n\r\n"),
         Response("Transfer-Encoding: chunked\r\n", "+2\r\nab\r\n0\r\n\r\n"),
         std::string("HTTP/1.1 103 Early Hints\r\n\r\n"),
         std::string("HTTP/1.1 101 Switching Protocols\r\n\r\nab"),
         std::string("HTTP/1.1 2001 OK\r\nContent-Length: 0\r\n\r\n") }) {
    Call(answer);
    BOOST_TEST(mFailed, answer);
    BOOST_TEST(!mEnded, answer);
    BOOST_TEST((mOutcome == Outcome::eUnknown));
  }
}

// evhttp waited for ever after one, or took it for the answer.
BOOST_FIXTURE_TEST_CASE(interim_responses_are_skipped, RawCalls)
{
  for (const std::string interim :
       { "HTTP/1.1 100 Continue\r\n\r\n",
         "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" }) {
    Call(interim + interim + Response("Content-Length: 2\r\n", "ab"));
    BOOST_TEST(mEnded, interim);
    BOOST_TEST(mStatus == 200);
    BOOST_TEST(mBytes == "ab");
  }
}

// One caller's bytes became another caller's request.
BOOST_FIXTURE_TEST_CASE(ambiguous_request_ends_its_connection, Service)
{
  const std::string nul("\0", 1);
  const std::string post = "POST /first HTTP/1.1\r\nHost: h\r\n";
  const std::string second = "GET /second HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const std::string& fields :
       { std::string("Content-Length: 2\r\nContent-Length: 0\r\n"),
         std::string("Content-Length: 0\r\nContent-Length: 2\r\n"),
         std::string("Content-Length: +0\r\n"),
         std::string("Content-Length : 0\r\n"),
         "Content-Length: 0" + nul + "1\r\n",
         std::string("A: b\r\n Content-Length: 0\r\n"),
         std::string("Transfer-Encoding: chunked\r\nContent-Length: 0\r\n"),
         std::string("Host: other\r\n") }) {
    const std::string answer =
      Exchange(absl::StrCat(post, fields, "\r\n", second));
    BOOST_TEST(answer.starts_with("HTTP/1.1 400 "), fields << answer);
    BOOST_TEST(answer.find("\"not_run\"") != std::string::npos);
    BOOST_TEST(answer.find("/second") == std::string::npos);
    BOOST_TEST(mRequests.empty(), fields);
  }
  for (const std::string coding : { "xchunked", "gzip, chunked" }) {
    const std::string answer = Exchange(absl::StrCat(
      post, "Transfer-Encoding: ", coding, "\r\n\r\n0\r\n\r\n", second));
    BOOST_TEST(answer.starts_with("HTTP/1.1 501 "), answer);
    BOOST_TEST(mRequests.empty());
  }
  const std::string noHost = Exchange("GET / HTTP/1.1\r\n\r\n");
  BOOST_TEST(noHost.starts_with("HTTP/1.1 400 "), noHost);
  const std::string body = Exchange(
    "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\n" + second);
  BOOST_TEST(body.starts_with("HTTP/1.1 400 "), body);
  BOOST_TEST(mRequests.empty());
}

// The response to the request before it still comes, and nothing after it.
BOOST_FIXTURE_TEST_CASE(requests_before_an_ambiguous_one_are_answered, Service)
{
  const std::string answer = Exchange(
    "POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
    "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 2\r\n\r\nab"
    "GET /third HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(answer.find("/first") != std::string::npos);
  BOOST_TEST(answer.find("/second") == std::string::npos);
  BOOST_TEST(answer.find("/third") == std::string::npos);
  BOOST_REQUIRE(mRequests.size() == 1u);
  BOOST_TEST(mRequests[0].mPath == "/first");
  BOOST_TEST(mRequests[0].mBody == "ab");
}

BOOST_FIXTURE_TEST_CASE(requests_on_a_kept_connection_are_answered, Service)
{
  const std::string answer =
    Exchange("POST /one HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
             "POST /two HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
             "\r\n2\r\nab\r\n0\r\n\r\n"
             "GET /three HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  BOOST_TEST(mRequests.size() == 3u);
  for (const char* path : { "/one", "/two", "/three" }) {
    BOOST_TEST(answer.find(path) != std::string::npos);
  }
}
