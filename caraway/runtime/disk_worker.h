#pragma once
// A thread that waits for the disk, so that the loop of the process does not.
// Heartbeats and replies go on while a sync takes long.

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "absl/status/status.h"
#include "caraway/runtime/data_folder_files.h"
#include "caraway/runtime/loop.h"

namespace caraway {

class DiskWorker
{
public:
  // aWhat: for the log.
  DiskWorker(Loop& aLoop, const char* aWhat);
  // Waits for the task in progress; drops the others.
  ~DiskWorker();
  DiskWorker(const DiskWorker&) = delete;
  DiskWorker& operator=(const DiskWorker&) = delete;

  // Starts the thread. Until then, and if it fails, Run may not be called.
  absl::Status Start();

  // Runs aTask on the thread, then aDone with its result in the loop. Tasks run
  // one after another. aTask may use nothing that the loop changes meanwhile.
  void Run(std::function<absl::Status()> aTask,
           std::function<void(const absl::Status&)> aDone);

  // True until aDone of the last task has returned.
  bool Busy() const { return mOpen > 0; }

  // Tasks that took kSlow or longer.
  uint64_t SlowTasks() const { return mSlowTasks; }

private:
  struct Task
  {
    std::function<absl::Status()> mRun;
    std::function<void(const absl::Status&)> mDone;
    absl::Status mStatus;
    Duration mTook;
  };

  void Work();
  static void OnWake(evutil_socket_t aPipe, short aWhat, void* aWorker);
  void FinishTasks();
  void LogSlow(Duration aTook);

  Loop& mLoop;
  const char* mWhat;
  size_t mOpen = 0; // tasks whose mDone has not returned
  uint64_t mSlowTasks = 0;
  MonoTime mLoggedAt{ -kNever.mMicros };
  FileDescriptor mWakeFrom; // a pipe: the thread writes, the loop reads
  FileDescriptor mWakeTo;
  EventPtr mWakeEvent;

  std::mutex mMutex; // of the members up to mThread
  std::condition_variable mHasTask;
  std::deque<Task> mTasks;
  std::deque<Task> mFinished;
  bool mEnding = false;
  std::thread mThread;
};

} // namespace caraway
