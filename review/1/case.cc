// The store machine that leads loses its disk right after it has acknowledged
// that another one is to be emptied. The platform removes that one as soon as it
// is said to be emptied. Checks that what was acknowledged can still be read.

#include <filesystem>

#include "../standin/engine.hpp"

using namespace standin;

namespace {

constexpr double kRecovery = 12;
constexpr double kContact = 3;
constexpr double kDown = 1.0; // of the machine that loses its disk
constexpr double kRetire = 2.5; // how long the operator asks
constexpr double kPoll = 0.2; // between two questions of the operator

std::string
ReadPlan(Fleet& aFleet, size_t aAt, int& aStatus)
{
  const auto entries = aFleet.Of("entry");
  const Answer answer = Call(entries[aAt % entries.size()]->mIp, kControlPort,
                             "GET", "/v1/Config.Read", {}, "", 1.0);
  aStatus = answer.mStatus;
  return answer.mBody;
}

void
LoseDisk(Fleet& aFleet, Node& aNode)
{
  aNode.mProgram.End();
  std::filesystem::remove_all(aFleet.Folder() + "/" + aNode.mName);
}

// A voter beside the leader, by the logs: the leader's names the replicas that it
// has promoted, each replica's its own id.
Node*
Other(Fleet& aFleet, const Node& aLeader)
{
  const auto text = [&](const Node& aNode) {
    std::ifstream file(aFleet.Folder() + "/" + aNode.mName + ".log");
    std::stringstream all;
    all << file.rdbuf();
    return all.str();
  };
  const std::string log = text(aLeader);
  for (Node* node : aFleet.Of("control")) {
    const std::string own = text(*node);
    const size_t at = own.find(" replica=");
    if (node == &aLeader || at == std::string::npos) {
      continue;
    }
    const std::string id = own.substr(at + 9, own.find(' ', at + 9) - at - 9);
    if (log.find("choice=promote reason=\"replica " + id) != std::string::npos) {
      return node;
    }
  }
  return nullptr;
}

} // namespace

int
main(int, char** aWords)
{
  signal(SIGPIPE, SIG_IGN);
  const char* setting = getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  const bool first = std::string(aWords[2]) == "1";
  Record record("record.txt", !first);
  record.Line("round ", aWords[2]);
  Fleet fleet(record, aWords[1]);
  fleet.Add("entry", 3);
  fleet.Add("control", 4);
  fleet.Add("node", 3);
  fleet.StartAll();
  Engine engine;
  engine.mItemEvents = 20;
  std::vector<std::unique_ptr<Worker>> workers;
  for (size_t at = 0; at < 3; ++at) {
    workers.push_back(std::make_unique<Worker>(
      fleet, "huvo11a", fleet.WorkerIp(at), Fleet::Zone(at), 8,
      engine.Handler("huvo11a")));
  }
  if (!fleet.Configure(Plan(1), 20)) {
    Fleet::Stop("no configuration was acknowledged");
  }
  Sleep(10 - Now()); // traffic starts 10 s after the machines do
  const std::string job = NewId();
  if (!Submit(fleet, job, { NewId(), NewId() })) {
    Fleet::Stop("the batch job was not accepted");
  }
  Sleep(1);
  Node* leader = fleet.Leader();
  if (leader == nullptr) {
    Fleet::Stop("no control process leads");
  }
  Node* retired = Other(fleet, *leader);
  if (retired == nullptr) {
    Fleet::Stop("the leader's log names no other voter");
  }
  const auto entries = fleet.Of("entry");
  int status = 0;
  for (size_t tries = 0; tries < 20 && status != 200; ++tries) {
    status = Call(entries[tries % 3]->mIp, kControlPort, "POST",
                  "/v1/Retire.Begin/" + retired->mName,
                  { { "Content-Type", "application/json" } },
                  R"({"durationS":10})", 1.0)
               .mStatus;
    Sleep(status == 200 ? 0 : 0.3);
  }
  record.Line("Retire.Begin of ", retired->mName, ": status ", status);
  if (status != 200) {
    Fleet::Stop("the retirement was not acknowledged");
  }
  const double begun = Now();
  if (trouble) {
    LoseDisk(fleet, *leader);
    record.Line(leader->mName, ", which leads, has lost its disk");
  }
  bool back = !trouble;
  bool completed = false;
  std::string state;
  for (size_t at = 0; Now() < begun + kRetire && !completed; ++at) {
    if (!back && Now() > begun + kDown) {
      fleet.Start(*leader, false);
      back = true;
    }
    const Answer answer =
      Call(entries[at % 3]->mIp, kControlPort, "GET",
           "/v1/Retire.Read/" + retired->mName, {}, "", 1.0);
    const std::string seen = std::to_string(answer.mStatus) + " " + answer.mBody;
    if (seen != state) {
      record.Line("Retire.Read at ", entries[at % 3]->mName, ": ", seen);
      state = seen;
    }
    completed = answer.mBody.find("\"completed\"") != std::string::npos;
    Sleep(completed ? 0 : kPoll);
  }
  if (completed) {
    record.Line(retired->mName, " is removed with its disk");
    LoseDisk(fleet, *retired);
  }
  if (!back) {
    Sleep(begun + kDown - Now());
    fleet.Start(*leader, false);
  }
  const double end = Now() + kRecovery;
  bool plan = false;
  bool results = false;
  for (size_t at = 0; Now() < end + kContact + 3 && !(plan && results);
       ++at) {
    const std::string body = ReadPlan(fleet, at, status);
    plan = plan || (status == 200 && body.find("r-batch") != std::string::npos);
    record.Line("Config.Read at ", entries[at % 3]->mName, ": status ", status);
    const Answer answer =
      Call(entries[at % 3]->mIp, kFrontPort, "GET",
           "/v1/lots/" + job + "?after=0", JobHeaders(), "", 2.0);
    results = results || answer.mStatus == 200;
    record.Line("results of the batch job at ", entries[at % 3]->mName,
                ": status ", answer.mStatus);
    Sleep(0.3);
  }
  std::printf("round %s: said to be emptied: %s; configuration read back: %s, results of "
              "the batch job: %s\n",
              aWords[2], completed ? "yes" : "no", plan ? "yes" : "no",
              results ? "yes" : "no");
  workers.clear();
  return plan && results ? 0 : 1;
}
