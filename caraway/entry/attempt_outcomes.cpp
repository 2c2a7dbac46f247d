// Refusals, outcome queries, missing replies and lost connections of attempts.

#include <vector>

#include "caraway/entry/attempts.h"
#include "caraway/entry/outcome.h"
#include "caraway/entry/relay.h"
#include "caraway/entry/targets.h"

namespace caraway {

namespace {

constexpr Duration kQueryInterval = Millis(300);
constexpr Duration kSilence = Seconds(1);
// After this many unanswered queries an idempotent call is retried elsewhere. A
// non-idempotent one is queried until its deadline, unless control has removed
// the node; then it fails.
constexpr uint32_t kQueriesBeforeRetry = 3;

CallerRequest*
RequestOf(Entry& aEntry, const RequestId& aId)
{
  auto serial = aEntry.mById.find(aId);
  return serial == aEntry.mById.end() ? nullptr
                                      : &aEntry.mRequests.at(serial->second);
}

Attempt*
AttemptOf(CallerRequest& aRequest, uint32_t aNumber)
{
  for (Attempt& attempt : aRequest.mAttempts) {
    if (attempt.mNumber == aNumber) {
      return &attempt;
    }
  }
  return nullptr;
}

bool
IsLive(const CallerRequest& aRequest, const Attempt& aAttempt)
{
  return aRequest.mPhase == RequestPhase::eRunning &&
         &aAttempt == &aRequest.mAttempts.back() && !aAttempt.mEnded;
}

// True if the refusal proves that no copy of the attempt ran. A refusal by
// another epoch of the node proves it only for the copy that it received. That
// is the only copy unless the connection was lost since the dispatch: then an
// earlier copy may have reached the previous process.
bool
ProvesNotRun(const Attempt& aAttempt,
             const Refusal& aRefusal,
             bool aAnswerBegan)
{
  if (aRefusal.mOutcome != Outcome::eNotRun || aAnswerBegan ||
      aRefusal.mSequence != aAttempt.mSequence) {
    return false;
  }
  return aRefusal.mNodeEpoch == aAttempt.mNodeEpoch ||
         !aAttempt.mConnectionLost;
}

// True for errors that mean the target is faulty or out of service rather than
// busy.
bool
IsTargetFailure(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::eTargetFailed:
    case ErrorKind::eTimeout:
    case ErrorKind::eDraining:
    case ErrorKind::eZoneOut:
    case ErrorKind::eLeaseExpired:
    case ErrorKind::eStaleEpoch:
    case ErrorKind::eUnavailable:
      return true;
    default:
      return false;
  }
}

void
SendQuery(EntryStep& aStep, CallerRequest& aRequest, Attempt& aAttempt)
{
  OutcomeQuery query;
  query.mRequest = aRequest.mId;
  query.mAttempt = aAttempt.mNumber;
  query.mNodeEpoch = aAttempt.mNodeEpoch;
  query.mEntry = aStep.mEntry.mSettings.mInstance;
  query.mEntryEpoch = aAttempt.mEntryEpoch;
  query.mSequence = aAttempt.mSequence;
  query.mNextPart = aRequest.mAnswer.mNextPart;
  Send(aStep, aAttempt.mAddress, query);
  ++aStep.mEntry.mMetrics.mQueries;
  ++aAttempt.mUnanswered;
  aAttempt.mNextQuery = aStep.mNow + kQueryInterval;
  ScheduleRequest(aStep, aRequest);
}

// True if control has removed the node or given it a new epoch. Its process may
// still work on the attempt if only its session ended; an outcome query tells.
bool
IsGone(const Entry& aEntry, const Attempt& aAttempt)
{
  const Member* node = NodeMember(aEntry, aAttempt.mNode);
  return node == nullptr || node->mEpoch != aAttempt.mNodeEpoch;
}

void
FailNodeGone(EntryStep& aStep, CallerRequest& aRequest)
{
  AttemptFailed(aStep,
                aRequest,
                ErrorKind::eOutcomeUnknown,
                "the node that had the request was removed or restarted");
}

std::vector<uint64_t>
RunningSerials(const Entry& aEntry)
{
  std::vector<uint64_t> serials;
  for (const auto& [serial, request] : aEntry.mRequests) {
    if (request.mPhase == RequestPhase::eRunning &&
        !request.mAttempts.back().mEnded) {
      serials.push_back(serial);
    }
  }
  return serials;
}

} // namespace

void
HandleRefusal(EntryStep& aStep, const Refusal& aRefusal)
{
  CallerRequest* request = RequestOf(aStep.mEntry, aRefusal.mRequest);
  Attempt* attempt =
    request == nullptr ? nullptr : AttemptOf(*request, aRefusal.mAttempt);
  if (attempt == nullptr) {
    return;
  }
  const bool live = IsLive(*request, *attempt);
  const bool began = live && request->mAnswer.mNextPart > 0;
  // A refusal by another epoch says nothing about an attempt that is known to
  // run under its own epoch, as it has sent parts of the answer.
  if (live && began && aRefusal.mNodeEpoch != attempt->mNodeEpoch) {
    return;
  }
  if (ProvesNotRun(*attempt, aRefusal, began)) {
    attempt->mNotRun = true;
  }
  RecordNodeLoad(aStep,
                 attempt->mNode,
                 aRefusal.mNodeEpoch,
                 { aRefusal.mRunning, aRefusal.mQueued, aRefusal.mLimit });
  if (!live) {
    return;
  }
  if (IsTargetFailure(aRefusal.mKind)) {
    NoteTargetFailure(aStep, *attempt);
  }
  AttemptFailed(
    aStep, *request, aRefusal.mKind, aRefusal.mMessage, aRefusal.mRetryAfter);
}

void
HandleOutcomeReply(EntryStep& aStep, const OutcomeReply& aReply)
{
  CallerRequest* request = RequestOf(aStep.mEntry, aReply.mRequest);
  Attempt* attempt =
    request == nullptr ? nullptr : AttemptOf(*request, aReply.mAttempt);
  if (attempt == nullptr || !IsLive(*request, *attempt)) {
    return;
  }
  if (aReply.mState == AttemptState::eWrongEpoch ||
      aReply.mNodeEpoch != attempt->mNodeEpoch) {
    FailNodeGone(aStep, *request);
    return;
  }
  switch (aReply.mState) {
    case AttemptState::eNeverSeen:
      if (request->mAnswer.mNextPart == 0 &&
          request->mAnswer.mOutOfOrder.empty()) {
        attempt->mNotRun = true;
        AttemptFailed(aStep,
                      *request,
                      ErrorKind::eUnavailable,
                      "the request did not reach the node");
      }
      break;
    case AttemptState::eQueued:
    case AttemptState::eRunning:
    case AttemptState::eAnswered:
      attempt->mUnanswered = 0;
      attempt->mNextQuery =
        aStep.mNow + (aReply.mState == AttemptState::eAnswered ||
                          !request->mAnswer.mOutOfOrder.empty()
                        ? kQueryInterval
                        : kSilence);
      ScheduleRequest(aStep, *request);
      break;
    default:
      AttemptFailed(aStep,
                    *request,
                    ErrorKind::eOutcomeUnknown,
                    "the answer of the target was lost");
      break;
  }
}

void
TickAttempt(EntryStep& aStep, CallerRequest& aRequest)
{
  Attempt& attempt = aRequest.mAttempts.back();
  if (attempt.mEnded || aStep.mNow < attempt.mNextQuery) {
    ScheduleRequest(aStep, aRequest);
    return;
  }
  const bool unanswered = attempt.mUnanswered >= kQueriesBeforeRetry;
  if (unanswered && IsGone(aStep.mEntry, attempt)) {
    FailNodeGone(aStep, aRequest);
    return;
  }
  if (unanswered && aRequest.mTarget.mIdempotent) {
    NoteTargetFailure(aStep, attempt);
    Send(aStep,
         attempt.mAddress,
         CancelRequest{ aRequest.mId, attempt.mNumber, attempt.mNodeEpoch });
    AttemptFailed(aStep,
                  aRequest,
                  ErrorKind::eTargetFailed,
                  "the node of the target stopped replying");
    return;
  }
  SendQuery(aStep, aRequest, attempt);
}

void
AttemptsPeerLost(EntryStep& aStep, const PeerAddress& aPeer)
{
  for (uint64_t serial : RunningSerials(aStep.mEntry)) {
    CallerRequest& request = aStep.mEntry.mRequests.at(serial);
    Attempt& attempt = request.mAttempts.back();
    if (attempt.mAddress != aPeer) {
      continue;
    }
    attempt.mConnectionLost = true;
    if (request.mTarget.mIdempotent && MayRetryAttempt(aStep, request) &&
        HasRetry(aStep.mEntry.mRetries, request.mWorkspace)) {
      Send(aStep,
           attempt.mAddress,
           CancelRequest{ request.mId, attempt.mNumber, attempt.mNodeEpoch });
      AttemptFailed(aStep,
                    request,
                    ErrorKind::eTargetFailed,
                    "the connection to the node was lost");
    } else {
      SendQuery(aStep, request, attempt);
    }
  }
}

void
AttemptsTopologyChanged(EntryStep& aStep)
{
  for (uint64_t serial : RunningSerials(aStep.mEntry)) {
    CallerRequest& request = aStep.mEntry.mRequests.at(serial);
    Attempt& attempt = request.mAttempts.back();
    if (IsGone(aStep.mEntry, attempt) && attempt.mUnanswered == 0) {
      SendQuery(aStep, request, attempt);
    }
  }
}

} // namespace caraway
