#pragma once
// Messages between entries and nodes about online calls: dispatch, responses,
// cancellation, recovery of outcomes and load reports.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "caraway/base/error.h"
#include "caraway/base/http.h"
#include "caraway/base/ids.h"
#include "caraway/base/outcome.h"
#include "caraway/base/time.h"
#include "caraway/config/contract.h"
#include "caraway/scheduling/stated_rate.h"

namespace caraway {

using HeaderList = Headers;

struct Dispatch
{
  RequestId mRequest;
  uint32_t mAttempt = 0; // from 1; a retransmission keeps its number
  InstanceId mEntry;
  Epoch mEntryEpoch;
  Epoch mNodeEpoch;       // the node refuses any epoch but its own
  uint64_t mSequence = 0; // from 1, per (entry epoch, node epoch), no gaps
  WorkspaceId mWorkspace; // empty on open routes
  // Public id of the caller's key, so that the node can cancel the call when
  // the key is withdrawn.
  KeyId mKey;
  uint32_t mWeight = 1;
  LatencyClass mLatency = LatencyClass::eInteractive;
  ModelId mModel;     // set for engines
  ServiceId mService; // set for services
  bool mIdempotent = false;
  bool mStream = false;
  Duration mDeadline;         // time left at sending
  uint32_t mPromptTokens = 0; // estimate
  uint32_t mOutputTokens = 0; // estimate (max_tokens)
  std::string mMethod;
  std::string mPath;   // with query
  HeaderList mHeaders; // without credentials and hop-by-hop headers
  std::string mBody;
};

// One part of a response. The entry relays parts only in order.
struct AnswerPart
{
  RequestId mRequest;
  uint32_t mAttempt = 0;
  Epoch mNodeEpoch;
  uint32_t mPart = 0;   // from 0, no gaps
  uint16_t mStatus = 0; // HTTP status, on part 0
  HeaderList mHeaders;  // on part 0
  // On part 0: the target's answer has no length and no chunks, so that its end
  // cannot be verified.
  bool mEndsByClose = false;
  std::string mBytes; // at most 256 KiB
  bool mLast = false; // the response is complete
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
  Epoch mNodeEpoch; // the node's present epoch
  uint64_t mSequence = 0;
  ErrorKind mKind = ErrorKind::eOverloaded;
  Outcome mOutcome = Outcome::eNotRun; // of this copy of the dispatch only
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

// Entry -> node when no part has arrived for some time: asks for the state of
// an attempt.
struct OutcomeQuery
{
  RequestId mRequest;
  uint32_t mAttempt = 0;
  Epoch mNodeEpoch;
  InstanceId mEntry;
  Epoch mEntryEpoch;
  uint64_t mSequence = 0;
  uint32_t mNextPart = 0; // the node retransmits the response from this part
};

enum class AttemptState : uint8_t
{
  // Not received in this epoch. The node will not run this sequence number if
  // the dispatch still arrives.
  eNeverSeen,
  eQueued,
  eRunning,
  eAnswered,  // the node retransmits the stored parts
  eForgotten, // ended; the response is no longer stored
  eWrongEpoch,
};

struct OutcomeReply
{
  RequestId mRequest;
  uint32_t mAttempt = 0;
  Epoch mNodeEpoch;
  AttemptState mState = AttemptState::eForgotten;
};

// Entry -> node: subscribes to load reports for the next 10 s.
struct Watch
{
  PeerAddress mReportTo; // UDP
};

// Node -> entry over UDP. A hint only: may be lost, delayed or duplicated.
struct LoadReport
{
  InstanceId mNode;
  Epoch mNodeEpoch;
  uint32_t mRunning = 0;
  uint32_t mQueued = 0;
  uint32_t mLimit = 0;
  bool mCold = false;
  uint32_t mBatch = 0; // batch items among mRunning, which can be preempted
  std::optional<HeardRate> mRate;
  Duration mRateWait; // until the rate allows one more online start
  double mPace = 0;   // of the target, see target_pace.h; 0: not known
};

} // namespace caraway
