#pragma once
// Messages by which nodes lease batch items from the leader of the job ledger
// and report their results.

#include <cstdint>
#include <string>
#include <vector>

#include "caraway/base/ids.h"
#include "caraway/base/time.h"

namespace caraway {

// Node -> leader: asks for more batch items.
struct LeaseItems
{
  GroupId mGroup;
  InstanceId mNode;
  Epoch mNodeEpoch;
  // A retransmission keeps its number and is answered with the same items.
  uint64_t mSequence = 0;
  std::vector<ModelId> mModels;
  uint32_t mWanted = 0; // items, at most 64
  // Typical run time per stated token of an item at this node's target; 0: not
  // measured yet.
  Duration mTimePerToken;
};

// Partial output of an item, from which another node can resume it.
struct ItemProgress
{
  uint64_t mLastEvent = 0; // id of the last event in mText, 0: none
  std::string mText;       // concatenated data of the events so far
  // Software version of the target that wrote mText. Another version cannot
  // continue it. Stored apart from the other members, see serialize_items.h.
  std::string mVersion;
};

struct BatchItem
{
  uint32_t mIndex = 0;  // line of the input file, from 0
  std::string mBody;    // the input line (JSON)
  uint32_t mTokens = 0; // as stated by the job, 0: not stated
  ItemProgress mProgress;
};

// EncodedBound: upper bound of the encoded size of one element of a message.
// Senders split messages by it, so it counts every string of the element.
constexpr size_t kMaxElementOverhead = 64; // numbers, and lengths of strings

inline size_t
EncodedBound(const ItemProgress& aProgress)
{
  return aProgress.mText.size() + aProgress.mVersion.size();
}

inline size_t
EncodedBound(const BatchItem& aItem)
{
  return kMaxElementOverhead + aItem.mBody.size() +
         EncodedBound(aItem.mProgress);
}

struct ItemBatch
{
  GroupId mGroup;
  Epoch mNodeEpoch;
  uint64_t mSequence = 0; // of the LeaseItems answered
  JobId mJob;             // empty if there is no work
  FencingToken mToken;
  WorkspaceId mWorkspace;
  uint32_t mWeight = 1;
  ModelId mModel;
  std::string mEndpoint; // "/v1/chat/completions"
  Duration mDeadline;    // time left until the job expires
  Duration mWindow;      // from the job's creation to its deadline
  Duration mGoal;        // time left until results are due, <= 0: overdue
  std::vector<BatchItem> mItems;
  Duration mRetryAfter; // if there is no work: when to ask again
};

enum class ItemVerdict : uint8_t
{
  eDone,      // answered by the target; mBody is the response
  eRetryable, // failed; counts as an attempt
  ePermanent, // can never succeed, for example malformed
  eReturned,  // returned unstarted or preempted; not counted as an attempt
  eHeld,      // as eReturned; sent by earlier versions
};

struct ItemResult
{
  uint32_t mIndex = 0;
  ItemVerdict mVerdict = ItemVerdict::eDone;
  uint16_t mStatus = 0; // HTTP status of the target, 0 if none
  // Response JSON, or the reason for a failure. Of a returned item: the version
  // of its progress.
  std::string mBody;
  ItemProgress mProgress; // of returned items
};

inline size_t
EncodedBound(const ItemResult& aResult)
{
  return kMaxElementOverhead + aResult.mBody.size() +
         EncodedBound(aResult.mProgress);
}

// Node -> leader. Retransmitted until acknowledged.
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
  // The fencing token is no longer valid: cancel the remaining items.
  bool mStale = false;
};

// Leader -> node: the job was cancelled, stop its items at once.
struct ItemsRevoked
{
  GroupId mGroup;
  JobId mJob;
};

// Leader -> nodes that asked while there was no work: ask again.
struct WorkAvailable
{};

} // namespace caraway
