// Guards against a process without free descriptors: connections of callers
// took all of them, so that readiness checks, operators and peers got none.
#define BOOST_TEST_MODULE runtime_descriptor_limit
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <iterator>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include "caraway/runtime/http_server.h"
#include "caraway/runtime/socket_address.h"

using namespace caraway;

namespace {

constexpr int kCallers = 100;
constexpr int kAccepted = 20; // connections that the limit allows

int
Descriptors()
{
  return static_cast<int>(
    std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {}));
}

int
Connect(const std::string& aAddress)
{
  auto address = ParseSocketAddress(aAddress);
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  BOOST_REQUIRE(connect(handle,
                        reinterpret_cast<sockaddr*>(&address->mStorage),
                        address->mLength) == 0);
  return handle;
}

void
RunFor(Loop& aLoop, Duration aLength)
{
  Timer timer(aLoop, [&] { aLoop.Exit(); });
  timer.ArmAt(aLoop.Now() + aLength);
  aLoop.Run();
}

} // namespace

// Guards against callers that leave no descriptor to the rest of the process,
// and against a listener that never accepts again after that.
BOOST_AUTO_TEST_CASE(callers_leave_descriptors_to_others)
{
  Loop loop;
  HttpServerSettings settings;
  settings.mListen = "127.0.0.1:0";
  settings.mMaxDescriptors = Descriptors() + kCallers + kAccepted;
  HttpServer server(loop, settings);
  BOOST_REQUIRE(server.Listen().ok());
  std::vector<int> callers;
  callers.reserve(kCallers);
  for (int at = 0; at < kCallers; ++at) {
    callers.push_back(Connect(server.Address()));
  }
  RunFor(loop, Millis(300));
  BOOST_TEST(Descriptors() <= settings.mMaxDescriptors + 2);
  for (const int handle : callers) {
    close(handle);
  }
  RunFor(loop, Millis(300));
  size_t requests = 0;
  server.mOnRequest.connect([&](const HttpRequest&) { ++requests; });
  const int late = Connect(server.Address());
  constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  BOOST_TEST(write(late, kRequest.data(), kRequest.size()) ==
             static_cast<ssize_t>(kRequest.size()));
  RunFor(loop, Millis(300));
  BOOST_TEST(requests == 1);
  close(late);
}
