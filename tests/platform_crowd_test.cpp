// Guards against an end by the memory limit of an entry whose callers nobody
// controls: crowds that send many requests ahead and read no answer, and very
// many connections of which a part leaves early. Starts the system's own
// process on loopback with low limits.
#define BOOST_TEST_MODULE platform_crowd
#include <boost/test/unit_test.hpp>

#include "tests/crowd.h"

using namespace caraway;

namespace {

// The entry's own limits.
constexpr size_t kMemoryMb = 64;
constexpr size_t kDescriptors = 4100;
// The crowd.
constexpr size_t kConnections = 900;      // fewer than callers may open
constexpr size_t kManyConnections = 1500; // more
constexpr size_t kAheadBytes = 192 << 10; // sent ahead on each connection
// What the entry may take beyond what it has taken before the crowd came: a
// quarter of its memory for what it receives, an eighth for what is unread, and
// another eighth for the connections themselves.
#ifdef __SANITIZE_ADDRESS__
constexpr size_t kMemoryFactor = 2; // red zones and shadow of each block
#else
constexpr size_t kMemoryFactor = 1;
#endif
constexpr size_t kMaxGrowthKb = kMemoryFactor * kMemoryMb * 1024 / 2;

struct CrowdedEntry : CrowdedProcess
{
  uint16_t mCallers = 0;
  uint16_t mReady = 0;

  CrowdedEntry()
  {
    Start({ CARAWAY_PLATFORM_PROGRAM,
            "entry",
            "--instance=entry-1",
            "--zone=a",
            "--region=r",
            "--peer=127.0.0.1:0",
            "--seeds=127.0.0.1:1",
            "--seed-port=1",
            "--first-start=true",
            "--memory-mb=" + std::to_string(kMemoryMb),
            "--max-fds=" + std::to_string(kDescriptors),
            "--callers=127.0.0.1:0",
            "--ready=127.0.0.1:0",
            "--operators=127.0.0.1:0" });
    mCallers = Port(0);
    mReady = Port(1);
    // The first request and its buffers belong to the calm process.
    BOOST_REQUIRE(!Ask(mCallers).empty());
    mBeforeKb = StatusKb(mChild.mPid, "VmRSS");
  }

  // The response to one ordinary request; empty if there is none.
  static std::string Ask(uint16_t aPort)
  {
    return CrowdedProcess::Ask(aPort, Request("ordinary"));
  }

  static std::string Request(const std::string& aId)
  {
    return "POST /any/" + aId +
           " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + aId +
           "\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer key-" + aId +
           "\r\nIdempotency-Key: " + aId + "\r\nContent-Length: 4\r\n\r\nbody";
  }

  static std::string BareRequest() { return "GET / HTTP/1.1\r\n\r\n"; }

  // The process lives, within its bounds, and answers an ordinary request.
  void CheckHolds(const char* aWhen)
  {
    DrainOutput();
    CheckLives(aWhen);
    const size_t peak = StatusKb(mChild.mPid, "VmHWM");
    BOOST_TEST_MESSAGE(aWhen << ": peak " << peak << " kB, before " << mBeforeKb
                             << " kB, descriptors "
                             << OpenDescriptors(mChild.mPid));
    BOOST_TEST(peak <= mBeforeKb + kMaxGrowthKb);
    BOOST_TEST(OpenDescriptors(mChild.mPid) < kDescriptors);
  }

  void CheckAnswers()
  {
    BOOST_TEST(Ask(mReady).starts_with("HTTP/1.1 "));
    BOOST_TEST(Ask(mCallers).starts_with("HTTP/1.1 "));
  }

  // Sends aAhead on each of many connections, without reading.
  void Crowd(size_t aConnections,
             const std::function<std::string(size_t)>& aAhead)
  {
    std::vector<std::unique_ptr<Sender>> crowd;
    for (size_t at = 0; at < aConnections; ++at) {
      crowd.push_back(std::make_unique<Sender>(mCallers));
      crowd.back()->mAhead = aAhead(at);
    }
    SendAll(crowd);
    CheckHolds("beside the crowd");
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(requests_ahead_with_new_keys_whose_answers_are_unread,
                        CrowdedEntry)
{
  Crowd(kConnections, [](size_t aAt) {
    std::string ahead;
    for (size_t request = 0; ahead.size() < kAheadBytes; ++request) {
      ahead += CrowdedEntry::Request(std::to_string(aAt) + "-" +
                                     std::to_string(request));
    }
    return ahead;
  });
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(requests_ahead_without_the_usual_headers, CrowdedEntry)
{
  Crowd(kConnections, [](size_t) {
    std::string ahead;
    while (ahead.size() < kAheadBytes) {
      ahead += CrowdedEntry::BareRequest();
    }
    return ahead;
  });
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(very_many_connections_of_which_a_part_leaves_early,
                        CrowdedEntry)
{
  for (int round = 0; round < 3; ++round) {
    std::vector<std::unique_ptr<Sender>> crowd;
    for (size_t at = 0; at < kManyConnections; ++at) {
      crowd.push_back(std::make_unique<Sender>(mCallers));
      crowd.back()->mAhead = Request(std::to_string(at));
      crowd.back()->Send();
      if (at % 3 == 0) {
        crowd[at / 2].reset(new Sender(mCallers)); // leaves, another comes
      }
    }
    SendAll(crowd);
    CheckHolds("beside the crowd");
  }
  CheckAnswers();
}
