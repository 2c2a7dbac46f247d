// Hands tasks to a thread and their results back to the loop.

#include "caraway/runtime/disk_worker.h"

#include <array>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "caraway/base/error.h"
#include "caraway/runtime/logging.h"

namespace caraway {

namespace {

// A disk that takes this long delays commits noticeably.
constexpr Duration kSlow = Millis(100);
constexpr Duration kLogInterval = Seconds(1); // between lines about it

} // namespace

DiskWorker::DiskWorker(Loop& aLoop, const char* aWhat)
  : mLoop(aLoop)
  , mWhat(aWhat)
{
}

DiskWorker::~DiskWorker()
{
  {
    const std::lock_guard lock(mMutex);
    mEnding = true;
  }
  mHasTask.notify_one();
  if (mThread.joinable()) {
    mThread.join();
  }
}

absl::Status
DiskWorker::Start()
{
  int ends[2] = {};
  if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) {
    return MakeError(ErrorKind::eUnavailable,
                     "cannot create a pipe: " +
                       std::generic_category().message(errno),
                     "raise the limit on open files");
  }
  mWakeFrom = FileDescriptor(ends[0]);
  mWakeTo = FileDescriptor(ends[1]);
  mWakeEvent.reset(event_new(mLoop.Base(),
                             mWakeFrom.Value(),
                             EV_READ | EV_PERSIST,
                             &DiskWorker::OnWake,
                             this));
  event_add(mWakeEvent.get(), nullptr);
  try {
    mThread = std::thread([this] { Work(); });
  } catch (const std::system_error& error) {
    return MakeError(ErrorKind::eUnavailable,
                     std::string("cannot start a thread: ") + error.what(),
                     "raise the limit on processes and threads");
  }
  return absl::OkStatus();
}

void
DiskWorker::Run(std::function<absl::Status()> aTask,
                std::function<void(const absl::Status&)> aDone)
{
  ++mOpen;
  {
    const std::lock_guard lock(mMutex);
    mTasks.push_back({ std::move(aTask), std::move(aDone), {}, {} });
  }
  mHasTask.notify_one();
}

void
DiskWorker::Work()
{
  std::unique_lock lock(mMutex);
  for (;;) {
    mHasTask.wait(lock, [this] { return mEnding || !mTasks.empty(); });
    if (mEnding) {
      return;
    }
    Task task = std::move(mTasks.front());
    mTasks.pop_front();
    lock.unlock();
    const MonoTime begin = mLoop.Now();
    task.mStatus = task.mRun();
    task.mTook = mLoop.Now() - begin;
    task.mRun = nullptr;
    lock.lock();
    mFinished.push_back(std::move(task));
    // A full pipe has woken the loop already.
    const char byte = 0;
    [[maybe_unused]] const ssize_t written =
      ::write(mWakeTo.Value(), &byte, sizeof(byte));
  }
}

void
DiskWorker::OnWake(evutil_socket_t aPipe, short, void* aWorker)
{
  std::array<char, 64> bytes{};
  while (::read(aPipe, bytes.data(), bytes.size()) > 0) {
  }
  static_cast<DiskWorker*>(aWorker)->FinishTasks();
}

void
DiskWorker::FinishTasks()
{
  std::deque<Task> finished;
  {
    const std::lock_guard lock(mMutex);
    finished.swap(mFinished);
  }
  for (const Task& task : finished) {
    if (task.mTook >= kSlow) {
      LogSlow(task.mTook);
    }
    task.mDone(task.mStatus);
    --mOpen;
  }
}

void
DiskWorker::LogSlow(Duration aTook)
{
  ++mSlowTasks;
  const MonoTime now = mLoop.Now();
  if (now - mLoggedAt < kLogInterval) {
    return;
  }
  mLoggedAt = now;
  WriteLog(LogLevel::eWarning,
           "slow_disk",
           { { "what", mWhat },
             { "took_ms", absl::StrCat(aTook.Millis()) },
             { "slow_total", absl::StrCat(mSlowTasks) } });
}

} // namespace caraway
