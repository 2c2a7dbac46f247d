// Guards against an end by the memory limit of an entry whose requests reach a
// target: answers that nobody reads, streams whose reader stops, and uploads
// whose callers leave. Starts a control, an entry and a target on loopback.
#define BOOST_TEST_MODULE platform_crowd_fleet
#include <boost/test/unit_test.hpp>

#include <atomic>

#include "absl/strings/str_cat.h"
#include "caraway/runtime/http_server.h"
#include "tests/crowd.h"
#include "tests/json_shapes.h"

using namespace caraway;

namespace {

// The entry's own limits.
constexpr size_t kMemoryMb = 64;
constexpr size_t kDescriptors = 4100;
// The crowd.
constexpr size_t kReaders = 40;
constexpr size_t kUploads = 400;
constexpr size_t kAnswerBytes = 3 << 20; // of one plain answer
constexpr size_t kEventBytes = 8 << 10;
constexpr size_t kEvents = 400;           // of one stream
constexpr size_t kUploadBytes = 60 << 10; // of one request
constexpr size_t kShapeBytes = 4 << 20;   // of a job; the largest body allowed
#ifdef __SANITIZE_ADDRESS__
constexpr size_t kMemoryFactor = 2; // red zones and shadow of each block
#else
constexpr size_t kMemoryFactor = 1;
#endif

constexpr const char* kPlan =
  R"({"version":1,"routeTable":[)"
  R"({"name":"a","host":"h.example","pathPrefix":"/plain/","kind":"idempotent",)"
  R"("timeoutMs":60000,"sloMs":300,"priority":0,"service":"s","maxAttempts":1,)"
  R"("anonymous":true},)"
  R"({"name":"b","host":"h.example","pathPrefix":"/once/",)"
  R"("kind":"non_idempotent","timeoutMs":60000,"sloMs":300,"priority":0,)"
  R"("service":"s","maxAttempts":1,"anonymous":true},)"
  R"({"name":"c","host":"h.example","pathPrefix":"/stream/",)"
  R"("kind":"streaming","timeoutMs":60000,"sloMs":300,"gapTargetMs":10000,)"
  R"("priority":0,"service":"s","maxAttempts":1,"anonymous":true},)"
  R"({"name":"d","host":"h.example","pathPrefix":"/batch/","kind":"batch",)"
  R"("timeoutMs":60000,"sloMs":300,"completionTargetMs":60000,"queueTtlS":60,)"
  R"("priority":0,"service":"s","maxAttempts":1}],)"
  R"("tenants":[{"name":"w","apiKeys":["secret"]}],)"
  R"("services":[{"name":"s","healthPath":"/healthz","maxConns":4000}]})";

std::string
Post(const std::string& aPath,
     const std::string& aBody,
     const std::string& aKey = "none")
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a" +
         aPath + "\r\nAuthorization: Bearer " + aKey +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

// Answers by path: /plain/large, /plain/small, /stream/, and never to /once/.
void
RunTarget(int aReport)
{
  Loop loop;
  HttpServerSettings settings;
  settings.mListen = "127.0.0.1:0";
  HttpServer server(loop, settings);
  server.mOnRequest.connect([&](const HttpRequest& aRequest) {
    const HttpCallId call = aRequest.mCall;
    Headers headers{ { "Server-Signature", "s" },
                     { "Attempt-Id",
                       HeaderValue(aRequest.mHeaders, "Attempt-Id") } };
    if (aRequest.mPath.starts_with("/once/")) {
      return;
    }
    if (aRequest.mPath.starts_with("/stream/")) {
      headers.emplace_back("Content-Type", "text/event-stream");
      server.Begin({ call, 200, headers });
      for (size_t event = 1; event <= kEvents; ++event) {
        server.Chunk({ call,
                       "id: " + std::to_string(event) +
                         "\ndata: " + std::string(kEventBytes, 'e') + "\n\n" });
      }
      server.End({ call });
      return;
    }
    const bool large = aRequest.mPath.starts_with("/plain/large");
    server.Respond(
      { call, 200, headers, std::string(large ? kAnswerBytes : 2, 'a') });
  });
  if (!server.Listen().ok()) {
    return;
  }
  const std::string address = server.Address() + "\n";
  (void)write(aReport, address.data(), address.size());
  loop.Run();
}

// A port that nobody listens on now.
uint16_t
FreePort()
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  BOOST_REQUIRE(
    bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  getsockname(handle, reinterpret_cast<sockaddr*>(&address), &length);
  close(handle);
  return ntohs(address.sin_port);
}

struct CrowdedFleet
{
  Child mTarget;
  std::string mTargetAddress;
  CrowdedProcess mControl;
  CrowdedProcess mEntry;
  std::string mFolder = "/tmp/caraway-crowd-XXXXXX";
  uint16_t mCallers = 0;
  uint16_t mReady = 0;
  uint16_t mOperators = 0;
  size_t mMostKb = 0;
  std::atomic<bool> mStop{ false };
  std::thread mHeartbeats;

  CrowdedFleet()
  {
    StartChild(mTarget, [] { RunTarget(STDOUT_FILENO); });
    BOOST_REQUIRE(WaitForText(mTarget, "\n"));
    mTargetAddress = mTarget.mSeen.substr(0, mTarget.mSeen.find('\n'));
    BOOST_REQUIRE(mkdtemp(mFolder.data()) != nullptr);
    // Each process knows the entry's address for its peers.
    const std::string peer = "127.0.0.1:" + std::to_string(FreePort());
    const std::vector<std::string> common{ "--zone=a",
                                           "--region=r",
                                           "--seeds=" + peer,
                                           "--seed-port=" + peer.substr(10),
                                           "--first-start=true" };
    const auto words = [&](std::vector<std::string> aWords) {
      aWords.insert(aWords.begin(), CARAWAY_PLATFORM_PROGRAM);
      aWords.insert(aWords.end(), common.begin(), common.end());
      return aWords;
    };
    mControl.Start(words({ "control",
                           "--instance=control-1",
                           "--peer=127.0.0.1:0",
                           "--tolerate=0",
                           "--http=127.0.0.1:0",
                           "--data=" + mFolder }));
    mEntry.Start(words({ "entry",
                         "--instance=entry-1",
                         "--peer=" + peer,
                         "--memory-mb=" + std::to_string(kMemoryMb),
                         "--max-fds=" + std::to_string(kDescriptors),
                         "--callers=127.0.0.1:0",
                         "--ready=127.0.0.1:0",
                         "--operators=127.0.0.1:0" }));
    mCallers = mEntry.Port(0);
    mReady = mEntry.Port(1);
    mOperators = mEntry.Port(2);
    mHeartbeats = std::thread([this] { SendHeartbeats(); });
    // A refusal means that the fleet is not ready yet.
    const auto until = [&](uint16_t aPort, const std::string& aRequest) {
      for (int tries = 0; tries < 300; ++tries) {
        mEntry.DrainOutput();
        mControl.DrainOutput();
        if (CrowdedProcess::Ask(aPort, aRequest).starts_with("HTTP/1.1 200")) {
          return true;
        }
        usleep(100000);
      }
      return false;
    };
    BOOST_REQUIRE(until(mOperators, Post("/v1/Config.Replace", kPlan)));
    BOOST_REQUIRE(until(mCallers, Post("/plain/small", "x")));
    mEntry.mBeforeKb = StatusKb(mEntry.mChild.mPid, "VmRSS");
  }

  ~CrowdedFleet()
  {
    mStop = true;
    if (mHeartbeats.joinable()) {
      mHeartbeats.join();
    }
    std::filesystem::remove_all(mFolder);
  }

  void SendHeartbeats()
  {
    for (int sequence = 1; !mStop; ++sequence) {
      CrowdedProcess::Ask(
        mOperators,
        Post("/v1/Instances.Heartbeat/t-1",
             R"({"service":"s","address":")" + mTargetAddress +
               R"(","zone":"a","slots":4000,"state":"ready","callSeq":)" +
               std::to_string(sequence) + "}"));
      usleep(300000);
    }
  }

  void Measure()
  {
    mControl.DrainOutput();
    const size_t unread = UnreadBytes(mCallers) + UnreadBytes(mOperators);
    mMostKb =
      std::max(mMostKb, StatusKb(mEntry.mChild.mPid, "VmRSS") + unread / 1024);
  }

  void CheckHolds()
  {
    mEntry.CheckLives("beside the crowd");
    const size_t open = OpenDescriptors(mEntry.mChild.mPid);
    BOOST_TEST_MESSAGE("most " << mMostKb << " kB with what is unread, before "
                               << mEntry.mBeforeKb << " kB, descriptors "
                               << open);
#ifdef __SANITIZE_ADDRESS__
    BOOST_TEST(mMostKb <= mEntry.mBeforeKb + kMemoryFactor * kMemoryMb * 1024);
#else
    BOOST_TEST(mMostKb <= kMemoryFactor * kMemoryMb * 1024);
#endif
    BOOST_TEST(open < kDescriptors);
  }

  void CheckAnswers() const
  {
    BOOST_TEST(CrowdedProcess::Ask(mCallers, Post("/plain/small", "x"))
                 .starts_with("HTTP/1.1 "));
    BOOST_TEST(
      CrowdedProcess::Ask(mReady, Post("/any", "x")).starts_with("HTTP/1.1 "));
  }

  // Callers that send aRequest and read nothing; a part leaves early.
  std::vector<std::unique_ptr<Sender>> Crowd(size_t aCallers,
                                             const std::string& aRequest,
                                             size_t aLeaving = 0)
  {
    std::vector<std::unique_ptr<Sender>> crowd;
    for (size_t at = 0; at < aCallers; ++at) {
      crowd.push_back(std::make_unique<Sender>(mCallers));
      crowd.back()->mAhead = aRequest;
      crowd.back()->Send();
      if (aLeaving > 0 && at % aLeaving == 0) {
        crowd[at / 2] = std::make_unique<Sender>(mCallers);
      }
    }
    // The answers come when all has been sent.
    for (int round = 0; round < 4; ++round) {
      mEntry.SendAll(crowd, [this] { Measure(); });
    }
    return crowd;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(plain_answers_that_nobody_reads, CrowdedFleet)
{
  const auto crowd = Crowd(kReaders, Post("/plain/large", "x"));
  CheckHolds();
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(streams_whose_reader_stops, CrowdedFleet)
{
  const auto crowd = Crowd(kReaders, Post("/stream/", "x"));
  CheckHolds();
  CheckAnswers();
}

BOOST_FIXTURE_TEST_CASE(uploads_whose_callers_leave, CrowdedFleet)
{
  const auto crowd =
    Crowd(kUploads, Post("/once/", std::string(kUploadBytes, 'u')), 3);
  CheckHolds();
  CheckAnswers();
}

// Guards against JSON that takes the only thread for minutes, or far more
// memory than it has bytes: of callers without a key, and of those with one.
BOOST_FIXTURE_TEST_CASE(largest_jobs_of_any_shape, CrowdedFleet)
{
  constexpr size_t kMargin = 4000; // for what is round the shape
  for (const JsonShape& shape : kJsonShapes) {
    const std::string value = shape.mMake(kShapeBytes - kMargin);
    const char* item =
      R"({"requests":[{"id":"i","path":"/p","tokenCount":1,"headers":)";
    for (const std::string& job : { value,
                                    absl::StrCat(R"({"requests":)", value, "}"),
                                    absl::StrCat(item, value, "}]}") }) {
      for (const char* key : { "none", "secret" }) {
        const std::string answer =
          CrowdedProcess::Ask(mCallers, Post("/batch/", job, key));
        const bool known = key == std::string("secret");
        BOOST_TEST(answer.starts_with(known ? "HTTP/1.1 400" : "HTTP/1.1 401"),
                   shape.mName << " " << key << " " << answer.substr(0, 200));
        Measure();
      }
    }
    mEntry.DrainOutput();
    mControl.DrainOutput();
  }
  CheckHolds();
  CheckAnswers();
}
