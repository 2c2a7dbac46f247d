// Guards against an end by the platform's memory limit: the HTTP server held
// the bodies of all requests that arrive or are not answered yet, without a
// limit.
#define BOOST_TEST_MODULE runtime_input_limit
#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "caraway/runtime/http_server.h"
#include "caraway/runtime/socket_address.h"

using namespace caraway;

namespace {

constexpr size_t kMaxInput = 800 << 10;
constexpr size_t kMaxLarge = 400 << 10;
constexpr size_t kLargeBody = 150 << 10; // two fit

HttpServerSettings
Limited()
{
  HttpServerSettings settings;
  settings.mListen = "127.0.0.1:0";
  settings.mMaxInputBytes = kMaxInput;
  settings.mMaxLargeInputBytes = kMaxLarge;
  settings.mMaxBodyBytes = 300 << 10;
  return settings;
}

// A caller that sends what it is told and collects what it gets.
class Caller
{
public:
  explicit Caller(const std::string& aAddress)
    : mHandle(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    auto address = ParseSocketAddress(aAddress);
    BOOST_REQUIRE(address.ok());
    BOOST_REQUIRE(connect(mHandle,
                          reinterpret_cast<sockaddr*>(&address->mStorage),
                          address->mLength) == 0);
    evutil_make_socket_nonblocking(mHandle);
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  ~Caller() { close(mHandle); }

  void Send(const std::string& aBytes) { mUnsent += aBytes; }

  void Work()
  {
    const ssize_t sent =
      send(mHandle, mUnsent.data(), mUnsent.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      mUnsent.erase(0, static_cast<size_t>(sent));
    }
    char buffer[4096];
    ssize_t count = 0;
    while ((count = recv(mHandle, buffer, sizeof(buffer), 0)) > 0) {
      mGot.append(buffer, static_cast<size_t>(count));
    }
    mReset = mReset || (count < 0 && errno == ECONNRESET);
  }

  int mHandle;
  std::string mUnsent;
  std::string mGot;
  bool mReset = false;
};

std::string
Head(size_t aBody)
{
  return absl::StrCat(
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ", aBody, "\r\n\r\n");
}

std::string
Whole(size_t aBody)
{
  return Head(aBody) + std::string(aBody, 'x');
}

struct Fixture
{
  Fixture()
    : mServer(mLoop, Limited())
    , mTimer(mLoop, [this] { Tick(); })
  {
    BOOST_REQUIRE(mServer.Listen().ok());
    mServer.mOnRequest.connect(
      [this](const HttpRequest& aRequest) { mOpen.push_back(aRequest.mCall); });
  }

  Caller& NewCaller()
  {
    mCallers.push_back(std::make_unique<Caller>(mServer.Address()));
    return *mCallers.back();
  }

  // Long enough for every byte that can be sent on this machine.
  void Exchange(Duration aFor = Millis(300))
  {
    mUntil = mLoop.Now() + aFor;
    Tick();
    mLoop.Run();
  }

  void Tick()
  {
    for (const auto& caller : mCallers) {
      caller->Work();
    }
    if (mLoop.Now() >= mUntil) {
      mLoop.Exit();
    } else {
      mTimer.ArmAt(mLoop.Now() + Millis(2));
    }
  }

  size_t Refused() const
  {
    size_t count = 0;
    for (const auto& caller : mCallers) {
      count += caller->mGot.starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    return count;
  }

  Loop mLoop;
  HttpServer mServer;
  Timer mTimer;
  MonoTime mUntil;
  std::vector<std::unique_ptr<Caller>> mCallers;
  std::vector<HttpCallId> mOpen; // requests received, not answered
};

} // namespace

// Guards against large bodies that are sent slowly and fill the memory.
BOOST_FIXTURE_TEST_CASE(bodies_that_arrive_slowly_have_a_limit, Fixture)
{
  constexpr size_t kCallers = 10;
  for (size_t at = 0; at < kCallers; ++at) {
    NewCaller().Send(Head(kLargeBody) + std::string(kLargeBody - 1, 'x'));
  }
  Exchange();
  BOOST_TEST(Refused() == kCallers - 2);
  BOOST_TEST(mServer.InputBytes() <= kMaxLarge);
  for (const auto& caller : mCallers) {
    caller->Send("x");
  }
  Exchange();
  BOOST_TEST(mOpen.size() == 2); // the refused ones never run
}

// Guards against requests without an answer yet, which hold their bodies.
BOOST_FIXTURE_TEST_CASE(requests_in_progress_have_a_limit, Fixture)
{
  constexpr size_t kCallers = 10;
  for (size_t at = 0; at < kCallers; ++at) {
    NewCaller().Send(Whole(kLargeBody));
    Exchange(Millis(30));
  }
  Exchange();
  BOOST_TEST(mOpen.size() == 2);
  BOOST_TEST(Refused() == kCallers - 2);
  for (const HttpCallId call : mOpen) {
    mServer.Respond({ call, 200, {}, "ok" });
  }
  BOOST_TEST(mServer.InputBytes() == 0);
  NewCaller().Send(Whole(kLargeBody));
  Exchange();
  BOOST_TEST(mOpen.size() == 3);
}

// Guards against small requests that wait for memory behind large ones.
BOOST_FIXTURE_TEST_CASE(small_requests_pass_beside_large_ones, Fixture)
{
  for (size_t at = 0; at < 10; ++at) {
    NewCaller().Send(Whole(kLargeBody));
  }
  Exchange();
  const size_t large = mOpen.size();
  for (size_t at = 0; at < 5; ++at) {
    NewCaller().Send(Whole(2000));
  }
  Exchange();
  BOOST_TEST(large == 2);
  BOOST_TEST(mOpen.size() == large + 5);
}

// Guards against many small requests, half-sent heads and bodies in chunks,
// whose length nothing states, as ways around the limit.
BOOST_FIXTURE_TEST_CASE(every_kind_of_request_counts, Fixture)
{
  constexpr size_t kBody = 40 << 10;
  for (size_t at = 0; at < 30; ++at) {
    NewCaller().Send(Whole(kBody));
  }
  for (size_t at = 0; at < 30; ++at) {
    NewCaller().Send("GET / HTTP/1.1\r\nX: " + std::string(15000, 'x'));
  }
  for (size_t at = 0; at < 10; ++at) {
    NewCaller().Send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n20000\r\n" +
                     std::string(0x1ffff, 'x'));
  }
  Exchange();
  BOOST_TEST(mServer.InputBytes() <= kMaxInput);
  BOOST_TEST(mOpen.size() <= kMaxInput / kBody);
  BOOST_TEST(Refused() > 30U);
  mCallers.clear();
  Exchange();
  BOOST_TEST(mServer.InputBytes() == 0);
}

// Guards against a refusal that its caller can't read, since the connection is
// reset while the body is on its way, and against one that promises nothing.
BOOST_FIXTURE_TEST_CASE(a_refused_caller_gets_the_whole_answer, Fixture)
{
  NewCaller().Send(Whole(kLargeBody));
  NewCaller().Send(Whole(kLargeBody));
  Exchange();
  Caller& refused = NewCaller();
  refused.Send(Whole(kLargeBody));
  Exchange();
  BOOST_TEST(!refused.mReset);
  BOOST_TEST(refused.mUnsent.empty());
  BOOST_TEST(refused.mGot.find("\r\nRetry-After: ") != std::string::npos);
  BOOST_TEST(refused.mGot.find("not_run") != std::string::npos);
  BOOST_TEST(refused.mGot.ends_with("}}"));
  BOOST_TEST(mOpen.size() == 2);
}

// Guards against a 503, which asks to come back, for what never fits.
BOOST_FIXTURE_TEST_CASE(a_body_over_its_own_limit_is_too_large, Fixture)
{
  Caller& caller = NewCaller();
  caller.Send(Head(900 << 10));
  Exchange();
  BOOST_TEST(caller.mGot.starts_with("HTTP/1.1 413"));
}
