#pragma once
// Batch work at the node: leased items, and results on their way back.

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "caraway/base/event_stream.h"
#include "caraway/node/node_io.h"
#include "caraway/scheduling/work.h"

namespace caraway {

using BatchLeaseKey = std::pair<JobId, FencingToken>;

// What the items of one ItemBatch have in common.
struct BatchLease
{
  JobId mJob;
  FencingToken mToken;
  WorkspaceId mWorkspace;
  uint32_t mWeight = 1;
  ModelId mModel;
  std::string mEndpoint;
  MonoTime mDeadline;
  Duration mWindow;
  MonoTime mGoal{ 0 }; // results are due then, 0: no goal
  Epoch mNodeEpoch;    // session that leased it
};

struct BatchTask
{
  WorkId mWork;
  BatchLease mLease;
  uint32_t mIndex = 0;
  std::string mCustomId;
  std::string mPath;
  std::string mBody;        // request JSON as in the input line
  uint32_t mPrompt = 0;     // tokens, estimate
  uint32_t mOutput = 0;     // tokens, estimate
  bool mStreamed = false;   // asked for as SSE, put together here
  TargetCallId mTargetCall; // none while waiting
  MonoTime mWaitingSince;
  MonoTime mLastByte;
  int mStatus = 0;
  bool mEventStream = false; // the answer really is SSE
  std::string mAnswer;       // bytes of a plain answer
  std::string mPending;      // SSE bytes that do not yet form a whole event
  std::string mText;         // generated so far, over all resumes
  std::string mAnswerId;     // "id" of the first SSE event
  std::string mUsage;        // JSON of the usage field, empty if none
  std::string mFinishReason; // finish_reason
  bool mStreamDone = false;  // "[DONE]" arrived
  bool mStreamError = false; // an error event arrived
  uint32_t mTokens = 0;      // events with text, over all resumes
  bool mPreempted = false;   // was stopped for online work at least once
  // Items with headers and a body of their own: the answer is the data of the
  // events, collected in mText.
  bool mRaw = false;
  uint32_t mStatedTokens = 0;
  Headers mHeaders;
  EventStream mEvents;         // over all resumes
  size_t mBytesSinceEvent = 0; // bytes of this call since its last whole event
  bool mNotRun = false;        // the target refused the present call
  bool mForeign = false;       // the present answer belongs to something else
};

// One ItemResults message, sent again until acknowledged.
struct PendingResults
{
  ItemResults mMessage;
  MonoTime mSendAt; // next time to send
};

// Results that wait to be grouped.
struct ResultGroup
{
  Epoch mNodeEpoch;
  std::vector<ItemResult> mResults;
  MonoTime mFirstReady;
};

struct NodeBatch
{
  std::map<WorkId, BatchTask> mTasks;           // waiting and running
  std::map<BatchLeaseKey, ResultGroup> mGroups; // ready, not sent yet
  std::map<uint64_t, PendingResults> mUnacked;  // by sequence
  uint64_t mResultSequence = 0;
  uint64_t mLeaseSequence = 0;
  bool mLeasing = false;      // a LeaseItems waits for its answer
  uint32_t mLeaseWanted = 0;  // of the outstanding request
  MonoTime mLeaseSendAt{ 0 }; // next (re)send of the outstanding request
  MonoTime mNextLeaseAt{ 0 }; // no new request before this time
  MonoTime mPollAt{ 0 };      // next look whether items are wanted
  MonoTime mNoRoomSince{ 0 }; // waiting items found no room since, 0 = have
  double mItemSeconds = 0;    // usual time of an item, 0 = unknown
  double mTokenSeconds = 0;   // of an item, by stated token; 0 = unknown
};

} // namespace caraway
