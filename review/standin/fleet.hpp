// Stand-ins for the users' platform: a fleet of the project's own processes on
// loopback, started with the command lines of deploy/system.toml, and the
// model workers, clients and operator around it. One thread for each
// connection; real clock; every address is a loopback address.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace standin {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline double
Now()
{
  static const Clock::time_point begin = Clock::now();
  return std::chrono::duration<double>(Clock::now() - begin).count();
}

inline void
Sleep(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

// What was sent, answered and run, with the seconds since the start.
class Record
{
public:
  explicit Record(const std::string& aPath, bool aAppend = false)
    : mFile(aPath, aAppend ? std::ios::app : std::ios::trunc)
  {
  }
  template<class... Parts>
  void Line(const Parts&... aParts)
  {
    std::ostringstream text;
    (text << ... << aParts);
    const std::lock_guard lock(mMutex);
    char at[32];
    std::snprintf(at, sizeof(at), "%8.3f ", Now());
    mFile << at << text.str() << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline std::string
NewId()
{
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx", (unsigned long long)random());
  return text;
}

inline std::string
Lower(std::string aText)
{
  for (char& one : aText) {
    one = static_cast<char>(tolower(static_cast<unsigned char>(one)));
  }
  return aText;
}

inline std::string
Base64(const std::string& aBytes)
{
  static const char* kSet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t at = 0; at < aBytes.size(); at += 3) {
    uint32_t value = 0;
    const size_t have = std::min<size_t>(3, aBytes.size() - at);
    for (size_t one = 0; one < 3; ++one) {
      value = value << 8 |
              (one < have ? static_cast<unsigned char>(aBytes[at + one]) : 0);
    }
    for (size_t one = 0; one < 4; ++one) {
      out.push_back(one <= have ? kSet[value >> (18 - 6 * one) & 63] : '=');
    }
  }
  return out;
}

inline sockaddr_in
AddressOf(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

inline bool
SendAll(int aSocket, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t one =
      send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (one <= 0) {
      return false;
    }
    sent += static_cast<size_t>(one);
  }
  return true;
}

struct Message
{
  std::string mMethod, mPath; // requests
  int mStatus = 0;            // answers
  std::multimap<std::string, std::string> mHeaders; // names in lower case
  std::string mBody;
  std::string Header(const std::string& aName) const
  {
    auto found = mHeaders.find(Lower(aName));
    return found == mHeaders.end() ? std::string() : found->second;
  }
};

enum class End
{
  eWhole,    // the length or the last chunk was reached
  eClosed,   // orderly end of the connection, where that ends the answer
  eCut,      // orderly end of the connection inside the answer
  eReset,    // an error of the connection
  eTimeout,  // nothing more came in time
  eNoAnswer, // ended before the head was complete
};

inline const char*
EndName(End aEnd)
{
  switch (aEnd) {
    case End::eWhole:
      return "whole";
    case End::eClosed:
      return "ended with its connection, in order";
    case End::eCut:
      return "cut off";
    case End::eReset:
      return "reset";
    case End::eTimeout:
      return "timeout";
    default:
      return "no answer";
  }
}

// Reads one HTTP message from a socket.
class Reader
{
public:
  explicit Reader(int aSocket)
    : mSocket(aSocket)
  {
  }
  // 1: bytes came, 0: orderly end, -1: error, -2: timeout.
  int More(double aUntil)
  {
    const double left = aUntil - Now();
    pollfd one{ mSocket, POLLIN, 0 };
    if (left <= 0 || poll(&one, 1, static_cast<int>(left * 1000) + 1) <= 0) {
      return -2;
    }
    char bytes[65536];
    const ssize_t count = recv(mSocket, bytes, sizeof(bytes), 0);
    if (count > 0) {
      mBytes.append(bytes, static_cast<size_t>(count));
      return 1;
    }
    return count == 0 ? 0 : -1;
  }
  // True if a whole head is there; reads on until then.
  int Head(Message& aMessage, double aUntil)
  {
    size_t end;
    while ((end = mBytes.find("\r\n\r\n")) == std::string::npos) {
      const int more = More(aUntil);
      if (more != 1) {
        return more;
      }
    }
    std::istringstream lines(mBytes.substr(0, end + 2));
    mBytes.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    std::string word;
    first >> word;
    if (word.rfind("HTTP/", 0) == 0) {
      first >> aMessage.mStatus;
    } else {
      aMessage.mMethod = word;
      first >> aMessage.mPath;
    }
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        size_t at = colon + 1;
        while (at < line.size() && line[at] == ' ') {
          ++at;
        }
        aMessage.mHeaders.emplace(Lower(line.substr(0, colon)),
                                  line.substr(at));
      }
    }
    return 1;
  }
  static End EndOf(int aMore, bool aByClose)
  {
    return aMore == -1   ? End::eReset
           : aMore == -2 ? End::eTimeout
           : aByClose    ? End::eClosed
                         : End::eCut;
  }
  // aOnBytes: called with all of the body so far whenever it has grown.
  End Body(Message& aMessage,
           double aUntil,
           bool aAnswer,
           const std::function<void(const std::string&)>& aOnBytes = {})
  {
    const auto tell = [&] {
      if (aOnBytes) {
        aOnBytes(aMessage.mBody);
      }
    };
    if (Lower(aMessage.Header("transfer-encoding")) == "chunked") {
      while (true) {
        size_t line;
        while ((line = mBytes.find("\r\n")) == std::string::npos) {
          const int more = More(aUntil);
          if (more != 1) {
            return EndOf(more, false);
          }
        }
        const size_t size = std::stoul(mBytes.substr(0, line), nullptr, 16);
        while (mBytes.size() < line + 2 + size + 2) {
          const int more = More(aUntil);
          if (more != 1) {
            return EndOf(more, false);
          }
        }
        aMessage.mBody += mBytes.substr(line + 2, size);
        mBytes.erase(0, line + 2 + size + 2);
        if (size == 0) {
          return End::eWhole;
        }
        tell();
      }
    }
    const std::string length = aMessage.Header("content-length");
    const bool byClose = length.empty() && aAnswer;
    const size_t size = length.empty() ? 0 : std::stoul(length);
    while (true) {
      if (byClose) {
        aMessage.mBody += mBytes;
        mBytes.clear();
        tell();
      } else if (mBytes.size() >= size) {
        aMessage.mBody = mBytes.substr(0, size);
        mBytes.erase(0, size);
        return End::eWhole;
      }
      const int more = More(aUntil);
      if (more != 1) {
        return EndOf(more, byClose);
      }
    }
  }

private:
  int mSocket;
  std::string mBytes;
};

struct Answer : Message
{
  End mEnd = End::eNoAnswer;
};

// One request on a new connection.
inline Answer
Call(const std::string& aIp,
     int aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::vector<std::pair<std::string, std::string>>& aHeaders,
     const std::string& aBody,
     double aTimeout,
     const std::function<void(const std::string&)>& aOnBytes = {})
{
  Answer answer;
  const double until = Now() + aTimeout;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(aIp, aPort);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    std::string text = aMethod + " " + aPath + " HTTP/1.1\r\n";
    bool host = false;
    for (const auto& [name, value] : aHeaders) {
      text += name + ": " + value + "\r\n";
      host = host || name == "Host";
    }
    if (!host) {
      text += "Host: " + aIp + "\r\n";
    }
    if (!aBody.empty() || aMethod == "POST") {
      text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
    }
    text += "\r\n" + aBody;
    Reader reader(socket);
    if (SendAll(socket, text) && reader.Head(answer, until) == 1) {
      answer.mEnd = reader.Body(answer, until, true, aOnBytes);
    }
  }
  close(socket);
  return answer;
}

// A process of the project.
class Program
{
public:
  ~Program() { End(); }
  void Start(const std::vector<std::string>& aWords, const std::string& aLog)
  {
    const pid_t parent = getpid();
    mId = fork();
    if (mId != 0) {
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(1);
    }
    const int log =
      open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, 1);
    dup2(log, 2);
    std::vector<std::string> words = aWords;
    std::vector<char*> raw;
    for (std::string& word : words) {
      raw.push_back(word.data());
    }
    raw.push_back(nullptr);
    execv(raw[0], raw.data());
    _exit(1);
  }
  void Signal(int aSignal)
  {
    if (mId > 0) {
      kill(mId, aSignal);
    }
  }
  void End()
  {
    if (mId > 0) {
      kill(mId, SIGKILL);
      waitpid(mId, nullptr, 0);
      mId = -1;
    }
  }
  bool Running()
  {
    if (mId > 0 && waitpid(mId, nullptr, WNOHANG) == mId) {
      mId = -1;
    }
    return mId > 0;
  }
  pid_t Id() const { return mId; }

private:
  pid_t mId = -1;
};

constexpr int kPeerPort = 7660;
constexpr int kFrontPort = 8405;
constexpr int kReadyPort = 8406;
constexpr int kControlPort = 8407;
constexpr int kWorkerPort = 8080;

struct Node
{
  std::string mRole, mName, mIp, mZone, mApp;
  Program mProgram;
};

// Addresses are 127.x.y.n, where x and y follow from the process id.
class Fleet
{
public:
  Fleet(Record& aRecord, const std::string& aRoot)
    : mRecord(aRecord)
    , mRoot(aRoot)
  {
    const int id = getpid();
    mNet = "127." + std::to_string(16 + id / 250 % 200) + "." +
           std::to_string(id % 250) + ".";
    const char* base = getenv("TMPDIR");
    std::string path =
      std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
    if (mkdtemp(path.data()) == nullptr) {
      Stop("no temporary folder");
    }
    mFolder = path;
    Running() = this;
    ReadRunLines();
    std::thread([] {
      Sleep(kLongest);
      Stop("it took too long");
    }).detach();
  }
  ~Fleet()
  {
    Running() = nullptr;
    End();
  }
  [[noreturn]] static void Stop(const std::string& aWhy)
  {
    std::printf("the case couldn't run: %s\n", aWhy.c_str());
    std::fflush(stdout);
    if (Running() != nullptr) {
      Running()->End();
    }
    std::_Exit(2);
  }
  std::string Ip(int aLast) const { return mNet + std::to_string(aLast); }
  static const char* Zone(size_t aAt)
  {
    static const char* kZones[] = { "vest-a", "vest-b", "vest-c" };
    return kZones[aAt % 3];
  }
  // Machines at .1 and following; workers at .101 and following.
  void Add(const std::string& aRole, size_t aCount)
  {
    for (size_t at = 0; at < aCount; ++at) {
      auto node = std::make_unique<Node>();
      node->mRole = aRole;
      node->mName = aRole + "-" + Zone(at) + "-" + std::to_string(at);
      node->mIp = Ip(static_cast<int>(mNodes.size()) + 1);
      node->mZone = Zone(at);
      if (aRole == "node") {
        node->mApp = WorkerIp(at) + ":" + std::to_string(kWorkerPort);
      }
      mNodes.push_back(std::move(node));
    }
  }
  // The control process that leads, by its own metrics; nullptr: none.
  Node* Leader()
  {
    for (Node* node : Of("control")) {
      const Answer answer =
        Call(node->mIp, 9464, "GET", "/metrics", {}, "", 1.0);
      if (answer.mBody.find("caraway_control_is_leader 1") !=
          std::string::npos) {
        return node;
      }
    }
    return nullptr;
  }
  std::string WorkerIp(size_t aAt) const
  {
    return Ip(101 + static_cast<int>(aAt));
  }
  std::vector<Node*> Of(const std::string& aRole)
  {
    std::vector<Node*> nodes;
    for (auto& node : mNodes) {
      if (node->mRole == aRole) {
        nodes.push_back(node.get());
      }
    }
    return nodes;
  }
  void Start(Node& aNode, bool aFirst)
  {
    std::string seeds;
    size_t count = 0;
    for (Node* entry : Of("entry")) {
      if (count++ < 3) {
        seeds += (seeds.empty() ? "" : ",") + entry->mIp + ":" +
                 std::to_string(kControlPort);
      }
    }
    const auto port = [&](int aPort) {
      return aNode.mIp + ":" + std::to_string(aPort);
    };
    const std::map<std::string, std::string> values{
      { "nodeName", aNode.mName },
      { "zone", aNode.mZone },
      { "region", "dk-vest" },
      { "ip", aNode.mIp },
      { "portRange.0", std::to_string(kPeerPort) },
      { "seeds", seeds },
      { "bootstrap", aFirst ? "true" : "false" },
      { "bounds.failClosed", "false" },
      { "bounds.coldOverrun", "1.5" },
      { "bounds.coldSlack", "5" },
      { "listen.front", port(kFrontPort) },
      { "listen.readyAddr", port(kReadyPort) },
      { "listen.control", port(kControlPort) },
      { "dataDir", mFolder + "/" + aNode.mName },
      { "faultTolerance.machines", "1" },
      { "app", aNode.mApp },
    };
    std::istringstream words(mRun.at(aNode.mRole));
    std::vector<std::string> command;
    std::string word;
    while (words >> word) {
      size_t open;
      while ((open = word.find("{{")) != std::string::npos) {
        const size_t end = word.find("}}", open);
        word.replace(open, end + 2 - open,
                     values.at(word.substr(open + 2, end - open - 2)));
      }
      command.push_back(word);
    }
    command[0] = mRoot + "/" + command[0];
    if (access(command[0].c_str(), X_OK) != 0) {
      Stop("no program " + command[0] + "; run the build of the deploy file");
    }
    aNode.mProgram.Start(command, mFolder + "/" + aNode.mName + ".log");
    mRecord.Line("started ", aNode.mName, " at ", aNode.mIp);
  }
  void StartAll()
  {
    for (auto& node : mNodes) {
      Start(*node, true);
    }
  }
  // Sends a configuration until it is acknowledged.
  bool Configure(const Json& aPlan, double aFor)
  {
    const double until = Now() + aFor;
    const std::string text = aPlan.dump();
    for (size_t at = 0; Now() < until; ++at) {
      Node* entry = Of("entry")[at % Of("entry").size()];
      const Answer answer =
        Call(entry->mIp, kControlPort, "POST", "/v1/Config.Replace",
             { { "Content-Type", "application/json" } }, text, 2.0);
      if (answer.mStatus == 200) {
        mRecord.Line("configuration ", aPlan["version"].dump(),
                     " acknowledged by ", entry->mName);
        return true;
      }
      Sleep(0.3);
    }
    return false;
  }
  bool Ready(const Node& aEntry)
  {
    return Call(aEntry.mIp, kReadyPort, "GET", "/v1/readyz", {}, "", 1.0)
             .mStatus == 200;
  }
  const std::string& Folder() const { return mFolder; }
  Record& Log() { return mRecord; }

private:
  static constexpr double kLongest = 75;
  static Fleet*& Running()
  {
    static Fleet* fleet = nullptr;
    return fleet;
  }
  void End()
  {
    for (auto& node : mNodes) {
      node->mProgram.End();
    }
    if (getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(mFolder, ignored);
    } else {
      std::printf("logs: %s\n", mFolder.c_str());
    }
  }
  void ReadRunLines()
  {
    std::ifstream file(mRoot + "/deploy/system.toml");
    std::string line, role;
    while (std::getline(file, line)) {
      if (line.rfind("[roles.", 0) == 0) {
        role = line.substr(7, line.find(']') - 7);
      } else if (line.rfind("run = \"", 0) == 0) {
        mRun[role] = line.substr(7, line.rfind('"') - 7);
      }
    }
    if (mRun.size() < 3) {
      Stop("deploy/system.toml has other roles than this case expects");
    }
  }
  Record& mRecord;
  std::string mRoot, mFolder, mNet;
  std::map<std::string, std::string> mRun;
  std::vector<std::unique_ptr<Node>> mNodes;
};

// A request at a worker. The handler answers on mSocket and then closes
// nothing: the connection ends after it.
struct WorkerCall
{
  int mSocket = -1;
  Message mRequest;
  std::string mId;    // Attempt-Id
  uint64_t mAfter = 0; // Last-Event-Id
};

// A model worker or a plain service: answers calls and sends heartbeats. Calls
// and connections of a crashed one are reset, and its port has no listener.
class Worker
{
public:
  using Handler = std::function<void(Worker&, WorkerCall&)>;
  Worker(Fleet& aFleet,
         const std::string& aService,
         const std::string& aIp,
         const std::string& aZone,
         int aSlots,
         Handler aHandler)
    : mFleet(aFleet)
    , mService(aService)
    , mIp(aIp)
    , mZone(aZone)
    , mSlots(aSlots)
    , mHandler(std::move(aHandler))
  {
    Begin();
    mBeats = std::thread([this] { Beat(); });
  }
  ~Worker()
  {
    mEnding = true;
    Crash();
    mBeats.join();
    while (mThreads > 0) {
      Sleep(0.01);
    }
  }
  // A new incarnation under a new id.
  void Begin()
  {
    const std::lock_guard lock(mMutex);
    mId = "i-" + NewId().substr(0, 8);
    mBorn = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
    mSequence = 0;
    mBornAt = Now();
    mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = AddressOf(mIp, kWorkerPort);
    if (bind(mListener, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(mListener, 256) != 0) {
      Fleet::Stop("cannot listen for a worker at " + mIp);
    }
    mUp = true;
    ++mIncarnation;
    mFleet.Log().Line("worker ", mId, " of ", mService, " begins at ", mIp);
    std::thread([this, listener = mListener] { Accept(listener); }).detach();
    ++mThreads;
  }
  // False if it is down already.
  bool Crash()
  {
    const std::lock_guard lock(mMutex);
    if (!mUp) {
      return false;
    }
    mUp = false;
    ++mIncarnation;
    shutdown(mListener, SHUT_RDWR);
    const linger abortive{ 1, 0 };
    for (const int one : mSockets) {
      setsockopt(one, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
      // Ends the handler's writes; its close then resets the connection.
      shutdown(one, SHUT_RD);
    }
    mFleet.Log().Line("worker ", mId, " crashes");
    return true;
  }
  // False once the incarnation in which the call came has ended.
  bool Runs(uint64_t aIncarnation) const { return mIncarnation == aIncarnation; }
  uint64_t Incarnation() const { return mIncarnation; }
  bool Up() const { return mUp; }
  std::string Id()
  {
    const std::lock_guard lock(mMutex);
    return mId;
  }
  const std::string& Zone() const { return mZone; }
  Fleet& InFleet() { return mFleet; }

private:
  void Accept(int aListener)
  {
    while (true) {
      const int one = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (one < 0) {
        break;
      }
      const int on = 1;
      setsockopt(one, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      ++mThreads;
      std::thread([this, one] { Serve(one); }).detach();
    }
    close(aListener);
    --mThreads;
  }
  void Serve(int aSocket)
  {
    {
      const std::lock_guard lock(mMutex);
      mSockets.insert(aSocket);
    }
    WorkerCall call;
    call.mSocket = aSocket;
    Reader reader(aSocket);
    if (reader.Head(call.mRequest, Now() + 30) == 1 &&
        reader.Body(call.mRequest, Now() + 30, false) == End::eWhole && mUp) {
      call.mId = call.mRequest.Header("attempt-id");
      const std::string after = call.mRequest.Header("last-event-id");
      call.mAfter = after.empty() ? 0 : std::stoull(after);
      const std::string expected = call.mRequest.Header("expect-instance");
      if (call.mRequest.mPath == "/v1/report") {
        SendAll(aSocket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         "Content-Length: 2\r\n\r\n{}");
      } else if (call.mRequest.mPath == "/healthz") {
        SendAll(aSocket, "HTTP/1.1 200 OK\r\nInstance-Id: " + Id() +
                           "\r\nContent-Length: 0\r\n\r\n");
      } else if (!expected.empty() && expected != Id()) {
        SendAll(aSocket, "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1"
                         "\r\nContent-Length: 0\r\n\r\n");
      } else {
        mHandler(*this, call);
      }
    }
    const std::lock_guard lock(mMutex);
    mSockets.erase(aSocket);
    close(aSocket);
    --mThreads;
  }
  void Beat()
  {
    for (size_t at = 0; !mEnding; ++at) {
      if (mUp) {
        Json body{ { "service", mService },
                   { "address", mIp + ":" + std::to_string(kWorkerPort) },
                   { "zone", mZone },
                   { "version", "v1" },
                   { "slots", mSlots },
                   { "state", "ready" },
                   { "stage", "both" },
                   { "models", Json::array({ { { "name", "m" },
                                               { "version", 1 },
                                               { "adapters", Json::array() } } }) } };
        std::string id;
        {
          const std::lock_guard lock(mMutex);
          id = mId;
          body["callSeq"] = ++mSequence;
          body["born"] = mBorn;
          const double cold = mColdS - (Now() - mBornAt);
          body["coldLeftMs"] =
            mIncarnation > 1 && cold > 0 ? static_cast<int>(cold * 1000) : 0;
        }
        auto entries = mFleet.Of("entry");
        for (size_t more = 0; more < entries.size(); ++more) {
          Node* entry = entries[(at + more) % entries.size()];
          if (Call(entry->mIp, kControlPort, "POST",
                   "/v1/Instances.Heartbeat/" + id,
                   { { "Content-Type", "application/json" } }, body.dump(), 1.0)
                .mStatus == 200) {
            break;
          }
        }
      }
      const double next = Now() + 1.2;
      while (!mEnding && Now() < next) {
        Sleep(0.05);
      }
    }
  }

  Fleet& mFleet;
  std::string mService, mIp, mZone, mId;
  int mSlots;
  Handler mHandler;
  std::mutex mMutex;
  std::set<int> mSockets;
  int mListener = -1;
  int64_t mBorn = 0;
  uint64_t mSequence = 0;
  double mBornAt = 0;
  double mColdS = 3.0;
  std::atomic<bool> mUp{ false };
  std::atomic<bool> mEnding{ false };
  std::atomic<uint64_t> mIncarnation{ 0 };
  std::atomic<int> mThreads{ 0 };
  std::thread mBeats;
};

inline std::string
SignatureOf(const std::string& aId)
{
  return "sig." + aId;
}

inline std::string
Head(const std::string& aId, const std::string& aMore)
{
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + aId +
         "\r\nServer-Signature: " + SignatureOf(aId) + "\r\n" + aMore + "\r\n";
}

inline std::string
Chunk(const std::string& aBytes)
{
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

constexpr const char* kHost = "ficu95.example";
constexpr const char* kKey = "2b9wu3fexd9dnn2ctnfz";
constexpr const char* kTenant = "huka270";

// Configuration of a small deployment, after the example of PROTOCOL.
inline Json
Plan(uint64_t aVersion)
{
  Json plan;
  plan["version"] = aVersion;
  plan["routeTable"] = Json::array(
    { { { "name", "r-stream" },
        { "host", kHost },
        { "pathPrefix", "/pufi791/" },
        { "kind", "streaming" },
        { "timeoutMs", 5000 },
        { "sloMs", 300 },
        { "priority", 0 },
        { "service", "huvo11a" },
        { "maxAttempts", 1 },
        { "anonymous", false },
        { "sticky", true },
        { "resumable", false },
        { "gapTargetMs", 200 } },
      { { "name", "r-batch" },
        { "host", kHost },
        { "pathPrefix", "/pule252/" },
        { "kind", "batch" },
        { "timeoutMs", 15000 },
        { "sloMs", 400 },
        { "completionTargetMs", 18000 },
        { "queueTtlS", 60 },
        { "cap", 880000 },
        { "priority", 2 },
        { "service", "huvo11a" },
        { "maxAttempts", 3 },
        { "anonymous", false } } });
  plan["services"] = Json::array(
    { { { "name", "huvo11a" },
        { "healthPath", "/healthz" },
        { "maxConns", 640 },
        { "protocol", "h1" },
        { "tls", false },
        { "coldS", 3.0 },
        { "coldPerS", 23.0 },
        { "engine",
          { { "slots", 8 },
            { "kvCapacity", 72000 },
            { "kvBytes", 131072.0 },
            { "linkMbps", 550000.0 },
            { "moves", true },
            { "backups", true },
            { "stride", 7 },
            { "cap", 12 },
            { "pinMs", 4000.0 },
            { "holdMs", 2000.0 },
            { "handle_s", 5.0 },
            { "models", Json::array({ { { "name", "m" } } }) } } } } });
  plan["limits"] = { { "maxHeaderBytes", 16384 },
                     { "maxBodyBytes", 4194304 },
                     { "headerTimeoutMs", 3000 },
                     { "idleTimeoutMs", 15000 } };
  plan["tenants"] = Json::array({ { { "name", kTenant },
                                    { "apiKeys", Json::array({ kKey }) },
                                    { "priority", 1 },
                                    { "ratePerS", 91 },
                                    { "burst", 91 } } });
  return plan;
}

inline std::vector<std::pair<std::string, std::string>>
ClientHeaders(const std::string& aAttempt, int aDeadlineMs)
{
  return { { "Host", kHost },
           { "Attempt-Id", aAttempt },
           { "Model", "m" },
           { "Token-Usage", "450,266" },
           { "Prefix-Hash", "5c1e07a2:100,91bd3f06:100,e4402b7d:250" },
           { "Deadline-Ms", std::to_string(aDeadlineMs) },
           { "Authorization", std::string("Bearer ") + kKey } };
}

} // namespace standin
