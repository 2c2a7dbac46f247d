// Case: a worker that reports `draining` is acknowledged, but control is not
// told, because the same machine had passed on another report of that worker
// within the last half second. See claim.txt.
#include "../standin-3/rig.hpp"

using namespace rig;

namespace {

constexpr int kBeatMs = 1200;  // heartbeatMs of the settings page
constexpr int kDrainMs = 2000; // drainMs
constexpr int kColdMs = 3000;  // coldS of the service
// The next heartbeat comes later than the worker leaves: "A heartbeat may arrive
// seconds late."
//
// The worker serves for drainMs after the acknowledgement "and a little longer".
constexpr int kLongerMs = 1500;
constexpr int kEvents = 20;
constexpr int kEventMs = 25;

struct Arrival
{
  std::string mId;
  int64_t mAt;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  const bool trouble = getenv("TROUBLE") == nullptr || strcmp(getenv("TROUBLE"), "0") != 0;
  const std::string folder = aCount > 1 ? aArguments[1] : ".";
  Record record(folder + "/record.txt");
  FleetSettings settings;
  Fleet fleet(settings);
  record.Line(trouble ? "with the disruption" : "without the disruption");

  Route route{ .mName = "r-stream",
               .mHost = "h.example",
               .mPrefix = "/s/",
               .mKind = "streaming",
               .mService = "llm",
               .mAttempts = 1,
               .mSticky = true,
               .mResumable = false,
               .mGapMs = 200 };
  const std::string plan =
    PlanText(1, { route }, { ModelService("llm") }, { { "t1", { "key-1" } } });

  std::mutex mutex;
  std::vector<Arrival> arrivals; // at the worker that leaves
  const auto answer = [&](Worker& aWorker, Connection& aConnection, const WorkerRequest& aRequest) {
    record.Line("worker " + aWorker.mIncarnation + " runs " + aRequest.mId);
    if (aWorker.mIncarnation == "i-leaving") {
      const std::lock_guard lock(mutex);
      arrivals.push_back({ aRequest.mId, NowMs() });
    }
    Headers headers = aWorker.AnswerHeaders(aRequest);
    headers.emplace_back("Content-Type", "text/event-stream");
    headers.emplace_back("Transfer-Encoding", "chunked");
    if (!aConnection.Send(Head("HTTP/1.1 200 OK", headers))) {
      return false;
    }
    for (int i = 1; i <= kEvents; ++i) {
      SleepMs(kEventMs);
      if (aWorker.Stopped() ||
          !aConnection.Send(
            Chunk(Text("id: %d\ndata: %d %s\n\n", i, i, aRequest.mId.c_str())))) {
        return false;
      }
    }
    return aConnection.Send("0\r\n\r\n");
  };

  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < settings.mNodes; ++i) {
    auto worker = std::make_unique<Worker>();
    worker->mService = "llm";
    worker->mIp = fleet.NodeIp(i);
    worker->mZone = Fleet::Zone(i);
    worker->mIncarnation = i == 0 ? "i-leaving" : "i-other-" + std::to_string(i);
    worker->mBeatMs = kBeatMs;
    worker->mBeatAddress = [&fleet, i] { return fleet.Operators(i); };
    worker->mOnRequest = answer;
    workers.push_back(std::move(worker));
  }
  fleet.Start();
  for (auto& worker : workers) {
    if (!worker->Start()) {
      return 2;
    }
  }
  if (!fleet.Configure(plan)) {
    record.Line("no configuration was acknowledged");
    return 2;
  }
  for (int i = 0; i < settings.mEntries; ++i) {
    const int64_t end = NowMs() + 15000;
    while (!fleet.IsReady(i)) {
      if (NowMs() > end) {
        record.Line("a machine does not become ready");
        return 2;
      }
      SleepMs(100);
    }
  }

  std::atomic<bool> stop{ false };
  std::atomic<int> served{ 0 }, others{ 0 };
  std::map<std::string, int64_t> sentAt; // by Attempt-Id
  std::vector<std::thread> clients;
  for (int i = 0; i < 18; ++i) {
    clients.emplace_back([&, i] {
      while (!stop) {
        const std::string id = NewId();
        {
          const std::lock_guard lock(mutex);
          sentAt[id] = NowMs();
        }
        record.Line("client sends " + id + " to machine " + std::to_string(i % 3));
        const Message reply = Call(fleet.Front(i % 3),
                                   "POST",
                                   "/s/q",
                                   { { "Host", "h.example" },
                                     { "Attempt-Id", id },
                                     { "Deadline-Ms", "5000" },
                                     { "Authorization", "Bearer key-1" },
                                     { "Model", "m" },
                                     { "Token-Usage", "100,20" },
                                     { "Prefix-Hash", "aa:50," + id.substr(0, 8) + ":50" } },
                                   "body",
                                   6000);
        const bool whole = reply.mStatus == 200 && reply.mWhole;
        record.Line(Text("client gets %d%s for %s",
                         reply.mStatus,
                         whole ? "" : ", not whole,",
                         id.c_str()));
        ++(whole ? served : others);
        SleepMs(50);
      }
    });
  }

  SleepMs(8000); // calm: all machines are in touch (contactMs 3,000), nothing is cold
  Worker& leaving = *workers[0];
  // From here on this thread sends the heartbeats of the worker that leaves.
  leaving.mBeats = false;
  SleepMs(600);
  if (trouble) {
    // "A worker may also become cold again at any moment."
    leaving.mColdMs = kColdMs;
    record.Line(Text("heartbeat, cold again: %d", leaving.SendBeat()));
    SleepMs(300);
    leaving.mColdMs = kColdMs - 300;
  } else {
    record.Line(Text("heartbeat: %d", leaving.SendBeat()));
    SleepMs(300);
  }
  leaving.mDraining = true;
  int status = 0;
  for (int i = 0; i < 10 && status / 100 != 2; ++i) {
    status = leaving.SendBeat();
    record.Line(Text("heartbeat, draining: %d", status));
  }
  const int64_t acknowledged = NowMs();
  if (status / 100 != 2) {
    return 2;
  }
  // The next heartbeat is due after kBeatMs and comes late. The worker serves
  // on meanwhile.
  if (!trouble) {
    SleepMs(kBeatMs);
    record.Line(Text("heartbeat, draining: %d", leaving.SendBeat()));
  }
  SleepMs(acknowledged + kDrainMs + kLongerMs - NowMs());
  const int status2 = Call(leaving.mBeatAddress(),
                           "POST",
                           "/v1/Instances.Deregister/" + leaving.mIncarnation,
                           { { "Host", "x" }, { "Content-Type", "application/json" } },
                           leaving.Stated(),
                           1000)
                        .mStatus;
  record.Line(Text("deregistration: %d; the worker exits", status2));
  leaving.Crash();
  SleepMs(1500);
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }

  int late = 0;
  for (const Arrival& arrival : arrivals) {
    // "later than drainMs after a machine in touch acknowledged", with a little
    // for what is on its way.
    if (arrival.mAt > acknowledged + kDrainMs && sentAt[arrival.mId] > acknowledged + kDrainMs) {
      ++late;
      record.Line(Text("LATE: %s reached the draining worker %lld ms after the acknowledgement",
                       arrival.mId.c_str(),
                       static_cast<long long>(arrival.mAt - acknowledged)));
    }
  }
  record.Line(Text("served whole %d, not %d, at the draining worker after drainMs %d",
                   served.load(),
                   others.load(),
                   late));
  printf("served whole %d, not %d, late at the draining worker %d\n",
         served.load(),
         others.load(),
         late);
  workers.clear();
  if (served < 50) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}
