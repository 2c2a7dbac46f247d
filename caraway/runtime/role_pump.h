#pragma once
// The event pump of one role: queues events, steps the role with each, carries
// out the resulting actions, and posts a wakeup at the time the role asks for.

#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "caraway/base/role_io.h"
#include "caraway/runtime/logging.h"
#include "caraway/runtime/loop.h"

namespace caraway {

template<class Event, class Action>
class RolePump
{
public:
  // mStep passes an event to the role; mCarryOut carries out one action;
  // mNextWakeup is called when the queue is empty; mAfterDrain (may be empty)
  // runs after each drain of the queue and may post further events.
  struct Functions
  {
    std::function<void(MonoTime, const Event&, std::vector<Action>&)> mStep;
    std::function<void(Action&)> mCarryOut;
    std::function<MonoTime()> mNextWakeup;
    std::function<void()> mAfterDrain;
  };

  RolePump(Loop& aLoop, Functions aFunctions)
    : mLoop(aLoop)
    , mFunctions(std::move(aFunctions))
    , mTimer(aLoop, [this] { Post(Wakeup{}); })
  {
  }

  // Handles the event at once, or queues it when called while another event is
  // being handled.
  void Post(Event aEvent)
  {
    mEvents.push_back(std::move(aEvent));
    if (mDraining) {
      return;
    }
    mDraining = true;
    while (!mEvents.empty()) {
      Drain();
      if (mFunctions.mAfterDrain) {
        mFunctions.mAfterDrain();
      }
    }
    mDraining = false;
    mTimer.ArmAt(mFunctions.mNextWakeup());
  }

private:
  // A step this long is logged, since it delays heartbeats and all other work
  // of the process.
  static constexpr Duration kSlowStep = Millis(100);

  void Drain()
  {
    while (!mEvents.empty()) {
      const Event event = std::move(mEvents.front());
      mEvents.pop_front();
      std::vector<Action> actions;
      const MonoTime begin = mLoop.Now();
      mFunctions.mStep(begin, event, actions);
      const MonoTime decided = mLoop.Now();
      for (Action& action : actions) {
        mFunctions.mCarryOut(action);
      }
      if (mLoop.Now() - begin >= kSlowStep) {
        LogSlowStep(event.index(), decided - begin, mLoop.Now() - decided);
      }
    }
  }

  // aEvent: index of the event type in the role's event variant.
  static void LogSlowStep(size_t aEvent, Duration aDecided, Duration aDone)
  {
    WriteLog(LogLevel::eWarning,
             "slow_step",
             { { "event_kind", absl::StrCat(aEvent) },
               { "decide_ms", absl::StrCat(aDecided.Millis()) },
               { "carry_out_ms", absl::StrCat(aDone.Millis()) } });
  }

  Loop& mLoop;
  Functions mFunctions;
  Timer mTimer;
  std::deque<Event> mEvents;
  bool mDraining = false;
};

} // namespace caraway
