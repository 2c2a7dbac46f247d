// Guards against a process that is alive and serves nothing: its supervisor
// does not restart it, and a control group counts it as a voter that is silent.
#define BOOST_TEST_MODULE runtime_process_end
#include <boost/test/unit_test.hpp>

#include <stdexcept>

#include <log4cplus/appender.h>
#include <log4cplus/logger.h>

#include "child_process.h"
#include "daemons/daemon_settings.h"

using namespace caraway;

namespace {

// A log output that never closes, like a logging thread that never returns.
class StuckAppender : public log4cplus::Appender
{
public:
  ~StuckAppender() override { destructorImpl(); }
  void close() override
  {
    for (;;) {
      pause();
    }
  }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent&) override {}
};

// A host whose start does what the test says.
struct TestHost
{
  std::function<absl::Status()> mStart;

  absl::Status Start()
  {
    log4cplus::Logger::getRoot().addAppender(
      log4cplus::SharedAppenderPtr(new StuckAppender));
    return mStart();
  }
};

// As in main, nothing handles an exception here.
void
RunTestHost(Loop& aLoop, std::function<absl::Status()> aStart) noexcept
{
  TestHost host{ std::move(aStart) };
  RunDaemon(aLoop, host, LogSettings{}, InstanceId("test"));
}

} // namespace

BOOST_AUTO_TEST_CASE(failed_start_ends_although_the_log_never_closes)
{
  Child child;
  StartChild(child, [] {
    PrepareProcess();
    Loop loop;
    RunTestHost(loop, [] { return absl::InternalError("no disk"); });
  });
  BOOST_TEST(WaitForExit(child, kExitLimit) == 1);
  BOOST_TEST(WaitForText(child, "event=start_failed"));
}

// A role that gives up while it starts must not wait for events that never
// come.
BOOST_AUTO_TEST_CASE(role_that_halts_before_the_loop_runs_ends)
{
  Child child;
  StartChild(child, [] {
    PrepareProcess();
    Loop loop;
    RunTestHost(loop, [&] {
      loop.Exit(ProcessEnd::eHalted, "the data is not ours");
      return absl::OkStatus();
    });
  });
  BOOST_TEST(WaitForExit(child, kExitLimit) == 3);
  BOOST_TEST(WaitForText(child, "the data is not ours"));
}

BOOST_AUTO_TEST_CASE(exception_ends_the_process_with_its_cause)
{
  Child child;
  StartChild(child, [] {
    PrepareProcess();
    Loop loop;
    RunTestHost(loop,
                []() -> absl::Status { throw std::runtime_error("odd"); });
  });
  BOOST_TEST(WaitForExit(child, kExitLimit) == 4);
  BOOST_TEST(WaitForText(child, "event=process_fault"));
  BOOST_TEST(WaitForText(child, "reason=odd"));
}

// A start can wait for a disk for as long as that takes.
BOOST_AUTO_TEST_CASE(signal_during_the_start_ends_the_process)
{
  Child child;
  StartChild(child, [] {
    PrepareProcess();
    Loop loop;
    RunTestHost(loop, []() -> absl::Status {
      WriteLog(LogLevel::eInfo, "opening", {});
      for (;;) {
        pause();
      }
    });
  });
  BOOST_REQUIRE(WaitForText(child, "event=opening"));
  BOOST_REQUIRE(kill(child.mPid, SIGHUP) == 0); // settings are read already
  BOOST_REQUIRE(kill(child.mPid, SIGTERM) == 0);
  BOOST_TEST(WaitForExit(child, kExitLimit) == 0);
  BOOST_TEST(WaitForText(child, "a signal during the start"));
}

BOOST_AUTO_TEST_CASE(signal_while_the_loop_runs_reaches_the_role)
{
  Child child;
  StartChild(child, [] {
    PrepareProcess();
    Loop loop;
    loop.mOnStop.connect([&] { loop.Exit(); });
    RunTestHost(loop, [&] {
      loop.Defer([] { WriteLog(LogLevel::eInfo, "running", {}); });
      return absl::OkStatus();
    });
  });
  BOOST_REQUIRE(WaitForText(child, "event=running"));
  BOOST_REQUIRE(kill(child.mPid, SIGTERM) == 0);
  BOOST_TEST(WaitForExit(child, kExitLimit) == 0);
  BOOST_TEST(WaitForText(child, "event=stopped"));
}
