// Admission of requests: spends tokens, or waits a short time for them.

#include "caraway/entry/admission_step.h"

#include <algorithm>

#include "caraway/admission/token_holder.h"
#include "caraway/entry/attempts.h"
#include "caraway/entry/claims.h"
#include "caraway/entry/control_replies.h"
#include "caraway/entry/direct.h"
#include "caraway/entry/forward.h"
#include "caraway/entry/loans.h"
#include "caraway/entry/outcome.h"
#include "caraway/entry/session.h"
#include "caraway/entry/targets.h"
#include "caraway/scheduling/start_pace.h"

namespace caraway {

namespace {

constexpr Duration kGrantReplyTimeout = Millis(200);
// Retry-After while control is unreachable: by then another leader has usually
// been elected and has granted tokens.
constexpr Duration kControlUnreachableRetry = Millis(700);
// Callers that are refused then return one after the other within this time.
constexpr Duration kReturnSpread = Seconds(1);
// Requests that wait longer than kGrantReplyTimeout.
constexpr size_t kMostOnHold = 512;
// Between two rounds over the lenders for one request.
constexpr Duration kLookAgain = Millis(100);
constexpr int64_t kHoldPartOfGoal = 2;
constexpr int64_t kHoldPartOfDeadline = 3;

void
LogAdmission(EntryStep& aStep,
             const CallerRequest& aRequest,
             LogLevel aLevel,
             const char* aChoice,
             const char* aReason)
{
  DecisionLog log;
  log.mLevel = aLevel;
  log.mEvent = "admit";
  log.mRequest = aRequest.mId;
  log.mWorkspace = aRequest.mWorkspace;
  log.mChoice = aChoice;
  log.mReason = aReason;
  const Entry& entry = aStep.mEntry;
  auto tokens = entry.mTokens.mTokens.find(aRequest.mWorkspace);
  if (aLevel != LogLevel::eDebug && tokens != entry.mTokens.mTokens.end()) {
    log.mExtra = {
      { "held", std::to_string(tokens->second.mHeld) },
      { "grantor_settled", entry.mTokens.mSettled ? "true" : "false" },
      { "lease_ms",
        std::to_string((entry.mSession.mLeaseEnd - aStep.mNow).Millis()) },
      { "revision", std::to_string(entry.mConfig.mRevision.mValue) }
    };
  }
  aStep.mOut.emplace_back(std::move(log));
}

void
StartWork(EntryStep& aStep, CallerRequest& aRequest)
{
  if (IsDirect(aRequest.mDirect)) {
    StartDirect(aStep, aRequest);
  } else if (aRequest.mControl.mStep != ControlStep::eNone) {
    StartControlWork(aStep, aRequest);
  } else if (!aRequest.mClaimKey.Empty()) {
    StartClaim(aStep, aRequest);
  } else {
    StartAttempts(aStep, aRequest);
  }
}

void
RefuseRate(EntryStep& aStep,
           CallerRequest& aRequest,
           Duration aRetryAfter,
           const char* aReason = "the workspace is above its rate")
{
  LogAdmission(aStep, aRequest, LogLevel::eInfo, "refused", aReason);
  CallerError error;
  error.mKind = ErrorKind::eRateLimited;
  error.mMessage = aReason;
  error.mRetryAfter = aRetryAfter;
  error.mFractionalRetryAfter = IsDirect(aRequest.mDirect);
  FailRequest(aStep, aRequest, std::move(error));
}

void
StartOnFallbackShare(EntryStep& aStep, CallerRequest& aRequest)
{
  ++aStep.mEntry.mMetrics.mAdmitted;
  CountAdmission(aStep.mEntry.mTokens.mRecent, aStep.mNow, aRequest.mWorkspace);
  LogAdmission(
    aStep,
    aRequest,
    LogLevel::eDebug,
    "admitted",
    "control is unreachable; spent a token of this entry's share of the rate");
  StartWork(aStep, aRequest);
}

// Admits the request by this entry's share of the rate while control is
// unreachable. The share starts empty, so a request whose token is due within
// aMaxWait waits for it; then this returns false.
bool
AdmitOnOwnShare(EntryStep& aStep,
                CallerRequest& aRequest,
                const Contract& aContract,
                Duration aMaxWait)
{
  Entry& entry = aStep.mEntry;
  const std::optional<Duration> wait = ReserveShare(
    entry.mFallback, aStep.mNow, aContract, EntriesKnown(entry), aMaxWait);
  if (!wait) {
    RefuseRate(aStep,
               aRequest,
               kControlUnreachableRetry,
               "control is unreachable and this entry's share of the rate is "
               "used up");
    return true;
  }
  if (*wait > Duration{}) {
    aRequest.mShareStartAt = aStep.mNow + *wait;
    return false;
  }
  StartOnFallbackShare(aStep, aRequest);
  return true;
}

void
StartOnLoan(EntryStep& aStep, CallerRequest& aRequest)
{
  ++aStep.mEntry.mMetrics.mAdmitted; // the lender has counted the admission
  LogAdmission(aStep,
               aRequest,
               LogLevel::eDebug,
               "admitted",
               "control is unreachable; borrowed from the shares of the rate");
  StartWork(aStep, aRequest);
}

// Until when the request may wait for a lender or a grantor. A caller within
// its goal is served earlier this way than by a refusal and a return. Without a
// goal, two thirds of the caller's time remain.
MonoTime
HoldEnd(const EntryStep& aStep, const CallerRequest& aRequest)
{
  const MonoTime shortest = aStep.mNow + kGrantReplyTimeout;
  if (aStep.mEntry.mWaitingForGrant.size() >= kMostOnHold) {
    return shortest;
  }
  const Duration goal = aRequest.mDirect.mLatencyGoal;
  const Duration time =
    goal > Duration{}
      ? goal / kHoldPartOfGoal
      : (aRequest.mDeadline - aRequest.mReceivedAt) / kHoldPartOfDeadline;
  return std::max(
    shortest, aRequest.mReceivedAt + std::min(time, kControlUnreachableRetry));
}

// Admits the request on a loan from the entries that divide the rate. Without
// one, it waits for the grantor for as long as it may.
bool
AdmitOnLoan(EntryStep& aStep,
            CallerRequest& aRequest,
            const Contract& aContract)
{
  if (aRequest.mLoan.mHoldUntil == kNever) {
    aRequest.mLoan.mHoldUntil = HoldEnd(aStep, aRequest);
  }
  switch (BorrowShare(aStep, aRequest, aContract)) {
    case BorrowResult::eGranted:
      StartOnLoan(aStep, aRequest);
      return true;
    case BorrowResult::eNone:
      break;
    case BorrowResult::eDelayed:
    case BorrowResult::eAsked:
      return false;
  }
  if (aStep.mNow < aRequest.mLoan.mHoldUntil) {
    return false;
  }
  const Duration back = NextReturn(aStep.mEntry.mLoans.mReturns,
                                   aStep.mNow,
                                   aContract.mWorkspace,
                                   aContract.mRate / EntriesKnown(aStep.mEntry),
                                   kControlUnreachableRetry,
                                   kReturnSpread);
  // The most that callers honour.
  const Duration most = (aRequest.mDeadline - aStep.mNow) / kHoldPartOfDeadline;
  RefuseRate(
    aStep,
    aRequest,
    std::min(back, most),
    "control is unreachable and no entry has a share of the rate left");
  return true;
}

// Admits the request while control is unreachable. Returns false if it waits.
bool
AdmitOnFallbackShare(EntryStep& aStep,
                     CallerRequest& aRequest,
                     const Contract& aContract,
                     Duration aMaxWait)
{
  return UsesLoans(aStep.mEntry)
           ? AdmitOnLoan(aStep, aRequest, aContract)
           : AdmitOnOwnShare(aStep, aRequest, aContract, aMaxWait);
}

// When to look at a waiting request again, if the grantor does not reply.
MonoTime
NextLook(const CallerRequest& aRequest, MonoTime aNow, MonoTime aGrantWaitUntil)
{
  const RequestLoan& loan = aRequest.mLoan;
  if (aRequest.mShareStartAt) {
    return *aRequest.mShareStartAt;
  }
  if (!loan.mPending.Empty()) {
    return loan.mReplyBy;
  }
  return loan.mHoldUntil != kNever
           ? std::min(loan.mHoldUntil, aNow + kLookAgain)
           : aGrantWaitUntil;
}

void
Unpark(Entry& aEntry, const CallerRequest& aRequest)
{
  std::deque<uint64_t>& parked = aEntry.mWaitingForGrant;
  parked.erase(std::remove(parked.begin(), parked.end(), aRequest.mSerial),
               parked.end());
}

// Admits or refuses the request. Returns false if it has to wait. aAsked: the
// request has waited for a reply of the grantor.
bool
TryAdmitRequest(EntryStep& aStep, CallerRequest& aRequest, bool aAsked)
{
  Entry& entry = aStep.mEntry;
  auto contract = entry.mConfig.mContracts.find(aRequest.mWorkspace);
  if (contract == entry.mConfig.mContracts.end()) {
    return true; // the withdrawal has ended the request or will now
  }
  if (aRequest.mShareStartAt) {
    return false;
  }
  const Duration maxWait =
    aAsked ? std::max(Duration{}, aRequest.mGrantWaitUntil - aStep.mNow)
           : kGrantReplyTimeout;
  if (entry.mSettings.mServeWithoutLease && !HasValidLease(entry, aStep.mNow)) {
    return AdmitOnFallbackShare(aStep, aRequest, contract->second, maxWait);
  }
  const Admission admission =
    TryAdmit(entry.mTokens, aStep.mNow, contract->second, aAsked);
  if (admission.mVerdict != AdmitVerdict::eAdmitted &&
      entry.mSettings.mServeWithoutLease &&
      !AreGrantsExpected(entry.mTokens, aStep.mNow)) {
    return AdmitOnFallbackShare(aStep, aRequest, contract->second, maxWait);
  }
  switch (admission.mVerdict) {
    case AdmitVerdict::eAdmitted:
      ++entry.mMetrics.mAdmitted;
      aRequest.mTokenTaken = true;
      LogAdmission(
        aStep, aRequest, LogLevel::eDebug, "admitted", "token spent");
      StartWork(aStep, aRequest);
      return true;
    case AdmitVerdict::eRefused:
      RefuseRate(aStep, aRequest, admission.mRetryAfter);
      return true;
    case AdmitVerdict::eAsk:
      break;
  }
  return false;
}

} // namespace

void
AdmitRequest(EntryStep& aStep, CallerRequest& aRequest)
{
  if (!NeedsToken(aStep.mEntry, aRequest)) {
    StartWork(aStep, aRequest);
    return;
  }
  if (TryAdmitRequest(aStep, aRequest, false)) {
    return;
  }
  aRequest.mPhase = RequestPhase::eAdmitting;
  aRequest.mGrantWaitUntil =
    NextLook(aRequest, aStep.mNow, aStep.mNow + kGrantReplyTimeout);
  aStep.mEntry.mWaitingForGrant.push_back(aRequest.mSerial);
  ScheduleRequest(aStep, aRequest);
}

void
RetryWaitingForGrant(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  if (!IsOutOfTouch(entry, aStep.mNow)) {
    StopLending(entry.mLoans.mBuckets);
  }
  std::deque<uint64_t> parked = std::move(entry.mWaitingForGrant);
  entry.mWaitingForGrant.clear();
  for (uint64_t serial : parked) {
    auto request = entry.mRequests.find(serial);
    if (request != entry.mRequests.end() &&
        request->second.mPhase == RequestPhase::eAdmitting &&
        !TryAdmitRequest(aStep, request->second, true)) {
      entry.mWaitingForGrant.push_back(serial);
      CallerRequest& waiting = request->second;
      const MonoTime look =
        NextLook(waiting, aStep.mNow, waiting.mGrantWaitUntil);
      if (look != waiting.mGrantWaitUntil) {
        waiting.mGrantWaitUntil = look;
        ScheduleRequest(aStep, waiting);
      }
    }
  }
}

void
GrantWaitExpired(EntryStep& aStep, CallerRequest& aRequest)
{
  Entry& entry = aStep.mEntry;
  if (aRequest.mShareStartAt) {
    Unpark(entry, aRequest);
    if (UsesLoans(entry)) {
      StartOnLoan(aStep, aRequest);
    } else {
      StartOnFallbackShare(aStep, aRequest);
    }
    return;
  }
  if (!aRequest.mLoan.mPending.Empty()) {
    GiveUpLender(aStep, aRequest);
  }
  auto contract = entry.mConfig.mContracts.find(aRequest.mWorkspace);
  if (entry.mSettings.mServeWithoutLease &&
      contract != entry.mConfig.mContracts.end() &&
      (!AreGrantsExpected(entry.mTokens, aStep.mNow) ||
       !AnsweredSince(entry.mTokens, aStep.mNow - kGrantReplyTimeout))) {
    if (AdmitOnFallbackShare(aStep, aRequest, contract->second, Duration{})) {
      Unpark(entry, aRequest);
    } else {
      aRequest.mGrantWaitUntil = NextLook(aRequest, aStep.mNow, aStep.mNow);
      ScheduleRequest(aStep, aRequest);
    }
    return;
  }
  if (aRequest.mLoan.mHoldUntil != kNever &&
      aStep.mNow < aRequest.mLoan.mHoldUntil) {
    // The grantor is back; its reply decides.
    aRequest.mGrantWaitUntil = aRequest.mLoan.mHoldUntil;
    ScheduleRequest(aStep, aRequest);
    return;
  }
  Unpark(entry, aRequest);
  RefuseRate(aStep, aRequest, Seconds(1));
}

void
HandleLoanReply(EntryStep& aStep,
                const PeerAddress& aFrom,
                const LoanReply& aReply)
{
  Entry& entry = aStep.mEntry;
  const auto serial = entry.mById.find(aReply.mRequest);
  const auto found = serial == entry.mById.end()
                       ? entry.mRequests.end()
                       : entry.mRequests.find(serial->second);
  if (found == entry.mRequests.end() ||
      !ApplyLoanReply(aStep, aFrom, aReply, found->second)) {
    return;
  }
  CallerRequest& request = found->second;
  const auto contract = entry.mConfig.mContracts.find(request.mWorkspace);
  if (request.mShareStartAt && *request.mShareStartAt <= aStep.mNow) {
    Unpark(entry, request);
    StartOnLoan(aStep, request);
  } else if (contract != entry.mConfig.mContracts.end() &&
             AdmitOnLoan(aStep, request, contract->second)) {
    Unpark(entry, request);
  } else {
    request.mGrantWaitUntil = NextLook(request, aStep.mNow, aStep.mNow);
    ScheduleRequest(aStep, request);
  }
}

void
SendGrantRequests(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  if (entry.mSession.mEpoch.IsNone()) {
    return;
  }
  if (auto request = NextGrantRequest(entry.mTokens, aStep.mNow)) {
    Send(aStep, entry.mSession.mLeader, std::move(*request));
  }
}

} // namespace caraway
