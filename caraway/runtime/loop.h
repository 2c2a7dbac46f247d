#pragma once
// The event loop of a process (one loop, one thread), with its clock, signals
// and timers.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sigc++/sigc++.h>

#include "caraway/base/time.h"
#include "caraway/runtime/libevent_handles.h"
#include "caraway/runtime/process_end.h"

namespace caraway {

// Why a loop has ended, and how its process is to end.
struct LoopEnd
{
  ProcessEnd mEnd = ProcessEnd::eStopped;
  std::string mReason; // empty: asked to stop
};

class Loop
{
public:
  Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  ~Loop();

  event_base* Base() const { return mBase.get(); }

  // The monotonic clock.
  MonoTime Now() const;

  // Seconds since 1970, for display only.
  int64_t UnixSeconds() const;

  // Runs aTask from the loop after the current callback has returned, for
  // example to free an object from one of its own callbacks.
  void Defer(std::function<void()> aTask);

  // Runs the loop until Exit is called; returns what the first call stated.
  // Signals are handled from here on.
  LoopEnd Run();
  void Exit(ProcessEnd aEnd = ProcessEnd::eStopped, std::string aReason = {});

  // Emitted on SIGTERM or SIGINT.
  sigc::signal<void()> mOnStop;
  // Emitted on SIGHUP: certificates are to be reloaded.
  sigc::signal<void()> mOnReload;

private:
  static void OnSignal(evutil_socket_t aSignal, short aWhat, void* aLoop);
  static void OnDeferred(evutil_socket_t aSocket, short aWhat, void* aLoop);

  EventBasePtr mBase;
  std::vector<EventPtr> mSignals;
  std::optional<LoopEnd> mEnd;
  EventPtr mDeferredEvent;
  std::vector<std::function<void()>> mDeferred;
};

// A one-shot timer that calls aCallback at the time it is armed for.
class Timer
{
public:
  Timer(Loop& aLoop, std::function<void()> aCallback);

  // Replaces an earlier time. A time in the past fires in the next iteration of
  // the loop.
  void ArmAt(MonoTime aTime);
  void Disarm();

private:
  static void OnFire(evutil_socket_t aSocket, short aWhat, void* aTimer);

  Loop& mLoop;
  std::function<void()> mCallback;
  EventPtr mEvent;
};

} // namespace caraway
