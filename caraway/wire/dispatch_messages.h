#pragma once
// Messages between entries and nodes: online and service calls.

#include <cstdint>
#include <string>
#include <vector>

#include "caraway/base/error.h"
#include "caraway/base/http.h"
#include "caraway/base/ids.h"
#include "caraway/base/outcome.h"
#include "caraway/base/time.h"
#include "caraway/config/contract.h"

namespace caraway {

using HeaderList = Headers;

struct Dispatch
{
  RequestId mRequest;
  uint32_t mAttempt = 0; // from 1; a resend of one attempt keeps its number
  InstanceId mEntry;
  Epoch mEntryEpoch;
  Epoch mNodeEpoch;       // refused if the node has another one
  uint64_t mSequence = 0; // from 1, per (entry epoch, node epoch), no gaps
  WorkspaceId mWorkspace; // empty on open routes
  KeyId mKey;             // public id only, so that a node can cancel
  uint32_t mWeight = 1;
  LatencyClass mLatency = LatencyClass::eInteractive;
  ModelId mModel;     // set for engines
  ServiceId mService; // set for services
  bool mIdempotent = false;
  bool mStream = false;
  Duration mDeadline;         // time left when sent
  uint32_t mPromptTokens = 0; // estimate
  uint32_t mOutputTokens = 0; // estimate (max_tokens)
  std::string mMethod;
  std::string mPath;   // with query
  HeaderList mHeaders; // without credentials and hop headers
  std::string mBody;
};

// One piece of an answer. The entry relays pieces only in sequence.
struct AnswerPart
{
  RequestId mRequest;
  uint32_t mAttempt = 0;
  Epoch mNodeEpoch;
  uint32_t mPart = 0;   // from 0, no gaps
  uint16_t mStatus = 0; // HTTP status, on part 0
  HeaderList mHeaders;  // on part 0
  std::string mBytes;   // at most 256 KiB
  bool mLast = false;   // the answer is whole
  // On the last part: load of the node.
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  uint32_t mLimit = 0;
};

// The node did not finish the call.
struct Refusal
{
  RequestId mRequest;
  uint32_t mAttempt = 0;
  Epoch mNodeEpoch; // of the refusing node now
  uint64_t mSequence = 0;
  ErrorKind mKind = ErrorKind::eOverloaded;
  Outcome mOutcome = Outcome::eNotRun; // speaks for this copy of the dispatch
  std::string mMessage;
  Duration mRetryAfter;
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  uint32_t mLimit = 0;
};

struct CancelRequest
{
  RequestId mRequest;
  uint32_t mAttempt = 0;
  Epoch mNodeEpoch;
};

// Entry -> node after silence: what became of this attempt?
struct OutcomeQuery
{
  RequestId mRequest;
  uint32_t mAttempt = 0;
  Epoch mNodeEpoch;
  InstanceId mEntry;
  Epoch mEntryEpoch;
  uint64_t mSequence = 0;
  uint32_t mNextPart = 0; // the node sends the answer again from this part
};

enum class AttemptState : uint8_t
{
  eNeverSeen, // this epoch never saw it and now never runs this sequence
  eQueued,
  eRunning,
  eAnswered,  // the kept parts follow
  eForgotten, // ended, the answer is no longer kept
  eWrongEpoch,
};

struct OutcomeReply
{
  RequestId mRequest;
  uint32_t mAttempt = 0;
  Epoch mNodeEpoch;
  AttemptState mState = AttemptState::eForgotten;
};

// Entry -> node: send load reports for the next 10 s.
struct Watch
{
  PeerAddress mReportTo; // UDP
};

// Node -> entry over UDP. A hint: may be lost, late or doubled.
struct LoadReport
{
  InstanceId mNode;
  Epoch mNodeEpoch;
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  uint32_t mLimit = 0;
  bool mCold = false;
  uint32_t mBatch = 0; // part of mRunning: batch items, which give way
};

} // namespace caraway
