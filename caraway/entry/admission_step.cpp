// Admission of requests.

#include "caraway/entry/admission_step.h"

#include <algorithm>

#include "caraway/admission/token_holder.h"
#include "caraway/entry/attempts.h"
#include "caraway/entry/claims.h"
#include "caraway/entry/control_replies.h"
#include "caraway/entry/direct.h"
#include "caraway/entry/forward.h"
#include "caraway/entry/outcome.h"
#include "caraway/entry/session.h"

namespace caraway {

namespace {

constexpr Duration kAskWait = Millis(200);
// Another leader has usually been elected and has granted tokens by then.
constexpr Duration kControlAway = Millis(700);

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
  error.mExactRetry = IsDirect(aRequest.mDirect);
  FailRequest(aStep, aRequest, std::move(error));
}

void
StartByShare(EntryStep& aStep, CallerRequest& aRequest)
{
  ++aStep.mEntry.mMetrics.mAdmitted;
  CountAdmission(aStep.mEntry.mTokens.mRecent, aStep.mNow, aRequest.mWorkspace);
  LogAdmission(aStep,
               aRequest,
               LogLevel::eDebug,
               "admitted",
               "share of the rate, control is out of reach");
  StartWork(aStep, aRequest);
}

// Control is out of reach, so no tokens come. The share starts empty; a request
// whose token comes within aMaxWait waits for it. Returns false in that case.
bool
AdmitByShare(EntryStep& aStep,
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
               kControlAway,
               "control is out of reach and this entry's share of the rate is "
               "used up");
    return true;
  }
  if (*wait > Duration{}) {
    aRequest.mShareAt = aStep.mNow + *wait;
    return false;
  }
  StartByShare(aStep, aRequest);
  return true;
}

// Returns false if the request is to wait.
bool
TryOnce(EntryStep& aStep, CallerRequest& aRequest, bool aAsked)
{
  Entry& entry = aStep.mEntry;
  auto contract = entry.mConfig.mContracts.find(aRequest.mWorkspace);
  if (contract == entry.mConfig.mContracts.end()) {
    return true; // the withdrawal has ended it, or will at once
  }
  if (aRequest.mShareAt) {
    return false;
  }
  const Duration mostWait =
    aAsked ? std::max(Duration{}, aRequest.mAskUntil - aStep.mNow) : kAskWait;
  if (entry.mSettings.mServeWithoutLease && !LeaseHolds(entry, aStep.mNow)) {
    return AdmitByShare(aStep, aRequest, contract->second, mostWait);
  }
  const Admission admission =
    TryAdmit(entry.mTokens, aStep.mNow, contract->second, aAsked);
  if (admission.mVerdict != AdmitVerdict::eAdmitted &&
      entry.mSettings.mServeWithoutLease &&
      !AreGrantsExpected(entry.mTokens, aStep.mNow)) {
    return AdmitByShare(aStep, aRequest, contract->second, mostWait);
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
  if (TryOnce(aStep, aRequest, false)) {
    return;
  }
  aRequest.mPhase = RequestPhase::eAdmitting;
  aRequest.mAskUntil = aRequest.mShareAt.value_or(aStep.mNow + kAskWait);
  aStep.mEntry.mParked.push_back(aRequest.mSerial);
  ScheduleRequest(aStep, aRequest);
}

void
RetryParked(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  std::deque<uint64_t> parked = std::move(entry.mParked);
  entry.mParked.clear();
  for (uint64_t serial : parked) {
    auto request = entry.mRequests.find(serial);
    if (request != entry.mRequests.end() &&
        request->second.mPhase == RequestPhase::eAdmitting &&
        !TryOnce(aStep, request->second, true)) {
      entry.mParked.push_back(serial);
      if (request->second.mShareAt) {
        request->second.mAskUntil = *request->second.mShareAt;
        ScheduleRequest(aStep, request->second);
      }
    }
  }
}

void
GiveUpParked(EntryStep& aStep, CallerRequest& aRequest)
{
  std::deque<uint64_t>& parked = aStep.mEntry.mParked;
  parked.erase(std::remove(parked.begin(), parked.end(), aRequest.mSerial),
               parked.end());
  if (aRequest.mShareAt) {
    StartByShare(aStep, aRequest);
    return;
  }
  const Entry& entry = aStep.mEntry;
  auto contract = entry.mConfig.mContracts.find(aRequest.mWorkspace);
  if (entry.mSettings.mServeWithoutLease &&
      contract != entry.mConfig.mContracts.end() &&
      (!AreGrantsExpected(entry.mTokens, aStep.mNow) ||
       !AnsweredSince(entry.mTokens, aRequest.mAskUntil - kAskWait))) {
    AdmitByShare(aStep, aRequest, contract->second, Duration{});
    return;
  }
  RefuseRate(aStep, aRequest, Seconds(1));
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
