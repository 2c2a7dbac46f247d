#pragma once
// One caller request in progress.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "caraway/base/error.h"
#include "caraway/base/http.h"
#include "caraway/entry/control_work.h"
#include "caraway/entry/direct_state.h"
#include "caraway/entry/order_work.h"
#include "caraway/entry/session_state.h"
#include "caraway/wire/dispatch_messages.h"

namespace caraway {

enum class RequestPhase : uint8_t
{
  eAdmitting,  // waits for the answer to a last-chance ask
  eClaiming,   // waits for the claim of its idempotency key
  eRunning,    // an attempt is out
  eCompleting, // the answer is whole; the claim is being completed
  eControl,    // files and batches: a control call is out
  eDirect,     // this entry takes it to a target itself
  eOrder,      // control answers it
  eDone,       // removed at the end of the step
};

// What a model or service call sends to its target.
struct TargetCall
{
  ModelId mModel;     // engines
  ServiceId mService; // services
  bool mIdempotent = false;
  bool mStream = false;
  uint32_t mPromptTokens = 0;
  uint32_t mOutputTokens = 0;
  uint64_t mPrefix = 0; // for affinity, 0 for none
  std::string mMethod;
  std::string mPath; // with query
  Headers mHeaders;  // filtered
  std::string mBody;
};

// One Dispatch. Exactly one copy of it is sent; the transport may double it
// after a reconnect.
struct Attempt
{
  uint32_t mNumber = 0; // from 1
  InstanceId mNode;
  PeerAddress mAddress;
  Epoch mNodeEpoch;
  Epoch mEntryEpoch;
  uint64_t mSequence = 0;
  MonoTime mSentAt;
  bool mEnded = false;          // nothing more is expected of it
  bool mNotRun = false;         // proven for every copy
  bool mConnectionLost = false; // a copy may still be on its way
  MonoTime mNextQuery;          // next OutcomeQuery
  uint32_t mUnanswered = 0;     // queries since the last sign of life
};

// The answer of the live attempt.
struct Answer
{
  uint32_t mNextPart = 0;
  std::map<uint32_t, AnswerPart> mOutOfOrder; // parts after a gap, bounded
  size_t mOutOfOrderBytes = 0;
  uint16_t mStatus = 0; // 0 before part 0
  Headers mHeaders;
  std::string mBody; // whole answers only
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
  MonoTime mGrantWaitUntil = kNever; // eAdmitting: refused then
  std::optional<MonoTime>
    mShareStartAt; // eAdmitting: starts then, by its share
  bool mTokenTaken = false;
  bool mCallerGone = false;
  bool mReplyBegun = false; // HttpBegin was sent
  TargetCall mTarget;
  ControlWork mControl;
  DirectCall mDirect;
  OrderWork mOrder;
  IdempotencyKey mClaimKey; // empty: no claim
  uint64_t mFingerprint = 0;
  bool mClaimed = false;          // a Claim was sent and may be held
  uint64_t mPendingCall = 0;      // control call that it waits for
  std::vector<Attempt> mAttempts; // the last one is live
  Answer mAnswer;
  ErrorKind mLastKind = ErrorKind::eNone; // of the last failed attempt
  std::string mLastMessage;
  Duration mRetryAfter;
};

} // namespace caraway
