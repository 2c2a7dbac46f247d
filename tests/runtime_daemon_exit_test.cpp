// Guards against a daemon that has stopped its role but does not exit: its
// listeners then accept connections that are never read, and callers wait until
// their deadline.
#define BOOST_TEST_MODULE runtime_daemon_exit
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "data_folder_fixture.h"

namespace {

using Clock = std::chrono::steady_clock;

// A child process and the read end of its output pipe.
struct Child
{
  pid_t mPid = -1;
  int mOutput = -1;

  ~Child()
  {
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
    }
    close(mOutput);
  }
};

void
Start(Child& aChild, std::vector<std::string> aWords)
{
  int ends[2] = { -1, -1 };
  BOOST_REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
  aChild.mOutput = ends[0];
  aChild.mPid = fork();
  BOOST_REQUIRE(aChild.mPid >= 0);
  if (aChild.mPid == 0) {
    dup2(ends[1], STDOUT_FILENO);
    dup2(ends[1], STDERR_FILENO);
    std::vector<char*> words;
    words.reserve(aWords.size() + 1);
    for (std::string& word : aWords) {
      words.push_back(word.data());
    }
    words.push_back(nullptr);
    execv(words[0], words.data());
    _exit(127);
  }
  close(ends[1]);
}

// Reads the child's output until it contains the text. False if it ends first.
bool
WaitForText(const Child& aChild, const std::string& aText)
{
  std::string seen;
  char bytes[512];
  ssize_t count = 0;
  while ((count = read(aChild.mOutput, bytes, sizeof(bytes))) > 0) {
    seen.append(bytes, static_cast<size_t>(count));
    if (seen.find(aText) != std::string::npos) {
      return true;
    }
  }
  return false;
}

// Waits for the child up to aTime. Returns its exit status; -1 on timeout or a
// signal.
int
WaitForExit(Child& aChild, Clock::duration aTime)
{
  const Clock::time_point last = Clock::now() + aTime;
  int status = 0;
  while (Clock::now() < last) {
    if (waitpid(aChild.mPid, &status, WNOHANG) == aChild.mPid) {
      aChild.mPid = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return -1;
}

} // namespace

BOOST_AUTO_TEST_CASE(stopped_control_daemon_exits)
{
  const caraway::TemporaryFolder folder;
  const std::string token = folder.mPath + "/token";
  std::ofstream(token) << "operator-token-of-the-test\n";
  Child child;
  Start(child,
        { CARAWAY_CONTROL_PROGRAM,
          "--replica=1",
          "--replicas=1=127.0.0.1:18400",
          "--data=" + folder.mPath + "/data",
          "--operator-token-file=" + token,
          "--peer=127.0.0.1:0",
          "--http=127.0.0.1:0" });
  BOOST_REQUIRE(WaitForText(child, "event=listening"));
  BOOST_REQUIRE(kill(child.mPid, SIGTERM) == 0);
  // Supervisors kill a process that has not exited after a grace period; ten
  // seconds is the shortest default of the usual ones.
  BOOST_TEST(WaitForExit(child, std::chrono::seconds(10)) == 0);
}
