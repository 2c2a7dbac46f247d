#pragma once
// One unit of work as the scheduler sees it.

#include <cstdint>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

using WorkId = NumberId<struct WorkTag>; // unique within one scheduler

enum class WorkKind : uint8_t
{
  eOnline, // a caller waits for it
  eBatch,  // an item of a batch job
};

struct Work
{
  WorkId mId;
  WorkKind mKind = WorkKind::eOnline;
  WorkspaceId mWorkspace;
  uint32_t mWeight = 1;
  double mCost = 1;         // prompt tokens + expected output tokens
  uint32_t mPrompt = 0;     // prompt tokens
  bool mStreamed = false;   // tokens are seen as they come
  MonoTime mDeadline{ 0 };  // online: latest start; batch: end of the job
  MonoTime mQueuedAt{ 0 };  // online: when it was offered
  MonoTime mStartGoal{ 0 }; // online: on time if it starts by then, 0: no goal
  // Online: its caller can be told to come back, which it does once.
  bool mMayReturn = false;
  Duration mWindow; // batch: the job's whole window
  // Batch items that go on from where they were stopped.
  MonoTime mGoal{ 0 }; // the result is due then, 0: no goal
  Duration mRunTime;   // expected in all, 0: not known
  Duration mRan;       // of that, before the present run
};

struct RunningWork
{
  Work mWork;
  MonoTime mStarted;
  MonoTime mLastToken;  // time of the newest token or piece
  uint32_t mTokens = 0; // tokens or pieces so far
  MonoTime mSampled;    // time of the token that ended the last gap sample
  bool mFirstTokenOverdue =
    false; // the wait for its first token was counted once
};

} // namespace caraway
