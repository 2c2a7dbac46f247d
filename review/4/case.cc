// A front machine's process is killed while it passes on streams that have
// neither a length nor chunks. Checks that no client takes a stream that ended
// early for a complete one.

#include "../standin/fleet.hpp"

using namespace standin;

namespace {

constexpr int kEvents = 38;
constexpr double kPause = 0.04; // between events
constexpr int kClients = 8;

std::string
Event(const std::string& aId, int aAt)
{
  return "id: " + std::to_string(aAt) + "\ndata: " + aId + " piece " +
         std::to_string(aAt) + "\n\n";
}

std::string
WholeBody(const std::string& aId)
{
  std::string body;
  for (int at = 1; at <= kEvents; ++at) {
    body += Event(aId, at);
  }
  return body;
}

// The answer has no length and ends with its connection.
void
Stream(Worker& aWorker, WorkerCall& aCall)
{
  Record& record = aWorker.InFleet().Log();
  record.Line("worker ", aWorker.Id(), " runs ", aCall.mId);
  bool open = SendAll(aCall.mSocket,
                      Head(aCall.mId,
                           "Content-Type: text/event-stream\r\n"
                           "Connection: close\r\n"));
  int at = 1;
  for (; at <= kEvents && open; ++at) {
    Sleep(kPause);
    open = SendAll(aCall.mSocket, Event(aCall.mId, at));
  }
  record.Line("worker ", aWorker.Id(), " ends ", aCall.mId, " after ", at - 1,
              " events");
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
  std::vector<std::unique_ptr<Worker>> workers;
  fleet.StartAll();
  for (size_t at = 0; at < 3; ++at) {
    workers.push_back(std::make_unique<Worker>(
      fleet, "huvo11a", fleet.WorkerIp(at), Fleet::Zone(at), 8, Stream));
  }
  if (!fleet.Configure(Plan(1), 20)) {
    Fleet::Stop("no configuration was acknowledged");
  }
  Sleep(10 - Now()); // traffic starts 10 s after the machines do
  Node& entry = *fleet.Of("entry")[0];
  if (!fleet.Ready(entry)) {
    Fleet::Stop("the front machine is not ready");
  }
  std::vector<Answer> answers(kClients);
  std::vector<std::string> ids(kClients);
  std::vector<std::thread> clients;
  for (int at = 0; at < kClients; ++at) {
    ids[at] = NewId();
    clients.emplace_back([&, at] {
      Sleep(0.05 * at);
      record.Line("client sends ", ids[at], " to ", entry.mName);
      answers[at] = Call(entry.mIp, kFrontPort, "POST", "/pufi791/2f",
                         ClientHeaders(ids[at], 5000), "prompt of " + ids[at],
                         5.0);
    });
  }
  Sleep(1.2);
  if (trouble) {
    record.Line("SIGKILL of ", entry.mName);
    entry.mProgram.End();
    Sleep(0.5);
    fleet.Start(entry, false);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int complete = 0;
  int broken = 0;
  for (int at = 0; at < kClients; ++at) {
    const Answer& answer = answers[at];
    const std::string whole = WholeBody(ids[at]);
    const bool success = answer.mStatus / 100 == 2 &&
                         answer.Header("server-signature") == SignatureOf(ids[at]);
    const bool ended = answer.mEnd == End::eWhole || answer.mEnd == End::eClosed;
    const bool partial = answer.mBody.size() >= 2 &&
                         answer.mBody.compare(answer.mBody.size() - 2, 2, "\n\n") != 0;
    record.Line("client got ", ids[at], ": status ", answer.mStatus, ", ",
                answer.mBody.size(), " of ", whole.size(), " bytes, ",
                EndName(answer.mEnd), partial ? ", inside an event" : "");
    complete += success && ended && answer.mBody == whole ? 1 : 0;
    if (success && ended && !partial && answer.mBody != whole) {
      record.Line("BROKEN: ", ids[at],
                  " ended early and looks complete to its client");
      ++broken;
    }
  }
  record.Line(complete, " complete, ", broken, " broken");
  std::printf("%d of %d streams complete, %d ended early and look complete\n",
              complete, kClients, broken);
  workers.clear();
  if (!trouble && complete != kClients) {
    return broken > 0 ? 1 : 2;
  }
  return broken > 0 ? 1 : 0;
}
