// A configuration moves the route of a running batch job to another service.
// Checks that no item reaches a worker of the former service later than
// configApplyMs after the acknowledgement.

#include "../standin/engine.hpp"

using namespace standin;

namespace {

constexpr double kConfigApply = 2.0;
constexpr double kContact = 3.0;

Json
PlanOf(uint64_t aVersion, const char* aBatchService)
{
  Json plan = Plan(aVersion);
  Json other = plan["services"][0];
  other["name"] = "wuno96b";
  plan["services"].push_back(other);
  plan["routeTable"][1]["service"] = aBatchService;
  return plan;
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
  fleet.Add("node", 4);
  fleet.StartAll();
  Engine engine;
  std::vector<std::unique_ptr<Worker>> workers;
  for (size_t at = 0; at < 4; ++at) {
    const char* service = at < 2 ? "huvo11a" : "wuno96b";
    workers.push_back(std::make_unique<Worker>(
      fleet, service, fleet.WorkerIp(at), Fleet::Zone(at), 8,
      engine.Handler(service)));
  }
  if (!fleet.Configure(PlanOf(1, "huvo11a"), 20)) {
    Fleet::Stop("no configuration was acknowledged");
  }
  Sleep(10 - Now()); // traffic starts 10 s after the machines do
  const std::string job = NewId();
  std::vector<std::string> items;
  for (int at = 0; at < 16; ++at) {
    items.push_back(NewId());
  }
  double acknowledged = 0;
  {
    Callers callers(fleet, 4);
    Sleep(1);
    if (!Submit(fleet, job, items)) {
      Fleet::Stop("the batch job was not accepted");
    }
    Sleep(1.5);
    if (trouble) {
      if (!fleet.Configure(PlanOf(2, "wuno96b"), 10)) {
        Fleet::Stop("the second configuration was not acknowledged");
      }
      acknowledged = Now();
    }
    Sleep(12);
  }
  int late = 0;
  int moved = 0;
  for (const Begun& run : engine.Runs()) {
    const bool item = run.mPath.rfind("/pule252/", 0) == 0;
    moved += item && run.mService == "wuno96b" ? 1 : 0;
    // All machines are in touch: nothing else is disrupted, at any time.
    if (trouble && item && run.mService == "huvo11a" &&
        run.mAt > acknowledged + kConfigApply) {
      ++late;
      record.Line("BROKEN: item ", run.mId, " reaches worker ", run.mWorker,
                  " of huvo11a ", run.mAt - acknowledged,
                  " s after the acknowledgement of version 2");
    }
  }
  record.Line(late, " items reach the former service too late, ", moved,
              " runs at the new one");
  std::printf("%d runs of items at the former service over 2 s after the "
              "acknowledgement, %d runs at the new one\n",
              late, moved);
  workers.clear();
  return late > 0 ? 1 : 0;
}
