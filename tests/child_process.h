#pragma once
// Test helper: a child process whose output is read, and its end.

#include <chrono>
#include <csignal>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

namespace caraway {

using TestClock = std::chrono::steady_clock;

// A child process and the read end of its output pipe.
struct Child
{
  pid_t mPid = -1;
  int mOutput = -1;
  std::string mSeen; // output that was read

  Child() = default;
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
    }
    close(mOutput);
  }
};

// Runs aMain in a child process, which ends with status 127 if aMain returns.
inline void
StartChild(Child& aChild, const std::function<void()>& aMain)
{
  int ends[2] = { -1, -1 };
  BOOST_REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
  aChild.mOutput = ends[0];
  aChild.mPid = fork();
  BOOST_REQUIRE(aChild.mPid >= 0);
  if (aChild.mPid == 0) {
    dup2(ends[1], STDOUT_FILENO);
    dup2(ends[1], STDERR_FILENO);
    aMain();
    _exit(127);
  }
  close(ends[1]);
}

// Replaces the process by the program; returns only if that fails.
inline void
ExecProgram(std::vector<std::string> aWords)
{
  std::vector<char*> words;
  words.reserve(aWords.size() + 1);
  for (std::string& word : aWords) {
    words.push_back(word.data());
  }
  words.push_back(nullptr);
  execv(words[0], words.data());
}

inline void
StartProgram(Child& aChild, const std::vector<std::string>& aWords)
{
  StartChild(aChild, [&] { ExecProgram(aWords); });
}

// Reads more of the child's output. False at its end, or if nothing comes
// within half a minute.
inline bool
ReadMore(Child& aChild)
{
  constexpr int kLimitMillis = 30000;
  pollfd readable{ aChild.mOutput, POLLIN, 0 };
  if (poll(&readable, 1, kLimitMillis) <= 0) {
    return false;
  }
  char bytes[512];
  const ssize_t count = read(aChild.mOutput, bytes, sizeof(bytes));
  if (count <= 0) {
    return false;
  }
  aChild.mSeen.append(bytes, static_cast<size_t>(count));
  return true;
}

// Reads the child's output until it contains the text. False if it does not.
inline bool
WaitForText(Child& aChild, const std::string& aText)
{
  while (aChild.mSeen.find(aText) == std::string::npos) {
    if (!ReadMore(aChild)) {
      return false;
    }
  }
  return true;
}

// Waits for the child up to aTime. Returns its exit status; -1 on timeout or a
// signal.
inline int
WaitForExit(Child& aChild, TestClock::duration aTime)
{
  const TestClock::time_point last = TestClock::now() + aTime;
  int status = 0;
  while (TestClock::now() < last) {
    if (waitpid(aChild.mPid, &status, WNOHANG) == aChild.mPid) {
      aChild.mPid = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return -1;
}

// Supervisors kill a process that has not exited after a grace period; ten
// seconds is the shortest default of the usual ones.
constexpr std::chrono::seconds kExitLimit{ 10 };

} // namespace caraway
