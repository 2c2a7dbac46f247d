// Admission of requests: spends tokens, or waits a short time for them.

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
#include "caraway/entry/targets.h"
#include "caraway/scheduling/start_pace.h"

namespace caraway {

namespace {

constexpr Duration kGrantReplyTimeout = Millis(200);
// Retry-After while control is unreachable: by then another leader has usually
// been elected and has granted tokens.
constexpr Duration kControlUnreachableRetry = Millis(700);

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

// Admits the request above the contract, by this entry's part of what the
// deployment tolerates. A process that is younger than a window admits none:
// the former process of this entry may have.
bool
MayOverrun(EntryStep& aStep, const Contract& aContract)
{
  Entry& entry = aStep.mEntry;
  const RateTolerance& tolerance = entry.mSettings.mRateTolerance;
  if (aStep.mNow - entry.mSession.mStartedAt < tolerance.mWindow) {
    return false;
  }
  const uint32_t allowed =
    ShareOfRank(kEntryPart * OverrunOf(tolerance, aContract),
                RankAmongEntries(entry, aContract.mWorkspace.mValue),
                EntriesKnown(entry));
  if (!SpendOverrun(entry.mOverrun,
                    aStep.mNow,
                    aContract.mWorkspace,
                    tolerance.mWindow,
                    allowed)) {
    return false;
  }
  ++entry.mMetrics.mOverruns;
  return true;
}

// Admits the request by this entry's share of the rate while control is
// unreachable. The share starts empty, so a request whose token is due within
// aMaxWait waits for it; then this returns false.
bool
AdmitOnFallbackShare(EntryStep& aStep,
                     CallerRequest& aRequest,
                     const Contract& aContract,
                     Duration aMaxWait)
{
  Entry& entry = aStep.mEntry;
  const std::optional<Duration> wait = ReserveShare(
    entry.mFallback, aStep.mNow, aContract, EntriesKnown(entry), aMaxWait);
  if (!wait && MayOverrun(aStep, aContract)) {
    StartOnFallbackShare(aStep, aRequest);
    return true;
  }
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
    aRequest.mShareStartAt.value_or(aStep.mNow + kGrantReplyTimeout);
  aStep.mEntry.mWaitingForGrant.push_back(aRequest.mSerial);
  ScheduleRequest(aStep, aRequest);
}

void
RetryWaitingForGrant(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  std::deque<uint64_t> parked = std::move(entry.mWaitingForGrant);
  entry.mWaitingForGrant.clear();
  for (uint64_t serial : parked) {
    auto request = entry.mRequests.find(serial);
    if (request != entry.mRequests.end() &&
        request->second.mPhase == RequestPhase::eAdmitting &&
        !TryAdmitRequest(aStep, request->second, true)) {
      entry.mWaitingForGrant.push_back(serial);
      if (request->second.mShareStartAt) {
        request->second.mGrantWaitUntil = *request->second.mShareStartAt;
        ScheduleRequest(aStep, request->second);
      }
    }
  }
}

void
GrantWaitExpired(EntryStep& aStep, CallerRequest& aRequest)
{
  std::deque<uint64_t>& parked = aStep.mEntry.mWaitingForGrant;
  parked.erase(std::remove(parked.begin(), parked.end(), aRequest.mSerial),
               parked.end());
  if (aRequest.mShareStartAt) {
    StartOnFallbackShare(aStep, aRequest);
    return;
  }
  const Entry& entry = aStep.mEntry;
  auto contract = entry.mConfig.mContracts.find(aRequest.mWorkspace);
  if (entry.mSettings.mServeWithoutLease &&
      contract != entry.mConfig.mContracts.end() &&
      (!AreGrantsExpected(entry.mTokens, aStep.mNow) ||
       !AnsweredSince(entry.mTokens,
                      aRequest.mGrantWaitUntil - kGrantReplyTimeout))) {
    AdmitOnFallbackShare(aStep, aRequest, contract->second, Duration{});
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
