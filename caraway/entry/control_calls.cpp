// Calls to the control leader, resent until answered.

#include "caraway/entry/control_calls.h"

#include "caraway/entry/claims.h"
#include "caraway/entry/control_replies.h"
#include "caraway/entry/orders.h"
#include "caraway/entry/session.h"

namespace caraway {

namespace {

constexpr Duration kResendInterval = Millis(500);
// Background calls, such as the completion of a claim whose caller already has
// its response, need not be resent forever: when the session ends, the ledger
// itself marks open claims as unknown.
constexpr Duration kBackgroundDeadline = Seconds(10);

void
SendCall(EntryStep& aStep, uint64_t aNumber, PendingCall& aCall)
{
  SetTimer(aStep.mEntry.mCallTimers, aNumber, aStep.mNow + kResendInterval);
  if (!aCall.mMessage.mEntryEpoch.IsNone()) {
    ++aCall.mCopies;
    Send(aStep, aStep.mEntry.mSession.mLeader, aCall.mMessage);
  }
}

uint64_t
StartCall(EntryStep& aStep,
          const WorkspaceId& aWorkspace,
          uint64_t aRequest,
          MonoTime aDeadline,
          CallBody aBody)
{
  Entry& entry = aStep.mEntry;
  const uint64_t number = entry.mNextCall++;
  PendingCall& call = entry.mCalls[number];
  call.mRequest = aRequest;
  call.mDeadline = aDeadline;
  call.mMessage.mCall = number;
  call.mMessage.mEntry = entry.mSettings.mInstance;
  call.mMessage.mEntryEpoch = entry.mSession.mEpoch;
  call.mMessage.mWorkspace = aWorkspace;
  call.mMessage.mBody = std::move(aBody);
  SendCall(aStep, number, call);
  return number;
}

// Returns true if the leader could not serve the call, which is then resent;
// after a stale epoch, with the epoch of the next session.
bool
IsTransient(const CallReplyBody& aBody)
{
  const auto* failed = std::get_if<CallFailed>(&aBody);
  return failed != nullptr && (failed->mKind == ErrorKind::eUnavailable ||
                               failed->mKind == ErrorKind::eNotLeader ||
                               failed->mKind == ErrorKind::eStaleEpoch);
}

// A refused job must never run. Another copy of the call may be accepted after
// the first was refused, so a refusal counts only once each copy has one.
bool
MayStillBeAccepted(PendingCall& aCall, const CallReplyBody& aBody)
{
  if (!std::holds_alternative<SubmitJob>(aCall.mMessage.mBody) ||
      !std::holds_alternative<CallFailed>(aBody)) {
    return false;
  }
  return ++aCall.mRefusals < aCall.mCopies;
}

} // namespace

void
CallControl(EntryStep& aStep, CallerRequest& aRequest, CallBody aBody)
{
  aRequest.mPendingCall = StartCall(
    aStep, aRequest.mWorkspace, aRequest.mSerial, kNever, std::move(aBody));
}

void
CallControlInBackground(EntryStep& aStep,
                        const WorkspaceId& aWorkspace,
                        CallBody aBody)
{
  StartCall(
    aStep, aWorkspace, 0, aStep.mNow + kBackgroundDeadline, std::move(aBody));
}

void
TickCalls(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  while (auto number = PopDue(entry.mCallTimers, aStep.mNow)) {
    auto call = entry.mCalls.find(*number);
    if (call == entry.mCalls.end()) {
      continue;
    }
    if (aStep.mNow >= call->second.mDeadline) {
      entry.mCalls.erase(call);
      continue;
    }
    SendCall(aStep, *number, call->second);
    // The leader may be down. Renew without delay, which detects that.
    RenewNow(aStep);
  }
}

void
ResendCalls(EntryStep& aStep)
{
  for (auto& [number, call] : aStep.mEntry.mCalls) {
    SendCall(aStep, number, call);
  }
}

void
RenumberCalls(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  std::map<uint64_t, PendingCall> calls = std::move(entry.mCalls);
  entry.mCalls.clear();
  for (auto& [number, call] : calls) {
    ClearTimer(entry.mCallTimers, number);
    const uint64_t newNumber = entry.mNextCall++;
    call.mMessage.mCall = newNumber;
    call.mMessage.mEntryEpoch = entry.mSession.mEpoch;
    call.mCopies = call.mRefusals = 0;
    auto request = entry.mRequests.find(call.mRequest);
    if (request != entry.mRequests.end()) {
      request->second.mPendingCall = newNumber;
    }
    SendCall(aStep, newNumber, entry.mCalls[newNumber] = std::move(call));
  }
}

void
DropCall(EntryStep& aStep, uint64_t aCall)
{
  aStep.mEntry.mCalls.erase(aCall);
  ClearTimer(aStep.mEntry.mCallTimers, aCall);
}

void
HandleControlReply(EntryStep& aStep, const ControlCallReply& aReply)
{
  Entry& entry = aStep.mEntry;
  auto call = entry.mCalls.find(aReply.mCall);
  if (call == entry.mCalls.end() ||
      call->second.mMessage.mEntryEpoch != aReply.mEntryEpoch ||
      IsTransient(aReply.mBody) ||
      MayStillBeAccepted(call->second, aReply.mBody)) {
    return;
  }
  auto request = entry.mRequests.find(call->second.mRequest);
  DropCall(aStep, aReply.mCall);
  if (request == entry.mRequests.end()) {
    return;
  }
  request->second.mPendingCall = 0;
  switch (request->second.mPhase) {
    case RequestPhase::eClaiming:
      HandleClaimReply(aStep, request->second, aReply.mBody);
      break;
    case RequestPhase::eCompleting:
      FinishCompletedClaim(aStep, request->second);
      break;
    case RequestPhase::eControl:
      HandleControlWorkReply(aStep, request->second, aReply.mBody);
      break;
    case RequestPhase::eOrder:
      HandleOrderReply(aStep, request->second, aReply.mBody);
      break;
    default:
      break;
  }
}

} // namespace caraway
