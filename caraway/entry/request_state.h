#pragma once
// State of one caller request in progress.

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "caraway/base/error.h"
#include "caraway/base/http.h"
#include "caraway/entry/control_work.h"
#include "caraway/entry/direct_state.h"
#include "caraway/entry/loans_state.h"
#include "caraway/entry/order_work.h"
#include "caraway/entry/session_state.h"
#include "caraway/poison/input_part.h"
#include "caraway/wire/dispatch_messages.h"

namespace caraway {

enum class RequestPhase : uint8_t
{
  eAdmitting,  // waits for a token: a grant reply or its fallback share
  eClaiming,   // waits for the reply to its idempotency claim
  eRunning,    // dispatched to a node
  eCompleting, // answer complete; waits until control has stored it
  eControl,    // file or batch call: waits for a control call
  eDirect,     // sent to a target by this entry itself
  eOrder,      // answered by control
  eDone,       // removed at the end of the step
};

// The call that is sent to the target.
struct TargetCall
{
  ModelId mModel;     // for engines, else empty
  ServiceId mService; // for plain services, else empty
  bool mIdempotent = false;
  bool mStream = false;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0;
  uint64_t mPrefix = 0;       // hash for prefix affinity, 0: none
  uint32_t mSharedTokens = 0; // of the prompt's prefix, direct requests only
  std::string mMethod;
  std::string mPath; // with the query
  Headers mHeaders;  // filtered, only what the target may see
  std::string mBody;
};

// The part of the prompt's tokens that other requests share.
inline double
PrefixShare(const TargetCall& aCall)
{
  const double all = std::max(aCall.mPromptTokens, aCall.mSharedTokens);
  return all > 0 ? aCall.mSharedTokens / all : 0;
}

// One attempt: a Dispatch to one node. The entry sends it once; the transport
// may deliver it twice after a reconnect.
struct Attempt
{
  uint32_t mNumber = 0; // starts at 1
  InstanceId mNode;
  PeerAddress mAddress;
  Epoch mNodeEpoch;
  Epoch mEntryEpoch;
  uint64_t mSequence = 0;
  MonoTime mSentAt;
  bool mEnded = false;          // no reply is waited for any more
  bool mNotRun = false;         // proven for every copy
  bool mConnectionLost = false; // since the dispatch; a copy may still arrive
  MonoTime mNextQuery;          // when the next OutcomeQuery is due
  uint32_t mUnanswered = 0; // queries since the node's last message about it
};

// The answer received from the live attempt so far.
struct Answer
{
  uint32_t mNextPart = 0;
  // Parts received after a missing one, by number; bounded.
  std::map<uint32_t, AnswerPart> mOutOfOrder;
  size_t mOutOfOrderBytes = 0;
  uint16_t mStatus = 0; // 0 before part 0
  Headers mHeaders;
  bool mEndsByClose = false; // as on part 0
  std::string mBody;         // of answers that are not streamed
};

struct CallerRequest
{
  uint64_t mSerial = 0;
  RequestId mId;
  HttpCallId mCall;
  RequestPhase mPhase = RequestPhase::eAdmitting;
  WorkspaceId mWorkspace; // empty on open routes
  KeyId mKey;             // empty on open routes
  MonoTime mReceivedAt;
  MonoTime mDeadline;
  MonoTime mGrantWaitUntil = kNever; // eAdmitting: end of the wait for a token
  // eAdmitting: when its reserved token of a rate share is due.
  std::optional<MonoTime> mShareStartAt;
  RequestLoan mLoan;
  bool mTokenTaken = false;
  bool mCallerGone = false;
  bool mReplyBegun = false; // HttpBegin was sent
  TargetCall mTarget;
  // Direct requests: parts of the prompt, and the whole input.
  InputParts mInputParts;
  ControlWork mControl;
  DirectCall mDirect;
  OrderWork mOrder;
  IdempotencyKey mClaimKey; // empty: no idempotency claim
  uint64_t mFingerprint = 0;
  bool mClaimed = false;     // a Claim was sent and may be in force
  uint64_t mPendingCall = 0; // number of the control call it waits for, 0: none
  std::vector<Attempt> mAttempts; // the last one is the live one
  Answer mAnswer;
  ErrorKind mLastKind = ErrorKind::eNone; // of the last failed attempt
  std::string mLastMessage;
  Duration mRetryAfter;
};

} // namespace caraway
