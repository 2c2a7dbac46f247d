// The token holder: spends tokens, and decides when to request which tokens.

#include "caraway/admission/token_holder.h"

#include <algorithm>
#include <cmath>

#include "caraway/admission/hold.h"
#include "caraway/base/lease.h"

namespace caraway {

namespace {

constexpr Duration kReportInterval = Millis(200);
constexpr Duration kResendAfter = Millis(200);
// Without a reply the resend delay doubles up to this, so that retransmissions
// do not add load to a leader that is already overloaded.
constexpr Duration kMaxResendDelay = Millis(1600);
constexpr double kUrgentPerSecond = 16;
constexpr double kUrgentBurst = 4;
// While tokens are scarce, an entry repeats urgent requests for its requests on
// hold after this delay: up to four times within the hold of 200 ms.
constexpr Duration kAskAgainInterval = Millis(50);
constexpr Duration kDemandWindow = Seconds(1);
constexpr Duration kForgetAfter = Seconds(10);
constexpr MonoTime kLongAgo{ -Seconds(3600).mMicros };

void
DropExpired(HeldTokens& aTokens, MonoTime aNow)
{
  if (aNow >= aTokens.mEnds) {
    aTokens.mHeld = 0;
    aTokens.mReturnable = 0;
  }
  if (aNow >= aTokens.mBriefEnds) {
    aTokens.mBrief = 0;
    aTokens.mBriefSpent = 0;
  }
}

// Estimated number of requests in the last second.
double
Demand(HeldTokens& aTokens, MonoTime aNow)
{
  SpanCount& arrivals = aTokens.mArrivals;
  AdvanceSpan(arrivals, aNow, kDemandWindow);
  const double passed =
    (aNow - arrivals.mStart).Seconds() / kDemandWindow.Seconds();
  return arrivals.mNow + arrivals.mBefore * (1 - passed);
}

// Tokens to hold in advance: one second of demand less one request, or one
// report interval of demand while tokens are scarce. Below two requests a
// second this gives none, since the tokens would lie idle while other entries
// need them.
double
KeepTarget(HeldTokens& aTokens, MonoTime aNow)
{
  const double demand = Demand(aTokens, aNow);
  const double ahead = aTokens.mScarce ? demand * kReportInterval.Seconds()
                                       : std::max(0.0, demand - 1);
  return std::floor(ahead);
}

// Tokens to return with the next message.
double
Excess(HeldTokens& aTokens, MonoTime aNow)
{
  const double target = KeepTarget(aTokens, aNow);
  const double allowed =
    aTokens.mScarce || target == 0 ? target : 2 * target + 1;
  return aTokens.mHeld > allowed ? aTokens.mHeld - target : 0;
}

bool
HasNothingToReport(const HeldTokens& aTokens)
{
  return aTokens.mHeld == 0 && aTokens.mUnsent == 0 && aTokens.mSent == 0 &&
         aTokens.mOpen == 0 && aTokens.mSpent == aTokens.mReported;
}

void
RefillUrgent(TokenHolder& aHolder, MonoTime aNow)
{
  aHolder.mUrgentLeft =
    std::min(kUrgentBurst,
             aHolder.mUrgentLeft +
               (aNow - aHolder.mUrgentAt).Seconds() * kUrgentPerSecond);
  aHolder.mUrgentAt = aNow;
}

bool
IsUrgent(const HeldTokens& aTokens, MonoTime aNow)
{
  return (aTokens.mUnsent > 0 && aNow >= aTokens.mAskAgainAt) ||
         aTokens.mReturnExcess;
}

WorkspaceDemand
MakeAsk(const WorkspaceId& aWorkspace, HeldTokens& aTokens, MonoTime aNow)
{
  // Returned tokens are dropped before the message is sent.
  aTokens.mHeld -= Excess(aTokens, aNow);
  WorkspaceDemand ask;
  ask.mWorkspace = aWorkspace;
  ask.mSpent = aTokens.mSpent;
  ask.mHeld = aTokens.mHeld;
  ask.mWaiting = aTokens.mUnsent;
  ask.mWanted = std::max(
    ask.mWaiting, aTokens.mUnsent + KeepTarget(aTokens, aNow) - aTokens.mHeld);
  aTokens.mOpen = ask.mWanted;
  aTokens.mSent = aTokens.mUnsent;
  aTokens.mUnsent = 0;
  aTokens.mReported = aTokens.mSpent;
  aTokens.mReturnable = 0;
  aTokens.mReturnExcess = false;
  aTokens.mSentAt = aNow;
  return ask;
}

std::vector<WorkspaceDemand>
CollectAsks(TokenHolder& aHolder, MonoTime aNow)
{
  std::vector<WorkspaceDemand> asks;
  if (aHolder.mReportAll) {
    ForgetOldCounts(aHolder.mRecent, aNow);
    for (const auto& [id, count] : aHolder.mRecent.mCounts) {
      aHolder.mActive.insert(id);
    }
  }
  for (auto id = aHolder.mActive.begin(); id != aHolder.mActive.end();) {
    HeldTokens& tokens = aHolder.mTokens[*id];
    DropExpired(tokens, aNow);
    const double recent =
      aHolder.mReportAll
        ? CountRecentAdmissions(aHolder.mRecent, aNow, *id) + tokens.mBrief
        : 0;
    if (HasNothingToReport(tokens) && recent == 0) {
      id = aHolder.mActive.erase(id);
      continue;
    }
    if (aHolder.mReportAll || IsUrgent(tokens, aNow) ||
        aNow >= tokens.mSentAt + kReportInterval) {
      asks.push_back(MakeAsk(*id, tokens, aNow));
      asks.back().mRecent = recent;
    }
    ++id;
  }
  return asks;
}

bool
AnyUrgent(TokenHolder& aHolder, MonoTime aNow)
{
  return aHolder.mReportAll ||
         std::any_of(aHolder.mActive.begin(),
                     aHolder.mActive.end(),
                     [&](const WorkspaceId& aId) {
                       return IsUrgent(aHolder.mTokens[aId], aNow);
                     });
}

void
Sweep(TokenHolder& aHolder, MonoTime aNow)
{
  if (aNow < aHolder.mNextSweep) {
    return;
  }
  aHolder.mNextSweep = aNow + kForgetAfter;
  absl::erase_if(aHolder.mTokens, [&](const auto& aEntry) {
    return !aHolder.mActive.contains(aEntry.first) &&
           aEntry.second.mArrivals.mStart + kForgetAfter <= aNow;
  });
}

void
ApplyGrant(HeldTokens& aTokens,
           MonoTime aNow,
           const GrantReply& aReply,
           const WorkspaceGrant& aGiven)
{
  // Tokens that expired before the reply arrived are lost.
  DropExpired(aTokens, aNow);
  aTokens.mHeld += std::max(0.0, aGiven.mTokens);
  aTokens.mEnds = HolderLeaseEnd({ aReply.mSentAt }, aReply.mLease);
  aTokens.mBrief = std::max(0.0, aGiven.mBrief);
  aTokens.mBriefSpent = 0;
  aTokens.mBriefEnds = HolderLeaseEnd({ aReply.mSentAt }, aReply.mBriefLease);
  DropExpired(aTokens, aNow);
  aTokens.mScarce = aGiven.mRetryAfter > Duration{};
  aTokens.mRetryAt = aNow + aGiven.mRetryAfter;
  aTokens.mAskAgainAt =
    aTokens.mScarce ? aNow + std::min(kAskAgainInterval, aGiven.mRetryAfter)
                    : aNow;
  const double missing = std::max(0.0, aTokens.mAwaitingRetry - aGiven.mBrief);
  aTokens.mExpected = ExpectedInHold(missing, aGiven.mRetryAfter);
  aTokens.mOpen = std::max(0.0, aTokens.mOpen - aGiven.mTokens - aGiven.mBrief);
  aTokens.mReturnExcess =
    aTokens.mScarce && missing == 0 && Excess(aTokens, aNow) > 0;
}

} // namespace

void
StartTokenHolder(TokenHolder& aHolder,
                 MonoTime aNow,
                 const InstanceId& aEntry,
                 Epoch aEpoch)
{
  RecentAdmissions recent = std::move(aHolder.mRecent);
  aHolder = TokenHolder{};
  aHolder.mRecent = std::move(recent);
  aHolder.mRecent.mSince = std::min(aHolder.mRecent.mSince, aNow);
  aHolder.mEntry = aEntry;
  aHolder.mEpoch = aEpoch;
  aHolder.mLastSent = aNow - kReportInterval;
  aHolder.mUrgentAt = aNow;
  aHolder.mNextSweep = aNow + kForgetAfter;
}

Admission
TryAdmit(TokenHolder& aHolder,
         MonoTime aNow,
         const Contract& aContract,
         bool aAsked)
{
  if (aContract.mWithdrawn || aContract.mRate <= 0) {
    return { AdmitVerdict::eRefused, Seconds(60) };
  }
  auto [place, fresh] = aHolder.mTokens.try_emplace(aContract.mWorkspace);
  HeldTokens& tokens = place->second;
  if (fresh) {
    tokens.mArrivals.mStart = aNow;
    tokens.mSentAt = kLongAgo;
  }
  DropExpired(tokens, aNow);
  if (!aAsked) {
    AdvanceSpan(tokens.mArrivals, aNow, kDemandWindow);
    ++tokens.mArrivals.mNow;
  }
  aHolder.mActive.insert(aContract.mWorkspace);
  const bool covered = aAsked && tokens.mAwaitingRetry > 0;
  tokens.mAwaitingRetry -= covered ? 1 : 0;
  if (tokens.mBrief >= 1) {
    --tokens.mBrief;
    ++tokens.mBriefSpent;
    CountAdmission(aHolder.mRecent, aNow, aContract.mWorkspace);
    return { AdmitVerdict::eAdmitted, {} };
  }
  if (tokens.mHeld >= 1) {
    --tokens.mHeld;
    ++tokens.mSpent;
    ++tokens.mReturnable;
    CountAdmission(aHolder.mRecent, aNow, aContract.mWorkspace);
    return { AdmitVerdict::eAdmitted, {} };
  }
  if (covered && tokens.mScarce) {
    if (tokens.mExpected < 1) {
      return { AdmitVerdict::eRefused,
               std::max(Millis(1), tokens.mRetryAt - aNow) };
    }
    --tokens.mExpected;
  }
  ++tokens.mUnsent;
  return { AdmitVerdict::eAsk, {} };
}

void
ReturnToken(TokenHolder& aHolder, MonoTime aNow, const WorkspaceId& aWorkspace)
{
  auto place = aHolder.mTokens.find(aWorkspace);
  if (place == aHolder.mTokens.end()) {
    return;
  }
  HeldTokens& tokens = place->second;
  DropExpired(tokens, aNow);
  if (tokens.mBriefSpent >= 1) {
    --tokens.mBriefSpent;
    ++tokens.mBrief;
    return;
  }
  // A token that was reported as spent cannot be returned: the grantor no
  // longer counts it as outstanding.
  if (tokens.mReturnable >= 1) {
    --tokens.mReturnable;
    --tokens.mSpent;
    ++tokens.mHeld;
    aHolder.mActive.insert(aWorkspace);
  }
}

std::optional<GrantRequest>
NextGrantRequest(TokenHolder& aHolder, MonoTime aNow)
{
  if (aHolder.mInFlight) {
    if (aNow < aHolder.mResendAt) {
      return std::nullopt;
    }
    aHolder.mResendWait = std::min(aHolder.mResendWait * 2, kMaxResendDelay);
    aHolder.mResendAt = aNow + aHolder.mResendWait;
    aHolder.mLastSent = aNow;
#ifdef CARAWAY_PLANTED_FAULT_grant_renewed_past_expiry
    for (const WorkspaceDemand& ask : aHolder.mInFlight->mDemands) {
      HeldTokens& tokens = aHolder.mTokens[ask.mWorkspace];
      tokens.mEnds = HolderLeaseEnd(aNow, Seconds(2));
    }
#endif
    return aHolder.mInFlight;
  }
  RefillUrgent(aHolder, aNow);
  const bool regular = aNow >= aHolder.mLastSent + kReportInterval;
  if (!regular && (aHolder.mUrgentLeft < 1 || !AnyUrgent(aHolder, aNow))) {
    return std::nullopt;
  }
  GrantRequest request;
  request.mRecentPeriod =
    aHolder.mReportAll ? CountedFor(aHolder.mRecent, aNow) : Duration{};
  request.mDemands = CollectAsks(aHolder, aNow);
  Sweep(aHolder, aNow);
  if (request.mDemands.empty() && !aHolder.mReportAll) {
    return std::nullopt;
  }
  aHolder.mUrgentLeft -= regular ? 0 : 1;
  aHolder.mReportAll = false;
  aHolder.mLastSent = aNow;
  aHolder.mResendWait = kResendAfter;
  aHolder.mResendAt = aNow + kResendAfter;
  request.mInstance = aHolder.mEntry;
  request.mEpoch = aHolder.mEpoch;
  request.mSequence = ++aHolder.mSequence;
  request.mSentAt = aNow.mMicros;
  request.mGrantor = aHolder.mGrantor;
  aHolder.mInFlight = request;
  return request;
}

void
HandleGrantReply(TokenHolder& aHolder, MonoTime aNow, const GrantReply& aReply)
{
  if (!aHolder.mInFlight || aReply.mEpoch != aHolder.mEpoch ||
      aReply.mSequence != aHolder.mInFlight->mSequence) {
    return;
  }
  aHolder.mInFlight.reset();
  aHolder.mSettled = aReply.mSettled;
  aHolder.mRepliedAt = aNow;
  const bool known = aReply.mGrantor == aHolder.mGrantor;
  // The caller retries all requests on hold, so they are counted afresh.
  for (const WorkspaceId& id : aHolder.mActive) {
    HeldTokens& tokens = aHolder.mTokens[id];
    tokens.mAwaitingRetry = known ? tokens.mSent : 0;
    tokens.mSent = 0;
    tokens.mUnsent = 0;
  }
  if (!known) {
    aHolder.mGrantor = aReply.mGrantor;
    aHolder.mReportAll = true;
    return;
  }
  for (const WorkspaceGrant& given : aReply.mGrants) {
    auto tokens = aHolder.mTokens.find(given.mWorkspace);
    if (tokens != aHolder.mTokens.end()) {
      ApplyGrant(tokens->second, aNow, aReply, given);
    }
  }
}

void
HandleGrantorChange(TokenHolder& aHolder, MonoTime /*aNow*/)
{
  // Never send the request in flight to another leader under its sequence: the
  // old leader may have granted it, and that reply may still arrive.
  aHolder.mInFlight.reset();
  aHolder.mReportAll = true;
  for (const WorkspaceId& id : aHolder.mActive) {
    HeldTokens& tokens = aHolder.mTokens[id];
    tokens.mUnsent += tokens.mSent;
    tokens.mSent = 0;
  }
}

bool
AreGrantsExpected(const TokenHolder& aHolder, MonoTime aNow)
{
  // Allows several round trips and one resend.
  constexpr Duration kMaxReplyDelay = Millis(400);
  return aHolder.mSettled &&
         (!aHolder.mInFlight ||
          aNow - MonoTime{ aHolder.mInFlight->mSentAt } < kMaxReplyDelay);
}

MonoTime
NextWakeup(const TokenHolder& aHolder)
{
  if (aHolder.mInFlight) {
    return aHolder.mResendAt;
  }
  if (aHolder.mActive.empty() && !aHolder.mReportAll) {
    return kNever;
  }
  MonoTime urgent = aHolder.mReportAll ? aHolder.mUrgentAt : kNever;
  for (const WorkspaceId& id : aHolder.mActive) {
    const HeldTokens& tokens = aHolder.mTokens.at(id);
    if (tokens.mUnsent > 0) {
      urgent = std::min(urgent, tokens.mAskAgainAt);
    }
    if (tokens.mReturnExcess) {
      urgent = std::min(urgent, aHolder.mUrgentAt);
    }
  }
  const double missing = std::max(0.0, 1 - aHolder.mUrgentLeft);
  const MonoTime permitted =
    aHolder.mUrgentAt +
    Micros(static_cast<int64_t>(std::ceil(missing / kUrgentPerSecond * 1e6)));
  return std::min(aHolder.mLastSent + kReportInterval,
                  std::max(urgent, permitted));
}

} // namespace caraway
