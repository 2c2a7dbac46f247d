#pragma once
// Messages of batch work: nodes lease items from the ledger's leader.

#include <cstdint>
#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

// Node -> leader: ready for more batch items.
struct LeaseItems
{
  GroupId mGroup;
  InstanceId mNode;
  Epoch mNodeEpoch;
  uint64_t mSequence = 0; // a resend keeps its number and gets the same items
  std::vector<ModelId> mModels;
  uint32_t mWanted = 0; // items, at most 64
  // Usual run time of an item at this node's target, by its stated tokens;
  // 0: not measured yet.
  Duration mTimePerToken;
};

// How far an item has come; another node goes on from there.
struct ItemProgress
{
  uint64_t mLastEvent = 0; // id of the last event in mText, 0: none
  std::string mText;       // data of the events so far
};

struct BatchItem
{
  uint32_t mIndex = 0;  // line of the input file, from 0
  std::string mBody;    // the input line (JSON)
  uint32_t mTokens = 0; // as the job states them, 0: not stated
  ItemProgress mProgress;
};

struct ItemBatch
{
  GroupId mGroup;
  Epoch mNodeEpoch;
  uint64_t mSequence = 0; // echo
  JobId mJob;             // empty when there is no work
  FencingToken mToken;
  WorkspaceId mWorkspace;
  uint32_t mWeight = 1;
  ModelId mModel;
  std::string mEndpoint; // "/v1/chat/completions"
  Duration mDeadline;    // time left for the job
  Duration mWindow;      // the job's whole window
  Duration mGoal;        // time left until results are due; 0 or less: late
  std::vector<BatchItem> mItems;
  Duration mRetryAfter; // when to ask again if there was no work
};

enum class ItemVerdict : uint8_t
{
  eDone,      // answered by the target; mBody is the response
  eRetryable, // did not finish; counts as an attempt
  ePermanent, // can never be done, for example malformed
  eReturned,  // handed back unstarted or preempted; no attempt counted
};

struct ItemResult
{
  uint32_t mIndex = 0;
  ItemVerdict mVerdict = ItemVerdict::eDone;
  uint16_t mStatus = 0;   // HTTP status of the target, 0 if none
  std::string mBody;      // response JSON, or the reason for a failure
  ItemProgress mProgress; // of items handed back
};

// Node -> leader. Sent again until acknowledged.
struct ItemResults
{
  GroupId mGroup;
  InstanceId mNode;
  Epoch mNodeEpoch;
  uint64_t mSequence = 0;
  JobId mJob;
  FencingToken mToken;
  std::vector<ItemResult> mResults;
};

struct ItemResultsAck
{
  GroupId mGroup;
  Epoch mNodeEpoch;
  uint64_t mSequence = 0;
  bool mStale = false; // the token no longer holds; cancel what is left
};

// Leader -> node: stop these at once (job cancelled).
struct ItemsRevoked
{
  GroupId mGroup;
  JobId mJob;
};

// Leader -> nodes that asked for work when there was none: ask again.
struct WorkAvailable
{};

} // namespace caraway
