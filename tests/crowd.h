#pragma once
// Test helper: callers that send and never read, and what a process holds for
// them.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "tests/child_process.h"

namespace caraway {

inline size_t
StatusKb(pid_t aProcess, const std::string& aField)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  for (std::string word; status >> word;) {
    if (word == aField + ":") {
      size_t value = 0;
      status >> value;
      return value;
    }
  }
  return 0;
}

inline size_t
OpenDescriptors(pid_t aProcess)
{
  const std::filesystem::path folder =
    "/proc/" + std::to_string(aProcess) + "/fd";
  return static_cast<size_t>(
    std::distance(std::filesystem::directory_iterator(folder),
                  std::filesystem::directory_iterator()));
}

inline int
Connect(uint16_t aPort)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(handle);
    return -1;
  }
  return handle;
}

// One caller that sends and never reads.
struct Sender
{
  int mHandle = -1;
  std::string mAhead;
  size_t mSent = 0;
  bool mClosed = false; // by the entry

  explicit Sender(uint16_t aPort)
    : mHandle(Connect(aPort))
  {
    if (mHandle >= 0) {
      fcntl(mHandle, F_SETFL, O_NONBLOCK);
    }
  }
  Sender(const Sender&) = delete;
  Sender& operator=(const Sender&) = delete;
  ~Sender()
  {
    if (mHandle >= 0) {
      close(mHandle);
    }
  }

  // True if some bytes went out.
  bool Send()
  {
    if (mHandle < 0 || mClosed || mSent == mAhead.size()) {
      return false;
    }
    const ssize_t count =
      send(mHandle, mAhead.data() + mSent, mAhead.size() - mSent, MSG_NOSIGNAL);
    mClosed = count < 0 && errno != EAGAIN;
    mSent += count > 0 ? static_cast<size_t>(count) : 0;
    return count > 0;
  }
};

// Bytes that have arrived at connections to a local port and that its process
// has not read, also those of connections that it has not accepted.
inline size_t
UnreadBytes(uint16_t aPort)
{
  constexpr int kListening = 0x0A;
  size_t total = 0;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line); // names of the columns
  while (std::getline(table, line)) {
    unsigned port = 0;
    unsigned state = 0;
    unsigned unread = 0;
    if (std::sscanf(line.c_str(),
                    " %*d: %*8x:%x %*8x:%*x %x %*x:%x",
                    &port,
                    &state,
                    &unread) == 3 &&
        port == aPort && state != kListening) {
      total += unread;
    }
  }
  return total;
}

constexpr const char* kCommonSettings[] = {
  // As a deployment that states none of them fills them in.
  "--cold-factor=", "--cold-slack=",     "--rate-window-s=",  "--rate-overrun=",
  "--rate-slack=",  "--exposure-share=", "--exposure-slack=", "--rollback-ms=",
};

// One of the system's processes beside a crowd.
struct CrowdedProcess
{
  Child mChild;
  size_t mBeforeKb = 0; // resident memory before the crowd
  std::string mLastOutput;

  // aWords: the program, the role and its own settings.
  void Start(std::vector<std::string> aWords)
  {
    rlimit descriptors{};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    setrlimit(RLIMIT_NOFILE, &descriptors);
    // Freed blocks that a sanitizer keeps are not the process's.
    setenv("ASAN_OPTIONS", "quarantine_size_mb=1:detect_leaks=0", 1);
    aWords.insert(
      aWords.end(), std::begin(kCommonSettings), std::end(kCommonSettings));
    StartProgram(mChild, aWords);
    BOOST_REQUIRE(WaitForText(mChild, "event=listening"));
    while (mChild.mSeen.find('\n', mChild.mSeen.find("event=listening")) ==
           std::string::npos) {
      BOOST_REQUIRE(ReadMore(mChild));
    }
  }

  // The port of a listener, by its place in the line that names them.
  uint16_t Port(size_t aPlace)
  {
    const std::string key = " http=127.0.0.1:";
    size_t at = 0;
    for (size_t place = 0; place <= aPlace; ++place) {
      at = mChild.mSeen.find(key, at);
      BOOST_REQUIRE(at != std::string::npos);
      at += key.size();
    }
    return static_cast<uint16_t>(std::stoi(mChild.mSeen.substr(at)));
  }

  // The response to aRequest on a connection of its own; empty if there is
  // none.
  static std::string Ask(uint16_t aPort, const std::string& aRequest)
  {
    const int connection = Connect(aPort);
    const timeval limit{ 60, 0 };
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    send(connection, aRequest.data(), aRequest.size(), MSG_NOSIGNAL);
    std::string response;
    char bytes[4096];
    const ssize_t count = recv(connection, bytes, sizeof(bytes), 0);
    if (count > 0) {
      response.assign(bytes, static_cast<size_t>(count));
    }
    close(connection);
    return response;
  }

  // Sends until the process takes no more, or all is sent. aSeen is called
  // between.
  void SendAll(
    std::vector<std::unique_ptr<Sender>>& aCrowd,
    const std::function<void()>& aSeen = [] {})
  {
    for (int idle = 0; idle < 50;) {
      bool any = false;
      for (const auto& sender : aCrowd) {
        any = sender->Send() || any;
      }
      DrainOutput();
      aSeen();
      if (any) {
        idle = 0;
      } else {
        ++idle;
        usleep(10000);
      }
    }
  }

  // The log must not stop the process.
  void DrainOutput()
  {
    fcntl(mChild.mOutput, F_SETFL, O_NONBLOCK);
    char bytes[4096];
    ssize_t count = 0;
    while ((count = read(mChild.mOutput, bytes, sizeof(bytes))) > 0) {
      mLastOutput.assign(bytes, static_cast<size_t>(count));
    }
  }

  void CheckLives(const char* aWhen)
  {
    DrainOutput();
    int status = 0;
    const bool lives = waitpid(mChild.mPid, &status, WNOHANG) == 0;
    mChild.mPid = lives ? mChild.mPid : -1;
    BOOST_REQUIRE_MESSAGE(
      lives,
      "the process has ended "
        << aWhen << ", status " << status << ", with "
        << mLastOutput.substr(mLastOutput.size() -
                              std::min<size_t>(mLastOutput.size(), 500)));
  }
};

} // namespace caraway
