// A second writer announces, at the addresses of sound workers, servers of a
// service that no configuration names. The sound workers drop out of use, and
// accepted batch jobs are not run.

#include "../standin-2/kit.hpp"

using namespace kit;

namespace {

constexpr double kFinish = 18.0; // finishS
constexpr int kItems = 6;

std::mutex gLock;
double gLastFinished = 0;
int gRuns = 0;

void
Run(Worker& aWorker, const Message& aRequest, int aFd)
{
  const std::string id = aRequest.Header("Attempt-Id");
  Record("%s runs %s", aWorker.mId.c_str(), id.c_str());
  const bool whole =
    StreamEvents(aWorker, aRequest, aFd, 20, 0.03, [&](int aEvent) {
      return id + " " + std::to_string(aEvent);
    });
  const std::lock_guard<std::mutex> held(gLock);
  ++gRuns;
  if (whole) {
    gLastFinished = Now();
  }
}

std::string
Job(const std::string& aName)
{
  Json items = Json::array();
  for (int item = 0; item < kItems; ++item) {
    items.push_back(
      { { "id", aName + "i" + std::to_string(item) },
        { "path", "/lots/3/" + aName },
        { "headers",
          { { "Model", "m" },
            { "Token-Usage", "100,20" },
            { "Prefix-Hash", "9c2e41:50,0" + std::to_string(item) + ":50" } } },
        { "body", Base64("body of " + aName) },
        { "tokenCount", 120 } });
  }
  return Json{ { "requests", items } }.dump();
}

Headers
JobHeaders(const std::string& aName)
{
  return { { "Host", "app.example" },
           { "Authorization", "Bearer quay-key-1" },
           { "Attempt-Id", aName },
           { "Content-Type", "application/json" } };
}

int
Submit(const Fleet& aFleet, size_t aEntry, const std::string& aName)
{
  const int status = Call(aFleet.Front(aEntry),
                          "POST",
                          "/lots/" + aName,
                          JobHeaders(aName),
                          Job(aName),
                          4.0)
                       .Status();
  Record("client: batch job %s answered %d", aName.c_str(), status);
  return status;
}

// The number of results that can be read, -1 if the read is not answered.
int
Listed(const Fleet& aFleet, size_t aEntry, const std::string& aName)
{
  const Message answer = Call(aFleet.Front(aEntry),
                              "GET",
                              "/v1/lots/" + aName + "?after=0",
                              JobHeaders("read-" + aName),
                              "",
                              3.0);
  return answer.Status() == 200
           ? static_cast<int>(Json::parse(answer.mBody)["results"].size())
           : -1;
}

int
Case()
{
  Fleet fleet;
  fleet.Start("abca");
  std::vector<Worker*> workers;
  for (int at = 0; at < 3; ++at) {
    auto* worker = new Worker;
    worker->mService = "tekst-model";
    worker->mName = "tekst" + std::to_string(at);
    worker->mZone = Fleet::Zone(static_cast<size_t>(at));
    worker->mAddress = { fleet.mNet.Ip(101 + at), kAppPort };
    for (size_t entry = 0; entry < 3; ++entry) {
      worker->mOperators.push_back(fleet.Operator(entry));
    }
    worker->mRun = Run;
    worker->Begin();
    workers.push_back(worker);
    fleet.StartNode(worker->mZone, worker->mAddress);
  }
  if (fleet.Configure(Config(1,
                             Json::array({ BatchRoute("tekst-model") }),
                             Json::array({ EngineService("tekst-model") }))
                        .dump(),
                      0,
                      20) < 0) {
    return 2;
  }
  Sleep(5);
  if (Submit(fleet, 0, "before") != 202) {
    return 2;
  }
  for (double until = Now() + 20; Now() < until; Sleep(0.5)) {
    if (Listed(fleet, 1, "before") == kItems) {
      break;
    }
  }
  if (Listed(fleet, 1, "before") != kItems) {
    Record("the first batch job did not end");
    return 2;
  }
  // The second writer starts beside each worker and reports as often as the
  // worker does.
  std::atomic<bool> end{ false };
  std::thread writer([&] {
    const int64_t born = UnixMillis();
    for (uint64_t sequence = 1; !end && Trouble(); ++sequence) {
      for (size_t at = 0; at < workers.size(); ++at) {
        const Json body{ { "service", "metrics-agent" },
                         { "address", workers[at]->mAddress.Text() },
                         { "zone", workers[at]->mZone },
                         { "version", "v1" },
                         { "slots", 1 },
                         { "state", "ready" },
                         { "coldLeftMs", 0 },
                         { "callSeq", sequence },
                         { "born", born } };
        const int status = Call(fleet.Operator((at + sequence) % 3),
                                "POST",
                                "/v1/Instances.Heartbeat/agent-" +
                                  std::to_string(at),
                                { { "Host", "control" },
                                  { "Content-Type", "application/json" } },
                                body.dump(),
                                1.0)
                             .Status();
        if (sequence <= 2) {
          Record("second writer: heartbeat of agent-%zu answered %d", at, status);
        }
      }
      Sleep(1.2);
    }
  });
  Sleep(3);
  int result = 2;
  if (Submit(fleet, 1, "after") == 202) {
    const double accepted = Now();
    int listed = 0;
    while (Now() < accepted + kFinish && listed < kItems) {
      Sleep(1);
      listed = Listed(fleet, 2, "after");
    }
    double idle = 0;
    {
      const std::lock_guard<std::mutex> held(gLock);
      idle = Now() - gLastFinished;
    }
    for (const Worker* worker : workers) {
      Record("%s: last heartbeat acknowledged %.3f s ago, %d requests",
             worker->mId.c_str(),
             Now() - worker->mAcknowledgedAt,
             worker->mRunning.load());
    }
    Record("%.3f s after the 202: %d of %d items listed; the last run ended "
           "%.3f s ago; %d runs in all",
           Now() - accepted,
           listed,
           kItems,
           idle,
           gRuns);
    result = listed < 0 ? 2 : listed < kItems ? 1 : 0;
  }
  end = true;
  writer.join();
  return result;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return Main(aCount, aArguments, Case);
}
