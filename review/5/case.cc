// A front machine is cut off from the other machines for 10 s, and meanwhile the leading control process is killed. Checks
// that a tenant gets no more than its quota over all front machines.

#include <algorithm>

#include "../standin/engine.hpp"

using namespace standin;

namespace {

constexpr double kRate = 180;
constexpr double kBurst = 90;
constexpr double kWindow = 5;
constexpr double kOverrun = 0.1;
constexpr double kSlack = 20;
constexpr double kCut = 10;        // length of the cut
constexpr double kKillAfter = 5.4; // of the leader, after the cut's begin
constexpr double kFloodAfter = 6.6;
constexpr double kCalmPerSecond = 5; // before the traffic jumps
constexpr double kPerSecond = 150; // requests to each front machine

struct Requests
{
  std::mutex mMutex;
  std::map<std::string, double> mSent;
  std::vector<std::pair<double, double>> mRuns; // sent, arrived
};
Requests gRequests;

void
Answer200(Worker&, WorkerCall& aCall)
{
  {
    const std::lock_guard lock(gRequests.mMutex);
    gRequests.mRuns.emplace_back(gRequests.mSent[aCall.mId], Now());
  }
  Sleep(0.01);
  SendAll(aCall.mSocket, Head(aCall.mId, "Content-Length: 2\r\n") + "ok");
}

Json
PlanOf()
{
  Json plan = Plan(1);
  plan["services"].push_back({ { "name", "wuno96b" },
                               { "healthPath", "/healthz" },
                               { "maxConns", 130 },
                               { "protocol", "h1" },
                               { "tls", false },
                               { "coldS", 0.0 },
                               { "coldPerS", 0.0 } });
  plan["routeTable"].push_back({ { "name", "r-stock" },
                                 { "host", kHost },
                                 { "pathPrefix", "/lohu930/" },
                                 { "kind", "idempotent" },
                                 { "timeoutMs", 1000 },
                                 { "sloMs", 150 },
                                 { "priority", 2 },
                                 { "service", "wuno96b" },
                                 { "maxAttempts", 1 },
                                 { "anonymous", false } });
  plan["tenants"][0]["ratePerS"] = kRate;
  plan["tenants"][0]["burst"] = kBurst;
  return plan;
}

// One client for each front machine: requests at a fixed rate, whatever the
// answers.
void
Ask(Fleet& aFleet,
    const Node& aEntry,
    double aFor,
    double aPerSecond,
    std::atomic<int>& aOpen)
{
  double next = Now();
  const double until = Now() + aFor;
  std::map<int, int> statuses;
  std::mutex mutex;
  while (Now() < until) {
    ++aOpen;
    std::thread([&aOpen, &aEntry, &mutex, &statuses] {
      const std::string id = NewId();
      {
        const std::lock_guard lock(gRequests.mMutex);
        gRequests.mSent[id] = Now();
      }
      const int status =
        Call(aEntry.mIp, kFrontPort, "POST", "/lohu930/2f",
             { { "Host", kHost },
               { "Attempt-Id", id },
               { "Deadline-Ms", "1000" },
               { "Authorization", std::string("Bearer ") + kKey } },
             "which pallet", 1.5)
          .mStatus;
      {
        const std::lock_guard lock(mutex);
        ++statuses[status];
      }
      --aOpen;
    }).detach();
    next += 1 / aPerSecond;
    Sleep(next - Now());
  }
  Sleep(2);
  const std::lock_guard lock(mutex);
  for (const auto& [status, count] : statuses) {
    aFleet.Log().Line("answers of ", aEntry.mName, " with status ", status, ": ",
                      count);
  }
}

} // namespace

int
main(int, char** aWords)
{
  signal(SIGPIPE, SIG_IGN);
  const char* setting = getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  Record record("record.txt");
  Fleet fleet(record, aWords[1]);
  fleet.Add("entry", 3);
  fleet.Add("control", 3);
  fleet.Add("node", 3);
  fleet.LinkAll();
  fleet.StartAll();
  Engine engine;
  std::vector<std::unique_ptr<Worker>> workers;
  for (size_t at = 0; at < 3; ++at) {
    workers.push_back(std::make_unique<Worker>(
      fleet, "huvo11a", fleet.WorkerIp(at), Fleet::Zone(at), 8,
      engine.Handler("huvo11a")));
  }
  for (size_t at = 3; at < 6; ++at) {
    workers.push_back(
      std::make_unique<Worker>(fleet, "wuno96b", fleet.WorkerIp(at),
                               Fleet::Zone(at), 6, Answer200));
  }
  if (!fleet.Configure(PlanOf(), 20)) {
    Fleet::Stop("no configuration was acknowledged");
  }
  Sleep(10 - Now()); // traffic starts 10 s after the machines do
  const auto entries = fleet.Of("entry");
  std::atomic<int> open{ 0 };
  std::vector<std::thread> clients;
  const double cutAt = Now();
  for (Node* entry : entries) {
    clients.emplace_back([&fleet, &open, entry] {
      Ask(fleet, *entry, kFloodAfter, kCalmPerSecond, open);
    });
  }
  if (trouble) {
    record.Line(entries[2]->mName, " is cut off from all other machines");
    fleet.Cut(*entries[2], true);
  }
  Sleep(cutAt + kKillAfter - Now());
  Node* leader = fleet.Leader();
  if (leader == nullptr) {
    Fleet::Stop("no control process leads");
  }
  if (trouble && getenv("ONLY_CUT") == nullptr) {
    record.Line("SIGKILL of ", leader->mName, ", which leads");
    leader->mProgram.End();
  }
  Sleep(cutAt + kFloodAfter - Now());
  for (Node* entry : entries) {
    clients.emplace_back([&fleet, &open, entry] {
      Ask(fleet, *entry, 6, kPerSecond, open);
    });
  }
  Sleep(cutAt + kKillAfter + 1 - Now());
  if (!leader->mProgram.Running()) {
    fleet.Start(*leader, false);
  }
  Sleep(cutAt + kCut - Now());
  if (trouble) {
    fleet.Cut(*entries[2], false);
    record.Line(entries[2]->mName, " is no longer cut off");
  }
  for (std::thread& client : clients) {
    client.join();
  }
  while (open > 0) {
    Sleep(0.01);
  }
  const double most =
    (kRate * kWindow + kBurst) * (1 + kOverrun) + kSlack;
  std::vector<std::pair<double, double>> runs;
  {
    const std::lock_guard lock(gRequests.mMutex);
    runs = gRequests.mRuns;
  }
  size_t worst = 0;
  for (const auto& [begin, ignored] : runs) {
    const size_t count = static_cast<size_t>(
      std::count_if(runs.begin(), runs.end(), [&](const auto& aRun) {
        return aRun.first >= begin && aRun.second <= begin + kWindow;
      }));
    worst = std::max(worst, count);
  }
  record.Line(runs.size(), " requests ran; at most ", worst, " in ", kWindow,
              " s, ", most, " are allowed");
  std::printf("at most %zu requests ran in 5 s, %.1f are allowed\n", worst, most);
  workers.clear();
  return static_cast<double>(worst) > most ? 1 : 0;
}
