// Guards against an end by the memory limit of the platform, which counts the
// bytes that have arrived at a process unread beside its own memory, and
// against places that a crowd holds without using them. Starts the system's own
// processes on loopback with low limits.
#define BOOST_TEST_MODULE platform_crowd_memory
#include <boost/test/unit_test.hpp>

#include "tests/crowd.h"
#include "tests/json_shapes.h"

using namespace caraway;

namespace {

// The processes' own limits.
constexpr size_t kMemoryMb = 64;
constexpr size_t kDescriptors = 4100;
// The crowd.
constexpr size_t kConnections = 900;      // fewer than callers may open
constexpr size_t kManyConnections = 3000; // more
constexpr size_t kAheadBytes = 192 << 10; // sent ahead on each connection
constexpr size_t kUploadBytes = 1 << 20;  // sent of a body that never ends
constexpr size_t kShapeBytes = 4 << 20;   // of JSON; the largest body allowed
#ifdef __SANITIZE_ADDRESS__
constexpr size_t kMemoryFactor = 2; // red zones and shadow of each block
#else
constexpr size_t kMemoryFactor = 1;
#endif

std::string
Request(const std::string& aId)
{
  return "POST /any/" + aId +
         " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + aId +
         "\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer key-" + aId +
         "\r\nIdempotency-Key: " + aId + "\r\nContent-Length: 4\r\n\r\nbody";
}

std::string
Upload()
{
  return "POST /any/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: " +
         std::to_string(2 * kUploadBytes) + "\r\n\r\n" +
         std::string(kUploadBytes, 'u');
}

// A process, the memory that the platform counts for it, and its bounds.
struct Bounded : CrowdedProcess
{
  std::vector<uint16_t> mPorts; // of its HTTP listeners
  size_t mMostKb = 0;           // seen while a crowd was there

  void StartRole(const std::string& aRole,
                 const std::vector<std::string>& aMore,
                 size_t aListeners)
  {
    std::vector<std::string> words{ CARAWAY_PLATFORM_PROGRAM,
                                    aRole,
                                    "--instance=one",
                                    "--zone=a",
                                    "--region=r",
                                    "--peer=127.0.0.1:0",
                                    "--seeds=127.0.0.1:1",
                                    "--seed-port=1",
                                    "--first-start=true",
                                    "--memory-mb=" +
                                      std::to_string(kMemoryMb) };
    words.insert(words.end(), aMore.begin(), aMore.end());
    Start(std::move(words));
    for (size_t at = 0; at < aListeners; ++at) {
      mPorts.push_back(Port(at));
      BOOST_REQUIRE(!Ask(mPorts.back(), Request("first")).empty());
    }
    mBeforeKb = StatusKb(mChild.mPid, "VmRSS");
  }

  void StartEntry()
  {
    StartRole("entry",
              { "--max-fds=" + std::to_string(kDescriptors),
                "--callers=127.0.0.1:0",
                "--ready=127.0.0.1:0",
                "--operators=127.0.0.1:0" },
              3);
  }

  void Measure()
  {
    size_t unread = 0;
    for (const uint16_t port : mPorts) {
      unread += UnreadBytes(port);
    }
    mMostKb = std::max(mMostKb, StatusKb(mChild.mPid, "VmRSS") + unread / 1024);
  }

  // Sends aAhead on each of many connections to each listener, without
  // reading; a part of the connections leaves early.
  std::vector<std::unique_ptr<Sender>> Crowd(
    const std::vector<uint16_t>& aPorts,
    size_t aConnections,
    const std::function<std::string(size_t)>& aAhead,
    size_t aLeaving = 0)
  {
    std::vector<std::unique_ptr<Sender>> crowd;
    for (size_t at = 0; at < aConnections; ++at) {
      crowd.push_back(std::make_unique<Sender>(aPorts[at % aPorts.size()]));
      crowd.back()->mAhead = aAhead(at);
      crowd.back()->Send();
      if (aLeaving > 0 && at % aLeaving == 0) {
        crowd[at / 2] = std::make_unique<Sender>(aPorts[at % aPorts.size()]);
      }
    }
    SendAll(crowd, [this] { Measure(); });
    return crowd;
  }

  void CheckHolds()
  {
    CheckLives("beside the crowd");
    const size_t open = OpenDescriptors(mChild.mPid);
    BOOST_TEST_MESSAGE("most " << mMostKb << " kB with what is unread, before "
                               << mBeforeKb << " kB, descriptors " << open);
#ifdef __SANITIZE_ADDRESS__
    BOOST_TEST(mMostKb <= mBeforeKb + kMemoryFactor * kMemoryMb * 1024);
#else
    BOOST_TEST(mMostKb <= kMemoryFactor * kMemoryMb * 1024);
#endif
    BOOST_TEST(open < kDescriptors);
  }

  // One ordinary request at each listener gets an answer.
  void CheckAnswers() const
  {
    for (const uint16_t port : mPorts) {
      BOOST_TEST(Ask(port, Request("ordinary")).starts_with("HTTP/1.1 "));
    }
  }
};

struct BoundedEntry : Bounded
{
  BoundedEntry() { StartEntry(); }
};

std::string
Ahead(const std::string& aRequest)
{
  std::string ahead;
  while (ahead.size() < kAheadBytes) {
    ahead += aRequest;
  }
  return ahead;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(requests_ahead_with_new_keys, BoundedEntry)
{
  const auto crowd = Crowd({ mPorts[0] }, kConnections, [](size_t aAt) {
    std::string ahead;
    for (size_t request = 0; ahead.size() < kAheadBytes; ++request) {
      ahead += Request(std::to_string(aAt) + "-" + std::to_string(request));
    }
    return ahead;
  });
  CheckHolds();
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(requests_ahead_without_the_usual_headers, BoundedEntry)
{
  const auto crowd = Crowd({ mPorts[0] }, kConnections, [](size_t) {
    return Ahead("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  });
  CheckHolds();
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(very_many_connections_of_which_a_part_leaves_early,
                        BoundedEntry)
{
  const auto crowd = Crowd(
    { mPorts[0] },
    kManyConnections,
    [](size_t aAt) { return Ahead(Request(std::to_string(aAt))); },
    3);
  CheckHolds();
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(connections_that_say_nothing, BoundedEntry)
{
  const auto crowd = Crowd(
    { mPorts[0] }, kManyConnections, [](size_t) { return std::string(); });
  CheckHolds();
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(heads_that_never_end, BoundedEntry)
{
  const auto crowd = Crowd({ mPorts[0] }, kManyConnections, [](size_t) {
    return "POST / HTTP/1.1\r\nHost: h\r\nX: " + std::string(12 << 10, 'x');
  });
  CheckHolds();
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(uploads_that_stop_at_every_listener, BoundedEntry)
{
  const auto crowd =
    Crowd(mPorts, kConnections, [](size_t) { return Upload(); });
  CheckHolds();
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(uploads_that_stop_at_a_node, Bounded)
{
  StartRole("node", { "--target=127.0.0.1:1", "--http=127.0.0.1:0" }, 1);
  const auto crowd =
    Crowd(mPorts, kConnections, [](size_t) { return Upload(); });
  CheckHolds();
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(uploads_that_stop_at_a_control, Bounded)
{
  char folder[] = "/tmp/caraway-crowd-XXXXXX";
  BOOST_REQUIRE(mkdtemp(folder) != nullptr);
  StartRole(
    "control", { "--data=" + std::string(folder), "--http=127.0.0.1:0" }, 1);
  const auto crowd =
    Crowd(mPorts, kConnections, [](size_t) { return Upload(); });
  CheckHolds();
  CheckAnswers();
  std::filesystem::remove_all(folder);
}

BOOST_FIXTURE_TEST_CASE(requests_ahead_at_the_other_listeners, BoundedEntry)
{
  const auto crowd =
    Crowd({ mPorts[1], mPorts[2] }, kConnections, [](size_t aAt) {
      return Ahead(Request(std::to_string(aAt)));
    });
  CheckHolds();
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(requests_ahead_at_a_node, Bounded)
{
  StartRole("node", { "--target=127.0.0.1:1", "--http=127.0.0.1:0" }, 1);
  const auto crowd = Crowd(mPorts, kConnections, [](size_t) {
    return Ahead("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
  });
  CheckHolds();
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(heads_in_pieces_of_one_byte, BoundedEntry)
{
  constexpr size_t kPieces = 64;
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nX: ";
  auto crowd =
    Crowd({ mPorts[0] }, kConnections, [](size_t) { return std::string(); });
  for (size_t piece = 0; piece < kPieces; ++piece) {
    for (const auto& sender : crowd) {
      sender->mAhead += piece < head.size() ? head[piece] : 'x';
      sender->Send();
    }
    Measure();
  }
  CheckHolds();
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(a_crowd_that_returns_at_once, BoundedEntry)
{
  constexpr size_t kRounds = 5;
  constexpr size_t kReturning = 300;
  for (size_t round = 0; round < kRounds; ++round) {
    const auto crowd = Crowd({ mPorts[0] }, kReturning, [](size_t aAt) {
      return Ahead(Request(std::to_string(aAt)));
    });
  }
  CheckHolds();
  CheckAnswers();
}

// A frame of the peers' protocol begins with its length.
BOOST_FIXTURE_TEST_CASE(frames_that_never_end_at_the_peer_port, BoundedEntry)
{
  const std::string key = " peer=127.0.0.1:";
  const size_t at = mChild.mSeen.find(key);
  BOOST_REQUIRE(at != std::string::npos);
  const auto peer =
    static_cast<uint16_t>(std::stoi(mChild.mSeen.substr(at + key.size())));
  const auto crowd = Crowd({ peer }, kConnections, [](size_t) {
    return std::string("\0\0\x0c\0", 4) + std::string(kAheadBytes, 'f');
  });
  CheckHolds();
  CheckAnswers();
}

// Guards against JSON that takes the only thread for minutes, or far more
// memory than it has bytes.
BOOST_FIXTURE_TEST_CASE(largest_json_of_any_shape_at_the_operators_listener,
                        BoundedEntry)
{
  constexpr size_t kMargin = 4000; // for what is round the shape
  const auto post = [](const char* aPath, const std::string& aBody) {
    return std::string("POST ") + aPath +
           " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  };
  const std::string beat =
    R"({"service":"s","address":"127.0.0.1:1","zone":"a","slots":1,)"
    R"("state":"ready","callSeq":1,"models":)";
  for (const JsonShape& shape : kJsonShapes) {
    const std::string value = shape.mMake(kShapeBytes - kMargin);
    for (const std::string& request :
         { post("/v1/Instances.Heartbeat/t-1", value),
           post("/v1/Instances.Heartbeat/t-1", beat + value + "}"),
           post("/v1/Instances.Deregister/t-1", beat + value + "}"),
           post("/v1/Config.Replace", value),
           post("/v1/Config.Replace",
                R"({"version":1,"services":[],"routeTable":)" + value +
                  "}") }) {
      BOOST_TEST(Ask(mPorts[2], request).starts_with("HTTP/1.1 "), shape.mName);
      Measure();
    }
    DrainOutput();
  }
  CheckHolds();
  CheckAnswers();
}
