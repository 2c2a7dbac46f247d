#pragma once
// Simulates one real node with the engine model and a fake control on a virtual
// clock, for benchmarks and tests. Nothing here does I/O.

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "caraway/node/node.h"
#include "standins/engine_model.h"

namespace caraway {

// One online call as its entry sees it.
struct OnlineCall
{
  WorkspaceId mWorkspace{ "w" };
  uint32_t mWeight = 1;
  uint32_t mPrompt = 400; // tokens
  uint32_t mOutput = 200; // tokens
  uint64_t mPrefix = 0;
  Duration mDeadline = Seconds(60);
  KeyId mKey;
};

struct OnlineRecord
{
  OnlineCall mCall;
  MonoTime mSent;
  MonoTime mFirst{ 0 }; // first answer bytes, 0 = none
  MonoTime mLast{ 0 };  // newest answer bytes
  uint32_t mParts = 0;  // answer parts with bytes
  bool mDone = false;
  bool mRefused = false;
  ErrorKind mKind = ErrorKind::eNone;
  Outcome mOutcome = Outcome::eRan;
};

struct WorldSettings
{
  uint64_t mSeed = 1;
  SchedulePolicy mPolicy = SchedulePolicy::eOnlineFirst;
  EngineSettings mEngine;
  bool mColdStart = false; // the engine is cold at the start
  bool mCanResume = false;
  uint32_t mMaxLimit = 256;
  uint32_t mBatchOutput = 300; // tokens of each batch item
  uint32_t mBatchPrompt = 400;
  bool mBatch = false; // control has unlimited batch work
  Duration mBatchLeft = Seconds(86400);
  Duration mBatchWindow = Seconds(86400);
};

struct NodeWorld
{
  WorldSettings mSettings;
  MonoTime mNow{ 1000000 };
  Node mNode;
  EngineModel mEngine;
  std::multimap<MonoTime, std::function<void()>> mEvents;
  std::map<RequestId, OnlineRecord> mOnline;
  std::map<uint64_t, uint32_t> mRequestedTokens; // target calls: tokens asked
  std::map<uint64_t, bool> mBegan; // target calls whose status line was sent
  uint64_t mNextRequest = 1;
  uint64_t mNextSequence = 1;
  uint64_t mNextEpoch = 10;
  uint64_t mNextIndex = 0;
  uint64_t mBatchTokens = 0; // of finished batch items
  uint64_t mBatchDone = 0;
  uint64_t mBatchFailed = 0;
  uint64_t mPreempted = 0;
  bool mAnnouncing = true;
  std::function<void(NodeWorld&, const NodeAction&)> mWatch; // sees each action
};

// The events of aWorld hold references to it: do not move it afterwards.
void
InitWorld(NodeWorld& aWorld, const WorldSettings& aSettings);

RequestId
SendOnline(NodeWorld& aWorld, const OnlineCall& aCall);

// Schedules aWhat at aAt.
void
At(NodeWorld& aWorld, MonoTime aAt, std::function<void()> aWhat);

void
RunUntil(NodeWorld& aWorld, MonoTime aEnd);

// Passes one event to the node and carries out the actions that it returns.
void
Give(NodeWorld& aWorld, const NodeEvent& aEvent);

// Replaces the node process by a new one; the engine keeps running.
void
RestartNode(NodeWorld& aWorld);

// Restarts the engine; its running calls break.
void
RestartTarget(NodeWorld& aWorld);

} // namespace caraway
