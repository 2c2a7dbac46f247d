#pragma once
// State of batch work at the node: leased items, and results that control has
// not acknowledged yet.

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "caraway/base/event_stream.h"
#include "caraway/node/node_io.h"
#include "caraway/poison/input_part.h"
#include "caraway/scheduling/work.h"

namespace caraway {

using BatchLeaseKey = std::pair<JobId, FencingToken>;

// Properties shared by all items of one ItemBatch.
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
  MonoTime mGoal{ 0 }; // time at which results are due, 0: no goal
  Epoch mNodeEpoch;    // node session that leased the items
};

struct BatchTask
{
  WorkId mWork;
  BatchLease mLease;
  uint32_t mIndex = 0;
  std::string mCustomId;
  std::string mPath;
  std::string mBody;        // request JSON as in the input line
  uint32_t mPrompt = 0;     // estimated tokens
  uint32_t mOutput = 0;     // estimated tokens
  bool mStreamed = false;   // requested as SSE and assembled here
  TargetCallId mTargetCall; // none while the item waits
  MonoTime mWaitingSince;
  MonoTime mLastByte;
  int mStatus = 0;
  bool mEventStream = false; // the target answered with SSE
  std::string mAnswer;       // body of an answer that is not SSE
  std::string mPending;      // SSE bytes of an incomplete line
  std::string mText;         // text generated so far, over all resumes
  std::string mAnswerId;     // "id" of the first SSE event
  std::string mUsage;        // JSON of the usage field, empty if none
  std::string mFinishReason; // finish_reason
  bool mStreamDone = false;  // "[DONE]" arrived
  bool mStreamError = false; // an error event arrived
  uint32_t mTokens = 0;      // events with text, over all resumes
  bool mPreempted = false;   // was preempted by online work at least once
  // A raw item has its own headers and body. Its answer is the data of the SSE
  // events, collected in mText.
  bool mRaw = false;
  uint32_t mStatedTokens = 0; // as stated in the item, 0: not stated
  Headers mHeaders;
  EventStream mEvents;         // event position, over all resumes
  bool mHasData = false;       // mText holds data of events, maybe empty
  std::string mVersion;        // what wrote mText, see TextOrigin
  size_t mBytesSinceEvent = 0; // of this call, since its last complete event
  // Parts of the prompt, and the whole input.
  InputParts mInputParts;
  MonoTime mAnsweredSince = kNever; // of this call: its first complete event
  bool mAnswered = false; // this call went on for kAnswerSettles, or ended
  bool mNotRun = false;   // the target answered that it did not run this call
  bool mForeign = false;  // the bytes are not the answer to this request
  bool mEndsByClose = false; // the answer has no length and no chunks
  // Calls in a row that ended with their connection and brought no event.
  uint32_t mEmptyEnds = 0;
};

// An ItemResults message, retransmitted until acknowledged.
struct PendingResults
{
  ItemResults mMessage;
  MonoTime mSendAt; // next (re)transmission
};

// Results of one lease that are collected into a message.
struct ResultGroup
{
  Epoch mNodeEpoch;
  std::vector<ItemResult> mResults;
  MonoTime mFirstReady;
};

struct NodeBatch
{
  std::map<WorkId, BatchTask> mTasks;           // waiting and running items
  std::map<BatchLeaseKey, ResultGroup> mGroups; // results not yet sent
  std::map<uint64_t, PendingResults> mUnacked;  // by result sequence
  uint64_t mResultSequence = 0;
  uint64_t mLeaseSequence = 0;
  bool mLeasing = false;       // a LeaseItems request is outstanding
  uint32_t mLeaseWanted = 0;   // items wanted by the outstanding request
  MonoTime mLeaseSendAt{ 0 };  // next retransmission of the outstanding request
  MonoTime mNextLeaseAt{ 0 };  // earliest time of a new LeaseItems request
  MonoTime mPollAt{ 0 };       // next check whether items are wanted
  MonoTime mLeaseAskedAt{ 0 }; // first transmission of the outstanding request
  // Leases whose items may not start here any more, as of the newest reply to a
  // Renew, which was sent at mLeasesCheckedAt.
  std::set<FencingToken> mMovedLeases;
  MonoTime mLeasesCheckedAt{ 0 };
  // Items start only under a check of a Renew sent then or later.
  MonoTime mCheckLeasesAfter{ 0 };
  MonoTime mNoRoomSince{ 0 }; // no room for waiting items since, 0: has room
  double mItemSeconds = 0;    // moving average of the time per item, 0: unknown
  double mTokenSeconds = 0;   // the same per stated token, 0: unknown
};

} // namespace caraway
