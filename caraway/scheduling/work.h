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
  bool mStreamed = false;   // the node sees tokens as they arrive
  MonoTime mDeadline{ 0 };  // online: latest start; batch: the job's
  MonoTime mQueuedAt{ 0 };  // online: when it was offered
  MonoTime mStartGoal{ 0 }; // online: late if it starts after, 0: none
  // Online: the caller can be told to retry later. It does so once.
  bool mMayReturn = false;
  bool mIsCallerRetry = false; // online: the caller was refused and returned
  uint32_t mRank = 0;          // online: 0 is the most important
  Duration mWindow;            // batch: the job's whole window
  // Only for batch items that resume where they were stopped.
  MonoTime mGoal{ 0 }; // when the result is due, 0: no goal
  Duration mRunTime;   // expected in total, 0: unknown
  Duration mRan;       // part of mRunTime done in earlier runs
};

struct RunningWork
{
  Work mWork;
  MonoTime mStarted;
  MonoTime mLastToken;  // time of the newest token or chunk, or of the start
  uint32_t mTokens = 0; // tokens or chunks so far
  MonoTime mSampled;    // time of the token that ended the last gap sample
  bool mFirstTokenOverdue = false; // its late first token was counted
};

} // namespace caraway
