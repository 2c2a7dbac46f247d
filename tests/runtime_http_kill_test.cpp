// Guards against a response that ends with its connection and looks complete
// although the serving process was killed in its middle: the kernel closes the
// sockets of a killed process in an orderly way unless told otherwise.
#define BOOST_TEST_MODULE runtime_http_kill
#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <csignal>

#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "caraway/runtime/runtime.h"

using namespace caraway;

namespace {

// More than the socket buffers of both sides hold.
constexpr size_t kLargeBody = 64 << 20;

void
Answer(HttpServer& aServer, const HttpRequest& aRequest)
{
  const HttpCallId call = aRequest.mCall;
  if (aRequest.mPath == "/large") {
    aServer.Respond({ call, 200, {}, std::string(kLargeBody, 'x'), true });
    return;
  }
  if (aRequest.mPath == "/small") {
    aServer.Respond({ call, 200, {}, "whole", true });
    return;
  }
  const bool endsByClose = aRequest.mPath != "/chunks";
  aServer.Begin({ call, 200, {}, endsByClose });
  aServer.Chunk({ call, "data: 1\n\n" });
  if (aRequest.mPath == "/ended") {
    aServer.End({ call });
  }
}

// A process that serves until it is killed.
struct ServerProcess
{
  pid_t mPid = -1;
  std::string mAddress;

  ServerProcess()
  {
    int ends[2];
    BOOST_REQUIRE(pipe(ends) == 0);
    mPid = fork();
    BOOST_REQUIRE(mPid >= 0);
    if (mPid == 0) {
      close(ends[0]);
      Serve(ends[1]);
    }
    close(ends[1]);
    char buffer[64];
    const ssize_t count = read(ends[0], buffer, sizeof(buffer));
    close(ends[0]);
    BOOST_REQUIRE(count > 0);
    mAddress.assign(buffer, static_cast<size_t>(count));
  }
  ServerProcess(const ServerProcess&) = delete;
  ServerProcess& operator=(const ServerProcess&) = delete;
  ~ServerProcess() { Kill(); }

  void Kill()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
      mPid = -1;
    }
  }

  [[noreturn]] static void Serve(int aReadyHandle)
  {
    Loop loop;
    HttpServerSettings settings;
    settings.mListen = "127.0.0.1:0";
    HttpServer server(loop, settings);
    if (!server.Listen().ok()) {
      _exit(1);
    }
    server.mOnRequest.connect(
      [&](const HttpRequest& aRequest) { Answer(server, aRequest); });
    const std::string address = server.Address();
    (void)!write(aReadyHandle, address.data(), address.size());
    loop.Run();
    _exit(0);
  }
};

struct Received
{
  std::string mBytes;
  int mError = 0; // 0: an orderly end
};

struct CallerSocket
{
  int mHandle = -1;

  CallerSocket(const std::string& aAddress, const std::string& aRequest)
  {
    const auto address = ParseSocketAddress(aAddress);
    mHandle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{ 20, 0 };
    setsockopt(mHandle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    BOOST_REQUIRE(connect(mHandle,
                          reinterpret_cast<const sockaddr*>(&address->mStorage),
                          address->mLength) == 0);
    BOOST_REQUIRE(write(mHandle, aRequest.data(), aRequest.size()) ==
                  static_cast<ssize_t>(aRequest.size()));
  }
  CallerSocket(const CallerSocket&) = delete;
  CallerSocket& operator=(const CallerSocket&) = delete;
  ~CallerSocket() { close(mHandle); }

  // Reads until aText has arrived, or to the end if it is empty.
  Received Read(const std::string& aText)
  {
    Received received;
    char buffer[65536];
    while (aText.empty() || received.mBytes.find(aText) == std::string::npos) {
      const ssize_t count = read(mHandle, buffer, sizeof(buffer));
      if (count <= 0) {
        received.mError = count == 0 ? 0 : errno;
        break;
      }
      received.mBytes.append(buffer, static_cast<size_t>(count));
    }
    return received;
  }
};

std::string
RequestText(const std::string& aPath, const std::string& aVersion)
{
  return "GET " + aPath + " HTTP/" + aVersion +
         "\r\nHost: x\r\nConnection: keep-alive\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_CASE(killed_process_resets_a_stream_that_ends_by_close)
{
  for (const char* version : { "1.1", "1.0" }) {
    ServerProcess server;
    CallerSocket caller(server.mAddress, RequestText("/stream", version));
    BOOST_TEST(caller.Read("data: 1\n\n").mBytes.ends_with("data: 1\n\n"));
    server.Kill();
    BOOST_TEST(caller.Read("").mError == ECONNRESET);
  }
}

// HTTP/1.0 has no chunks, so a stream of known framing ends by close as well.
BOOST_AUTO_TEST_CASE(killed_process_resets_a_stream_to_an_old_caller)
{
  ServerProcess server;
  CallerSocket caller(server.mAddress, RequestText("/chunks", "1.0"));
  const std::string begin = caller.Read("data: 1\n\n").mBytes;
  BOOST_TEST(begin.find("Transfer-Encoding") == std::string::npos);
  BOOST_TEST(begin.find("Connection: close") != std::string::npos);
  server.Kill();
  BOOST_TEST(caller.Read("").mError == ECONNRESET);
}

BOOST_AUTO_TEST_CASE(killed_process_resets_a_plain_response_that_ends_by_close)
{
  ServerProcess server;
  CallerSocket caller(server.mAddress, RequestText("/large", "1.1"));
  caller.Read("\r\n\r\n");
  server.Kill();
  const Received rest = caller.Read("");
  BOOST_TEST(rest.mError == ECONNRESET);
  BOOST_TEST(rest.mBytes.size() < kLargeBody);
}

// Without the last chunk, the end of the connection is no end of the response.
BOOST_AUTO_TEST_CASE(killed_process_leaves_a_chunked_stream_without_its_end)
{
  ServerProcess server;
  CallerSocket caller(server.mAddress, RequestText("/chunks", "1.1"));
  const std::string begin = caller.Read("data: 1\n\n").mBytes;
  BOOST_TEST(begin.find("Transfer-Encoding: chunked") != std::string::npos);
  server.Kill();
  BOOST_TEST(caller.Read("").mBytes.find("0\r\n\r\n") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(whole_responses_that_end_by_close_end_in_order)
{
  ServerProcess server;
  for (const char* version : { "1.1", "1.0" }) {
    CallerSocket ended(server.mAddress, RequestText("/ended", version));
    const Received stream = ended.Read("");
    BOOST_TEST(stream.mError == 0);
    BOOST_TEST(stream.mBytes.ends_with("\r\n\r\ndata: 1\n\n"));
    CallerSocket small(server.mAddress, RequestText("/small", version));
    const Received plain = small.Read("");
    BOOST_TEST(plain.mError == 0);
    BOOST_TEST(plain.mBytes.ends_with("\r\n\r\nwhole"));
  }
  CallerSocket large(server.mAddress, RequestText("/large", "1.1"));
  const Received body = large.Read("");
  BOOST_TEST(body.mError == 0);
  BOOST_TEST(body.mBytes.size() > kLargeBody);
}
