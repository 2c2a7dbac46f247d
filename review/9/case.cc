// A configuration moves the batch route from one service to another while two
// of three daemons of a zone stand still. A batch job that one of them takes as
// it wakes is run by the old service for all of its life.

#include "../standin-2/kit.hpp"

using namespace kit;

namespace {

constexpr double kApply = 2.0;   // configApplyMs
constexpr double kFreeze = 6.0; // seconds that the two machines stand still
constexpr double kChangeAt = 1.4; // seconds into that, the change is sent
constexpr int kItems = 8;

struct RunOfItem
{
  double mAt;
  std::string mService;
  std::string mItem;
};

std::mutex gLock;
std::vector<RunOfItem> gRuns;

void
Run(Worker& aWorker, const Message& aRequest, int aFd)
{
  const std::string id = aRequest.Header("Attempt-Id");
  Record("%s of %s runs item %s",
         aWorker.mId.c_str(),
         aWorker.mService.c_str(),
         id.c_str());
  {
    const std::lock_guard<std::mutex> held(gLock);
    gRuns.push_back({ Now(), aWorker.mService, id });
  }
  StreamEvents(aWorker, aRequest, aFd, 20, 0.03, [&](int aEvent) {
    return id + " " + std::to_string(aEvent);
  });
}

std::string
Job(const std::string& aName)
{
  Json items = Json::array();
  for (int item = 0; item < kItems; ++item) {
    items.push_back({ { "id", aName + "i" + std::to_string(item) },
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
                          4.0) // as long as the site's clients wait
                       .Status();
  Record("client: batch job %s at %s answered %d",
         aName.c_str(),
         aFleet.mEntries[aEntry].mName.c_str(),
         status);
  return status;
}

size_t
Listed(const Fleet& aFleet, size_t aEntry, const std::string& aName)
{
  const Message answer = Call(aFleet.Front(aEntry),
                              "GET",
                              "/v1/lots/" + aName + "?after=0",
                              JobHeaders("read-" + aName),
                              "",
                              3.0);
  return answer.Status() == 200 ? Json::parse(answer.mBody)["results"].size()
                                : 0;
}

int
Case()
{
  Fleet fleet;
  // Three daemons with a disk, one in each zone, and three more. Two of the
  // three in zone a are frozen, a third of all, so that less than half of the
  // zone's daemons are in rotation and the platform uses all of them.
  fleet.Start("abcaab");
  const Json services = Json::array(
    { EngineService("tekst-model"), EngineService("tekst-model-2") });
  for (int at = 0; at < 6; ++at) {
    auto* worker = new Worker;
    worker->mService = at < 3 ? "tekst-model" : "tekst-model-2";
    worker->mName = "w" + std::to_string(at);
    worker->mZone = Fleet::Zone(static_cast<size_t>(at));
    worker->mAddress = { fleet.mNet.Ip(101 + at), kAppPort };
    for (size_t entry = 0; entry < 3; ++entry) {
      worker->mOperators.push_back(fleet.Operator(entry));
    }
    worker->mRun = Run;
    worker->Begin();
    fleet.StartNode(worker->mZone, worker->mAddress);
  }
  if (fleet.Configure(
        Config(1, Json::array({ BatchRoute("tekst-model") }), services).dump(),
        0,
        20) < 0) {
    return 2;
  }
  Sleep(5);
  if (Submit(fleet, 3, "before") != 202) {
    return 2;
  }
  for (double until = Now() + 20; Now() < until; Sleep(0.5)) {
    if (Listed(fleet, 0, "before") == kItems) {
      break;
    }
  }
  if (Listed(fleet, 0, "before") != kItems) {
    Record("the first batch job did not end");
    return 2;
  }
  const double frozenAt = Now();
  if (Trouble()) {
    fleet.mEntries[3].Signal(SIGSTOP);
    fleet.mEntries[4].Signal(SIGSTOP);
    Record("frozen: %s and %s",
           fleet.mEntries[3].mName.c_str(),
           fleet.mEntries[4].mName.c_str());
  }
  SleepUntil(frozenAt + kChangeAt);
  const double acknowledged = fleet.Configure(
    Config(2, Json::array({ BatchRoute("tekst-model-2") }), services).dump(),
    1,
    20);
  if (acknowledged < 0) {
    return 2;
  }
  SleepUntil(std::max(acknowledged + kApply + 0.3, frozenAt + kFreeze - 1.0));
  const double sent = Now();
  Record("clients: send batch jobs, %.3f s after the acknowledgement",
         sent - acknowledged);
  std::vector<std::string> names;
  std::vector<std::thread> clients;
  std::atomic<int> accepted{ 0 };
  for (size_t entry = 3; entry < 5; ++entry) {
    for (int client = 0; client < 3; ++client) {
      names.push_back("after" + std::to_string(entry) + std::to_string(client));
      clients.emplace_back([&, entry, name = names.back()] {
        // After another answer than 202, it is sent again to another daemon.
        if (Submit(fleet, entry, name) == 202 || Submit(fleet, 1, name) == 202 ||
            Submit(fleet, 2, name) == 202) {
          ++accepted;
        }
      });
    }
  }
  SleepUntil(frozenAt + kFreeze);
  if (Trouble()) {
    fleet.mEntries[3].Signal(SIGCONT);
    fleet.mEntries[4].Signal(SIGCONT);
    Record("woken after %.3f s", Now() - frozenAt);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  Record("batch jobs accepted: %d of %zu, the last %.3f s after the "
         "acknowledgement",
         accepted.load(),
         names.size(),
         Now() - acknowledged);
  if (accepted == 0) {
    return 2;
  }
  for (const std::string& name : names) {
    for (double until = Now() + 5; Now() < until; Sleep(0.3)) {
      if (Listed(fleet, 0, name) == kItems) {
        break;
      }
    }
  }
  int old = 0;
  int now = 0;
  for (const RunOfItem& run : gRuns) {
    if (run.mItem.starts_with("after")) {
      ++(run.mService == "tekst-model" ? old : now);
    }
  }
  Record("items of these jobs run by the old service: %d, by the new one: %d",
         old,
         now);
  if (sent < acknowledged + kApply || old + now == 0) {
    return 2;
  }
  return old > 0 ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return Main(aCount, aArguments, Case);
}
