// What the cases of this review share: the project's processes with the command
// lines of deploy/system.toml, and small stand-ins for the operator, workers and
// clients of ../given/kit/more/system/PROTOCOL.md. Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Headers = std::vector<std::pair<std::string, std::string>>;

inline int64_t
NowMs()
{
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - start)
    .count();
}

inline int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

inline std::string
Text(const char* aFormat, ...)
{
  va_list args;
  va_start(args, aFormat);
  char buffer[4096];
  vsnprintf(buffer, sizeof(buffer), aFormat, args);
  va_end(args);
  return buffer;
}

// The record of what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(fopen(aPath.c_str(), "w"))
  {
  }
  void Line(const std::string& aLine)
  {
    const std::lock_guard lock(mMutex);
    fprintf(mFile, "%8.3f %s\n", static_cast<double>(NowMs()) / 1000, aLine.c_str());
    fflush(mFile);
  }

private:
  std::mutex mMutex;
  FILE* mFile;
};

inline sockaddr_in
AddressOf(const std::string& aAddress)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  const size_t colon = aAddress.rfind(':');
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port = htons(static_cast<uint16_t>(atoi(aAddress.c_str() + colon + 1)));
  return out;
}

inline std::string
Lower(std::string aText)
{
  for (char& c : aText) {
    c = static_cast<char>(tolower(c));
  }
  return aText;
}

inline std::string
Find(const Headers& aHeaders, const char* aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (strcasecmp(name.c_str(), aName) == 0) {
      return value;
    }
  }
  return {};
}

// A connection with a buffer of what was read.
class Connection
{
public:
  explicit Connection(int aSocket = -1)
    : mSocket(aSocket)
  {
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  bool Connect(const std::string& aAddress, int aTimeoutMs, const std::string& aFrom = {})
  {
    mSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!aFrom.empty()) {
      const sockaddr_in from = AddressOf(aFrom + ":0");
      (void)bind(mSocket, reinterpret_cast<const sockaddr*>(&from), sizeof(from));
    }
    const sockaddr_in to = AddressOf(aAddress);
    fcntl(mSocket, F_SETFL, O_NONBLOCK);
    const int one = 1;
    setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (connect(mSocket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
      pollfd wait{ mSocket, POLLOUT, 0 };
      int error = 0;
      socklen_t size = sizeof(error);
      if (errno != EINPROGRESS || poll(&wait, 1, aTimeoutMs) != 1 ||
          getsockopt(mSocket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        Close();
        return false;
      }
    }
    return true;
  }
  void Close()
  {
    if (mSocket >= 0) {
      close(mSocket);
    }
    mSocket = -1;
  }
  // Closes with a reset.
  void Reset()
  {
    if (mSocket >= 0) {
      const linger now{ 1, 0 };
      setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    Close();
  }
  bool Send(const std::string& aBytes, int aTimeoutMs = 5000)
  {
    size_t sent = 0;
    const int64_t end = NowMs() + aTimeoutMs;
    while (sent < aBytes.size()) {
      const ssize_t some =
        send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (some > 0) {
        sent += static_cast<size_t>(some);
        continue;
      }
      if (some < 0 && errno != EAGAIN) {
        return false;
      }
      pollfd wait{ mSocket, POLLOUT, 0 };
      if (NowMs() >= end || poll(&wait, 1, static_cast<int>(end - NowMs())) < 1) {
        return false;
      }
    }
    return true;
  }
  // Reads some bytes; 1: read, 0: end, -1: reset, -2: time-out.
  int Read(int aTimeoutMs)
  {
    pollfd wait{ mSocket, POLLIN, 0 };
    if (poll(&wait, 1, std::max(0, aTimeoutMs)) < 1) {
      return -2;
    }
    char buffer[65536];
    const ssize_t some = recv(mSocket, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (some > 0) {
      mIn.append(buffer, static_cast<size_t>(some));
      return 1;
    }
    return some == 0 ? 0 : errno == EAGAIN ? -2 : -1;
  }
  // False if nothing more can come: the peer has closed.
  bool PeerOpen()
  {
    char byte;
    const ssize_t some = recv(mSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return some > 0 || (some < 0 && errno == EAGAIN);
  }
  int mSocket;
  std::string mIn;
};

struct Message
{
  std::string mStart; // the first line
  Headers mHeaders;
  std::string mBody;
  bool mWhole = false;   // complete by its own framing, or ended in order without one
  int mEnd = 1;          // as Connection::Read
  int mStatus = 0;       // of a response
  int64_t mFirstMs = -1; // when the head had come
};

// Reads one message. aOnBody gets each piece of the body.
inline Message
ReadMessage(Connection& aConnection,
            int64_t aEndMs,
            bool aResponse,
            const std::function<void(const std::string&)>& aOnBody = {})
{
  Message out;
  const auto more = [&] {
    out.mEnd = aConnection.Read(static_cast<int>(aEndMs - NowMs()));
    return out.mEnd == 1;
  };
  size_t head;
  while ((head = aConnection.mIn.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return out;
    }
  }
  out.mFirstMs = NowMs();
  std::string lines = aConnection.mIn.substr(0, head + 2);
  aConnection.mIn.erase(0, head + 4);
  size_t at = lines.find("\r\n");
  out.mStart = lines.substr(0, at);
  if (aResponse && out.mStart.size() > 12) {
    out.mStatus = atoi(out.mStart.c_str() + 9);
  }
  for (at += 2; at < lines.size();) {
    const size_t end = lines.find("\r\n", at);
    const std::string line = lines.substr(at, end - at);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      out.mHeaders.emplace_back(line.substr(0, colon), line.substr(value));
    }
    at = end + 2;
  }
  const auto body = [&](const std::string& aPiece) {
    out.mBody += aPiece;
    if (aOnBody && !aPiece.empty()) {
      aOnBody(aPiece);
    }
  };
  if (Lower(Find(out.mHeaders, "Transfer-Encoding")) == "chunked") {
    while (true) {
      size_t end;
      while ((end = aConnection.mIn.find("\r\n")) == std::string::npos) {
        if (!more()) {
          return out;
        }
      }
      const size_t size = strtoul(aConnection.mIn.c_str(), nullptr, 16);
      while (aConnection.mIn.size() < end + 2 + size + 2) {
        if (!more()) {
          return out;
        }
      }
      body(aConnection.mIn.substr(end + 2, size));
      aConnection.mIn.erase(0, end + 2 + size + 2);
      if (size == 0) {
        out.mWhole = true;
        return out;
      }
    }
  }
  const std::string stated = Find(out.mHeaders, "Content-Length");
  if (!stated.empty() || !aResponse) {
    const size_t size = strtoul(stated.c_str(), nullptr, 10);
    while (aConnection.mIn.size() < size) {
      if (!more()) {
        return out;
      }
    }
    body(aConnection.mIn.substr(0, size));
    aConnection.mIn.erase(0, size);
    out.mWhole = true;
    return out;
  }
  do {
    body(std::exchange(aConnection.mIn, {}));
  } while (more());
  out.mWhole = out.mEnd == 0;
  return out;
}

inline std::string
Head(const std::string& aStart, const Headers& aHeaders)
{
  std::string out = aStart + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    out += name + ": " + value + "\r\n";
  }
  return out + "\r\n";
}

inline std::string
RequestText(const std::string& aMethod,
            const std::string& aPath,
            Headers aHeaders,
            const std::string& aBody)
{
  aHeaders.emplace_back("Content-Length", std::to_string(aBody.size()));
  return Head(aMethod + " " + aPath + " HTTP/1.1", aHeaders) + aBody;
}

// One request on a connection of its own. Status 0: no connection or no answer.
inline Message
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const Headers& aHeaders,
     const std::string& aBody,
     int aTimeoutMs,
     const std::function<void(const std::string&)>& aOnBody = {})
{
  Connection connection;
  const int64_t end = NowMs() + aTimeoutMs;
  if (!connection.Connect(aAddress, std::min(aTimeoutMs, 1000)) ||
      !connection.Send(RequestText(aMethod, aPath, aHeaders, aBody), aTimeoutMs)) {
    return {};
  }
  return ReadMessage(connection, end, true, aOnBody);
}

inline std::string
NewId()
{
  static std::mutex mutex;
  static std::mt19937_64 random{ std::random_device{}() };
  const std::lock_guard lock(mutex);
  return Text("%016llx", static_cast<unsigned long long>(random()));
}

// ---------------------------------------------------------------- processes

class Process
{
public:
  std::vector<std::string> mArguments;
  std::vector<std::string> mEnvironment;
  std::string mLog;
  std::atomic<pid_t> mPid{ -1 };
  void Start()
  {
    std::vector<char*> arguments;
    for (std::string& one : mArguments) {
      arguments.push_back(one.data());
    }
    arguments.push_back(nullptr);
    std::vector<std::string> environment = mEnvironment;
    environment.push_back("PATH=/usr/bin:/bin");
    std::vector<char*> variables;
    for (std::string& one : environment) {
      variables.push_back(one.data());
    }
    variables.push_back(nullptr);
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) {
        _exit(1);
      }
      const int log = open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      execve(arguments[0], arguments.data(), variables.data());
      _exit(127);
    }
    mPid = pid;
  }
  void Signal(int aSignal)
  {
    if (mPid > 0) {
      kill(mPid, aSignal);
    }
  }
  // True if it has ended by itself; it is then no longer ours.
  bool HasEnded(int* aStatus = nullptr)
  {
    int status = 0;
    if (mPid > 0 && waitpid(mPid, &status, WNOHANG) == mPid) {
      mPid = -1;
      if (aStatus != nullptr) {
        *aStatus = status;
      }
      return true;
    }
    return mPid <= 0;
  }
  void Kill()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
      mPid = -1;
    }
  }
  // Resident memory in MB, now and at its peak; -1 if the process is gone.
  double Memory(bool aPeak) const
  {
    FILE* file = fopen(Text("/proc/%d/status", mPid.load()).c_str(), "r");
    if (file == nullptr) {
      return -1;
    }
    char line[256];
    double found = -1;
    while (fgets(line, sizeof(line), file) != nullptr) {
      if (strncmp(line, aPeak ? "VmHWM:" : "VmRSS:", 6) == 0) {
        found = atof(line + 6) / 1024;
      }
    }
    fclose(file);
    return found;
  }
};

struct FleetSettings
{
  int mEntries = 3;
  int mControls = 3;
  int mNodes = 3; // beside as many workers of the first service
  int mEntryMemoryMb = 110;
  int mControlMemoryMb = 140;
  int mNodeMemoryMb = 192;
  std::string mProgram = "target/caraway-platform";
};

// The machines of a small deployment: front, storage and side machines, one of
// each in each zone.
class Fleet
{
public:
  FleetSettings mSettings;
  std::string mFolder;
  int mNet; // second byte of the addresses
  std::vector<std::unique_ptr<Process>> mEntries, mControls, mNodes;

  explicit Fleet(FleetSettings aSettings)
    : mSettings(std::move(aSettings))
  {
    signal(SIGPIPE, SIG_IGN);
    char folder[] = "/tmp/caraway-review-XXXXXX";
    mFolder = mkdtemp(folder);
    mNet = FreeNet();
    const std::string seeds = [&] {
      std::string text;
      for (int i = 0; i < std::min(3, mSettings.mEntries); ++i) {
        text += (i > 0 ? "," : "") + EntryIp(i) + ":8407";
      }
      return text;
    }();
    const auto common = [&](const std::string& aName, const std::string& aIp, int aAt) {
      return std::vector<std::string>{ "--instance=" + aName,
                                       "--zone=" + Zone(aAt),
                                       "--region=amman",
                                       "--peer=" + aIp + ":7660",
                                       "--seeds=" + seeds,
                                       "--seed-port=7660",
                                       "--fail-closed=false" };
    };
    const auto add = [&](auto& aList,
                         const std::string& aRole,
                         std::vector<std::string> aArguments,
                         const std::vector<std::string>& aMore,
                         std::vector<std::string> aEnvironment,
                         const std::string& aName) {
      auto process = std::make_unique<Process>();
      process->mArguments = { mSettings.mProgram, aRole };
      for (const std::vector<std::string>* list : { &std::as_const(aArguments), &aMore }) {
        process->mArguments.insert(process->mArguments.end(), list->begin(), list->end());
      }
      process->mEnvironment = std::move(aEnvironment);
      process->mLog = mFolder + "/" + aName + ".log";
      aList.push_back(std::move(process));
    };
    const std::vector<std::string> cold{ "--cold-factor=1.5", "--cold-slack=5" };
    for (int i = 0; i < mSettings.mEntries; ++i) {
      const std::string name = "frontend-" + Zone(i) + "-" + std::to_string(i);
      const std::string ip = EntryIp(i);
      add(mEntries,
          "entry",
          common(name, ip, i),
          { "--first-start=true",      "--cold-factor=1.5",
            "--cold-slack=5",          "--rate-window-s=5",
            "--rate-overrun=0.1",      "--rate-slack=20",
            "--exposure-share=",       "--exposure-slack=",
            "--rollback-ms=",          "--callers=" + ip + ":8405",
            "--ready=" + ip + ":8406", "--operators=" + ip + ":8407",
            "--reuse-connections=true", "--prefix-locality=true",
            "--metrics=" + ip + ":9464" },
          { "CARAWAY_PLATFORM_GRACE=8",
            Text("CARAWAY_PLATFORM_MEMORY_MB=%d", mSettings.mEntryMemoryMb),
            "CARAWAY_PLATFORM_MAX_FDS=4100" },
          name);
    }
    for (int i = 0; i < mSettings.mControls; ++i) {
      const std::string name = "storage-" + Zone(i) + "-" + std::to_string(i);
      const std::string ip = ControlIp(i);
      add(mControls,
          "control",
          common(name, ip, i),
          { "--http=" + ip + ":9464",
            "--first-start=true",
            "--rate-window-s=5",
            "--rate-overrun=0.1",
            "--rate-slack=20",
            "--exposure-share=",
            "--data=" + mFolder + "/" + name,
            "--tolerate=1" },
          { Text("CARAWAY_PLATFORM_MEMORY_MB=%d", mSettings.mControlMemoryMb) },
          name);
    }
    for (int i = 0; i < mSettings.mNodes; ++i) {
      const std::string name = "side-" + Zone(i) + "-" + std::to_string(i);
      const std::string ip = NodeIp(i);
      add(mNodes,
          "node",
          common(name, ip, i),
          { "--http=" + ip + ":9464", cold[0], cold[1], "--target=" + ip + ":8080" },
          { "CARAWAY_PLATFORM_GRACE=8",
            Text("CARAWAY_PLATFORM_MEMORY_MB=%d", mSettings.mNodeMemoryMb) },
          name);
    }
  }
  ~Fleet()
  {
    for (auto* list : { &mEntries, &mControls, &mNodes }) {
      for (auto& process : *list) {
        process->Kill();
      }
    }
    if (getenv("KEEP") == nullptr) {
      (void)!system(("rm -rf '" + mFolder + "'").c_str());
    } else {
      printf("logs in %s\n", mFolder.c_str());
    }
  }
  // A part of the loopback addresses that nobody uses: 127.N.0.0/16.
  static int FreeNet()
  {
    std::random_device random;
    while (true) {
      const int net = 20 + static_cast<int>(random() % 200);
      const auto isFree = [&](const std::string& aAddress) {
        const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = AddressOf(aAddress);
        const bool free = bind(probe, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
        close(probe);
        return free;
      };
      if (isFree(Text("127.%d.1.1:8407", net)) && isFree(Text("127.%d.2.1:7660", net)) &&
          isFree(Text("127.%d.3.1:8080", net)) && isFree(Text("127.%d.4.1:8080", net))) {
        return net;
      }
    }
  }
  static std::string Zone(int aAt) { return std::string("amman-") + "abc"[aAt % 3]; }
  std::string EntryIp(int aAt) const { return Text("127.%d.1.%d", mNet, aAt + 1); }
  std::string ControlIp(int aAt) const { return Text("127.%d.2.%d", mNet, aAt + 1); }
  std::string NodeIp(int aAt) const { return Text("127.%d.3.%d", mNet, aAt + 1); }
  std::string OtherIp(int aAt) const { return Text("127.%d.4.%d", mNet, aAt + 1); }
  std::string Front(int aAt) const { return EntryIp(aAt) + ":8405"; }
  std::string Operators(int aAt) const { return EntryIp(aAt) + ":8407"; }
  void Start()
  {
    for (auto* list : { &mControls, &mEntries, &mNodes }) {
      for (auto& process : *list) {
        process->Start();
      }
    }
  }
  // As the platform starts a process again: bootstrap is false then.
  void Restart(Process& aProcess)
  {
    for (std::string& one : aProcess.mArguments) {
      if (one == "--first-start=true") {
        one = "--first-start=false";
      }
    }
    aProcess.Start();
  }
  bool IsReady(int aEntry) const
  {
    return Call(EntryIp(aEntry) + ":8406", "GET", "/v1/readyz", { { "Host", "x" } }, "", 1000)
             .mStatus == 200;
  }
  // Sends a configuration until it is acknowledged, to one machine after another.
  bool Configure(const std::string& aPlan, int64_t aForMs = 20000) const
  {
    const int64_t end = NowMs() + aForMs;
    for (int at = 0; NowMs() < end; ++at) {
      const Message reply = Call(Operators(at % mSettings.mEntries),
                                 "POST",
                                 "/v1/Config.Replace",
                                 { { "Host", "x" }, { "Content-Type", "application/json" } },
                                 aPlan,
                                 3000);
      if (reply.mStatus == 200) {
        return true;
      }
      SleepMs(200);
    }
    return false;
  }
  // The control process that answers as leader: the one that logs it last would
  // need its logs, so cases ask /metrics.
  std::string Metrics(const std::string& aIp) const
  {
    return Call(aIp + ":9464", "GET", "/metrics", { { "Host", "x" } }, "", 1000).mBody;
  }
};

// ---------------------------------------------------------------- workers

struct WorkerRequest
{
  Message mMessage;
  std::string mId; // Attempt-Id
  std::string mPath;
  std::string mMethod;
};

// A model worker or a plain one: answers by a function of the case.
class Worker
{
public:
  std::string mService, mIp, mZone, mVersion = "v1", mIncarnation;
  int mPort = 8080;
  int mSlots = 8;
  bool mModel = true; // "engine" fields in heartbeats
  int64_t mBorn = UnixMs();
  std::function<std::string()> mBeatAddress; // where heartbeats go
  std::atomic<int> mBeatMs{ 1000 };
  std::atomic<bool> mBeats{ true };
  std::atomic<bool> mDraining{ false };
  std::atomic<int> mColdMs{ 0 };
  std::atomic<int> mRunning{ 0 };
  // Called for each request that begins to run. Returns false if the connection
  // has been closed or must be.
  std::function<bool(Worker&, Connection&, const WorkerRequest&)> mOnRequest;

  ~Worker() { Crash(); }
  std::string Address() const { return mIp + ":" + std::to_string(mPort); }
  bool Start()
  {
    mStop = false;
    mSequence = 0;
    mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in at = AddressOf(Address());
    if (bind(mListener, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(mListener, 256) != 0) {
      perror("bind");
      return false;
    }
    mThreads.emplace_back([this] { Accept(); });
    mThreads.emplace_back([this] { Beat(); });
    return true;
  }
  // Ends as a process does that is killed: connections are reset, and the port
  // refuses.
  void Crash()
  {
    if (mListener < 0) {
      return;
    }
    mStop = true;
    shutdown(mListener, SHUT_RDWR);
    close(mListener);
    mListener = -1;
    {
      const std::lock_guard lock(mMutex);
      for (const auto& connection : mOpen) {
        const linger now{ 1, 0 };
        setsockopt(connection->mSocket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        // Wakes its handler, which closes it and so resets it.
        shutdown(connection->mSocket, SHUT_RD);
      }
    }
    for (std::thread& thread : mThreads) {
      if (thread.get_id() != std::this_thread::get_id()) {
        thread.join();
      } else {
        thread.detach();
      }
    }
    mThreads.clear();
    while (mHandlers > 0) {
      SleepMs(1);
    }
  }
  bool Stopped() const { return mStop; }
  std::string Stated() const
  {
    std::string body =
      Text("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\","
           "\"slots\":%d,\"state\":\"%s\",\"coldLeftMs\":%d,\"callSeq\":%d,\"born\":%lld",
           mService.c_str(),
           Address().c_str(),
           mZone.c_str(),
           mVersion.c_str(),
           mSlots,
           mDraining ? "draining" : "ready",
           mColdMs.load(),
           mSequence.load(),
           static_cast<long long>(mBorn));
    if (mModel) {
      body += ",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
    }
    return body + "}";
  }
  int SendBeat()
  {
    ++mSequence;
    return Call(mBeatAddress(),
                "POST",
                "/v1/Instances.Heartbeat/" + mIncarnation,
                { { "Host", "x" }, { "Content-Type", "application/json" } },
                Stated(),
                1000)
      .mStatus;
  }
  Headers AnswerHeaders(const WorkerRequest& aRequest) const
  {
    return { { "Attempt-Id", aRequest.mId },
             { "Server-Signature", "sig." + mIncarnation + "." + aRequest.mId },
             { "Instance-Load", Text("%d,0,%d", mRunning.load(), mSlots) } };
  }

private:
  void Beat()
  {
    int64_t next = 0;
    while (!mStop) {
      if (mBeats && NowMs() >= next) {
        for (int i = 0; i < 6 && !mStop && SendBeat() / 100 != 2; ++i) {
          SleepMs(50);
        }
        next = NowMs() + mBeatMs;
      }
      SleepMs(10);
    }
  }
  void Accept()
  {
    while (!mStop) {
      pollfd wait{ mListener, POLLIN, 0 };
      if (poll(&wait, 1, 50) < 1) {
        continue;
      }
      const int socket = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        continue;
      }
      const int one = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      auto connection = std::make_shared<Connection>(socket);
      {
        const std::lock_guard lock(mMutex);
        mOpen.insert(connection);
      }
      ++mHandlers;
      std::thread([this, connection] {
        Serve(*connection);
        const std::lock_guard lock(mMutex);
        mOpen.erase(connection);
        --mHandlers;
      }).detach();
    }
  }
  void Serve(Connection& aConnection)
  {
    while (!mStop) {
      WorkerRequest request;
      request.mMessage = ReadMessage(aConnection, NowMs() + 30000, false);
      if (!request.mMessage.mWhole) {
        return;
      }
      const std::string& line = request.mMessage.mStart;
      request.mMethod = line.substr(0, line.find(' '));
      request.mPath = line.substr(line.find(' ') + 1);
      request.mPath.resize(request.mPath.rfind(' '));
      request.mId = Find(request.mMessage.mHeaders, "Attempt-Id");
      if (request.mMethod == "GET" && request.mPath == "/v1/report") {
        const std::string body =
          Text("{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
               "\"busy\":false,\"callSeq\":%d,\"waiting\":0,\"running\":%d,\"kvUsed\":0,"
               "\"kvTotal\":72000,\"handles\":0,\"born\":%lld}",
               mSequence.load(),
               mRunning.load(),
               static_cast<long long>(mBorn));
        aConnection.Send(Head("HTTP/1.1 200 OK",
                              { { "Content-Type", "application/json" },
                                { "Content-Length", std::to_string(body.size()) } }) +
                         body);
        continue;
      }
      if (request.mMethod == "GET" && request.mPath == "/healthz") {
        aConnection.Send(Head(mDraining ? "HTTP/1.1 503 Service Unavailable" : "HTTP/1.1 200 OK",
                              { { "Instance-Id", mIncarnation },
                                { "Instance-Load", Text("%d,0,%d", mRunning.load(), mSlots) },
                                { "Content-Length", "0" } }));
        continue;
      }
      const std::string expected = Find(request.mMessage.mHeaders, "Expect-Instance");
      if (!expected.empty() && expected != mIncarnation) {
        aConnection.Send(Head("HTTP/1.1 421 Misdirected Request",
                              { { "Attempt-Id", request.mId },
                                { "Not-Executed", "1" },
                                { "Content-Length", "0" } }));
        continue;
      }
      if (request.mId.empty() || mRunning >= mSlots) {
        aConnection.Send(Head(request.mId.empty() ? "HTTP/1.1 400 Bad Request"
                                                  : "HTTP/1.1 503 Service Unavailable",
                              { { "Attempt-Id", request.mId },
                                { "Not-Executed", "1" },
                                { "Content-Length", "0" } }));
        continue;
      }
      ++mRunning;
      const bool keep = mOnRequest(*this, aConnection, request);
      --mRunning;
      if (!keep) {
        return;
      }
    }
  }

  int mListener = -1;
  std::atomic<bool> mStop{ false };
  std::atomic<int> mSequence{ 0 };
  std::atomic<int> mHandlers{ 0 };
  std::mutex mMutex;
  std::set<std::shared_ptr<Connection>> mOpen;
  std::vector<std::thread> mThreads;
};

inline std::string
Chunk(const std::string& aBytes)
{
  return Text("%zx\r\n", aBytes.size()) + aBytes + "\r\n";
}

inline std::string
Base64(const std::string& aBytes)
{
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    uint32_t group = static_cast<uint8_t>(aBytes[i]) << 16;
    group |= i + 1 < aBytes.size() ? static_cast<uint8_t>(aBytes[i + 1]) << 8 : 0;
    group |= i + 2 < aBytes.size() ? static_cast<uint8_t>(aBytes[i + 2]) : 0;
    out += kDigits[group >> 18];
    out += kDigits[group >> 12 & 63];
    out += i + 1 < aBytes.size() ? kDigits[group >> 6 & 63] : '=';
    out += i + 2 < aBytes.size() ? kDigits[group & 63] : '=';
  }
  return out;
}

// ---------------------------------------------------------------- configuration

struct Route
{
  std::string mName, mHost, mPrefix, mKind, mService;
  int mTimeoutMs = 5000, mGoalMs = 300, mPriority = 0, mAttempts = 2;
  bool mSticky = false, mResumable = false;
  int mGapMs = 0;
  int mCompletionMs = 0, mTtlS = 0;
  long mCap = 0;
};

inline std::string
PlanText(int aVersion,
         const std::vector<Route>& aRoutes,
         const std::vector<std::string>& aServices,
         const std::map<std::string, std::vector<std::string>>& aKeys,
         int aRate = 0)
{
  std::string out = Text("{\"version\":%d,\"routeTable\":[", aVersion);
  for (size_t i = 0; i < aRoutes.size(); ++i) {
    const Route& r = aRoutes[i];
    out += Text("%s{\"name\":\"%s\",\"host\":\"%s\",\"pathPrefix\":\"%s\",\"kind\":\"%s\","
                "\"timeoutMs\":%d,\"sloMs\":%d,\"priority\":%d,\"service\":\"%s\","
                "\"maxAttempts\":%d,\"anonymous\":false,\"sticky\":%s",
                i > 0 ? "," : "",
                r.mName.c_str(),
                r.mHost.c_str(),
                r.mPrefix.c_str(),
                r.mKind.c_str(),
                r.mTimeoutMs,
                r.mGoalMs,
                r.mPriority,
                r.mService.c_str(),
                r.mAttempts,
                r.mSticky ? "true" : "false");
    if (r.mKind == "streaming") {
      out += Text(",\"resumable\":%s,\"gapTargetMs\":%d", r.mResumable ? "true" : "false", r.mGapMs);
    }
    if (r.mKind == "batch") {
      out += Text(",\"completionTargetMs\":%d,\"queueTtlS\":%d,\"cap\":%ld",
                  r.mCompletionMs,
                  r.mTtlS,
                  r.mCap);
    }
    out += "}";
  }
  out += "],\"services\":[";
  for (size_t i = 0; i < aServices.size(); ++i) {
    out += (i > 0 ? "," : "") + aServices[i];
  }
  out += "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
         "\"idleTimeoutMs\":15000},\"tenants\":[";
  bool first = true;
  for (const auto& [tenant, keys] : aKeys) {
    out += Text("%s{\"name\":\"%s\",\"apiKeys\":[", first ? "" : ",", tenant.c_str());
    for (size_t i = 0; i < keys.size(); ++i) {
      out += (i > 0 ? ",\"" : "\"") + keys[i] + "\"";
    }
    out += Text("],\"priority\":1,\"ratePerS\":%d,\"burst\":%d}", aRate, aRate);
    first = false;
  }
  return out + "]}";
}

inline std::string
ModelService(const std::string& aName)
{
  return "{\"name\":\"" + aName +
         "\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,"
         "\"coldS\":3.0,\"coldPerS\":22.0,\"engine\":{\"slots\":8,\"kvCapacity\":72000,"
         "\"kvBytes\":131072,\"linkMbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":7,"
         "\"cap\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,"
         "\"models\":[{\"name\":\"m\"}]}}";
}

inline std::string
PlainService(const std::string& aName)
{
  return "{\"name\":\"" + aName +
         "\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,"
         "\"coldS\":0.0,\"coldPerS\":0.0}";
}

} // namespace rig
