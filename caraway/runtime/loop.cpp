// The event loop and timers, based on libevent.

#include "caraway/runtime/loop.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <utility>

namespace caraway {

Loop::Loop()
  : mBase(event_base_new())
{
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  mDeferredEvent.reset(event_new(mBase.get(), -1, 0, &Loop::OnDeferred, this));
}

Loop::~Loop() = default;

MonoTime
Loop::Now() const
{
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return { now.tv_sec * 1000000 + now.tv_nsec / 1000 };
}

int64_t
Loop::UnixSeconds() const
{
  return std::time(nullptr);
}

void
Loop::Defer(std::function<void()> aTask)
{
  mDeferred.push_back(std::move(aTask));
  event_active(mDeferredEvent.get(), EV_TIMEOUT, 0);
}

LoopEnd
Loop::Run()
{
  for (int number : { SIGTERM, SIGINT, SIGHUP }) {
    EventPtr watcher(evsignal_new(mBase.get(), number, &Loop::OnSignal, this));
    event_add(watcher.get(), nullptr);
    mSignals.push_back(std::move(watcher));
  }
  // The start may have failed later than its caller could tell.
  if (!mEnd) {
    event_base_loop(mBase.get(), EVLOOP_NO_EXIT_ON_EMPTY);
  }
  mSignals.clear();
  return std::exchange(mEnd, std::nullopt).value_or(LoopEnd{});
}

void
Loop::Exit(ProcessEnd aEnd, std::string aReason)
{
  if (!mEnd) {
    mEnd = LoopEnd{ aEnd, std::move(aReason) };
  }
  event_base_loopbreak(mBase.get());
}

void
Loop::OnSignal(evutil_socket_t aSignal, short, void* aLoop)
{
  auto* loop = static_cast<Loop*>(aLoop);
  if (aSignal == SIGHUP) {
    loop->mOnReload.emit();
    return;
  }
  loop->mOnStop.emit();
}

void
Loop::OnDeferred(evutil_socket_t, short, void* aLoop)
{
  auto tasks = std::exchange(static_cast<Loop*>(aLoop)->mDeferred, {});
  for (const auto& task : tasks) {
    task();
  }
}

Timer::Timer(Loop& aLoop, std::function<void()> aCallback)
  : mLoop(aLoop)
  , mCallback(std::move(aCallback))
  , mEvent(event_new(aLoop.Base(), -1, 0, &Timer::OnFire, this))
{
}

void
Timer::ArmAt(MonoTime aTime)
{
  constexpr int64_t kMaxWaitMicros = 3600LL * 1000000;
  const int64_t wait =
    std::clamp<int64_t>((aTime - mLoop.Now()).mMicros, 0, kMaxWaitMicros);
  const timeval timeout{ wait / 1000000, wait % 1000000 };
  event_add(mEvent.get(), &timeout);
}

void
Timer::Disarm()
{
  event_del(mEvent.get());
}

void
Timer::OnFire(evutil_socket_t, short, void* aTimer)
{
  static_cast<Timer*>(aTimer)->mCallback();
}

} // namespace caraway
