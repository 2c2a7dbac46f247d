// The token grantor: refills buckets, tracks outstanding tokens, and divides
// the available tokens among entries.

#include "caraway/admission/grantor.h"

#include <algorithm>
#include <cmath>

#include "caraway/admission/hold.h"
#include "caraway/admission/token_division.h"
#include "caraway/base/lease.h"

namespace caraway {

namespace {

constexpr Duration kSweepInterval = Seconds(10);
constexpr Duration kMaxRetryAfter = Seconds(60);

bool
AreHoldingsKnown(const Grantor& aGrantor, MonoTime aNow)
{
  return aNow >= aGrantor.mHoldingsKnownAt;
}

// The largest level that keeps the invariant.
double
LevelLimit(const GrantBucket& aBucket, const Contract& aContract, bool aKnown)
{
  // Earlier leaders granted at most the burst in total, so the tokens that are
  // not reported yet are at most the burst minus those in first reports.
  const double unreported =
    aKnown ? 0 : std::max(0.0, aContract.mBurst - aBucket.mFirstHeld);
  return std::max(0.0, aContract.mBurst - aBucket.mOutstanding - unreported);
}

// Refills up to aUntil, under the level limits that apply in that time.
void
RefillSpan(const Grantor& aGrantor,
           GrantBucket& aBucket,
           const Contract& aContract,
           MonoTime aUntil)
{
  auto span = [&](MonoTime aEnd, bool aKnown) {
    const Duration passed = aEnd - aBucket.mRefilledAt;
    if (passed <= Duration{}) {
      return;
    }
    aBucket.mLevel = std::min(aBucket.mLevel + aContract.mRate * aBucket.mPart *
                                                 passed.Seconds(),
                              LevelLimit(aBucket, aContract, aKnown));
    aBucket.mRefilledAt = aEnd;
  };
  span(std::min(aUntil, aGrantor.mHoldingsKnownAt), false);
  span(aUntil, true);
}

void
DropHolding(GrantBucket& aBucket,
            std::map<Epoch, GrantHolding>::iterator aPlace)
{
  const GrantHolding& holding = aPlace->second;
  aBucket.mOutstanding -= holding.mAmount;
  aBucket.mHeld -= holding.mAmount;
  aBucket.mWaiting -= holding.mWaiting;
  aBucket.mPrefetch -= holding.mPrefetch;
  aBucket.mEnds.erase({ holding.mEnds, aPlace->first });
  aBucket.mHoldings.erase(aPlace);
}

void
UpdatePart(const Grantor& aGrantor,
           GrantBucket& aBucket,
           const Contract& aContract)
{
  if (aGrantor.mDivision.mTolerance.mWindow <= Duration{}) {
    aBucket.mPart = aGrantor.mRateShare;
    return;
  }
  if (aBucket.mPartVersion == aGrantor.mDivisionVersion) {
    return;
  }
  aBucket.mPartVersion = aGrantor.mDivisionVersion;
  if (aGrantor.mDivision.mAway.empty()) {
    aBucket.mPart = 1;
    return;
  }
  if (aBucket.mEntriesVersion != aGrantor.mEntriesVersion) {
    aBucket.mEntriesVersion = aGrantor.mEntriesVersion;
    aBucket.mLenders =
      LendersOf(aContract.mWorkspace,
                aGrantor.mDivision.mEntries,
                LenderCount(aGrantor.mDivision.mTolerance, aContract));
  }
  aBucket.mPart = GrantedPart(aGrantor.mDivision, aContract, aBucket.mLenders);
}

// Brings the bucket up to date. Each expiry of a lease is a separate step,
// since its tokens limit the refill until then.
void
Refill(const Grantor& aGrantor,
       GrantBucket& aBucket,
       const Contract& aContract,
       MonoTime aNow)
{
  UpdatePart(aGrantor, aBucket, aContract);
  while (true) {
    const MonoTime brief = aBucket.mBriefGrants.empty()
                             ? kNever
                             : aBucket.mBriefGrants.front().first;
    const MonoTime held =
      aBucket.mEnds.empty() ? kNever : aBucket.mEnds.begin()->first;
    const MonoTime ends = std::min(brief, held);
    if (ends > aNow) {
      break;
    }
    RefillSpan(aGrantor, aBucket, aContract, ends);
    if (brief <= held) {
      aBucket.mOutstanding -= aBucket.mBriefGrants.front().second;
      aBucket.mBriefGrants.pop_front();
    } else {
      DropHolding(aBucket,
                  aBucket.mHoldings.find(aBucket.mEnds.begin()->second));
    }
  }
  RefillSpan(aGrantor, aBucket, aContract, aNow);
  aBucket.mLevel =
    std::min(aBucket.mLevel,
             LevelLimit(aBucket, aContract, AreHoldingsKnown(aGrantor, aNow)));
}

GrantBucket&
FindBucket(Grantor& aGrantor, const WorkspaceId& aWorkspace, MonoTime aNow)
{
  auto [place, fresh] = aGrantor.mBuckets.try_emplace(aWorkspace);
  if (fresh) {
    // An unused bucket has been refilling since the holdings were known.
    place->second.mRefilledAt = std::min(aGrantor.mHoldingsKnownAt, aNow);
  }
  return place->second;
}

// Raises the level, once, to what the admissions since mHistoryStart have left
// of the burst. Refill counts only up to mHistoryEnd, since an entry may have
// used its share of the rate after its report.
void
CreditAdmissionHistory(const Grantor& aGrantor,
                       GrantBucket& aBucket,
                       const Contract& aContract,
                       MonoTime aNow)
{
  if (aBucket.mCredited || !aGrantor.mSilent.empty() ||
      aGrantor.mHistoryEnd == kNever || !AreHoldingsKnown(aGrantor, aNow)) {
    return;
  }
  aBucket.mCredited = true;
  const double seconds =
    std::max(0.0, (aGrantor.mHistoryEnd - aGrantor.mHistoryStart).Seconds());
  const double filled =
    std::min(aContract.mBurst, aContract.mRate * aBucket.mPart * seconds);
  aBucket.mLevel =
    std::max(aBucket.mLevel,
             filled - aBucket.mRecent - aBucket.mGiven + aBucket.mOverrun);
  aBucket.mLevel =
    std::min(aBucket.mLevel, LevelLimit(aBucket, aContract, true));
}

GrantBucket&
BucketOf(Grantor& aGrantor, const Contract& aContract, MonoTime aNow)
{
  GrantBucket& bucket = FindBucket(aGrantor, aContract.mWorkspace, aNow);
  Refill(aGrantor, bucket, aContract, aNow);
  CreditAdmissionHistory(aGrantor, bucket, aContract, aNow);
  return bucket;
}

double
WholeCount(double aCount)
{
  // The order of arguments turns NaN into 0.
  return std::min(std::max(0.0, std::floor(aCount)), 1e9);
}

// Applies the report in an ask. aFirst: it is the session's first report after
// an election, so its tokens come from an earlier leader. Otherwise, if it
// holds more than known, its lease had already ended here; these tokens are
// deducted from the level, or a later report could credit tokens that never
// existed.
void
ApplyReport(GrantBucket& aBucket,
            GrantHolding& aHolding,
            const WorkspaceDemand& aAsk,
            bool aFirst)
{
  const double held = WholeCount(aAsk.mHeld);
  const double spent = aAsk.mSpent - aHolding.mSpent;
  const double dropped = aHolding.mAmount - held - spent;
  if (aFirst) {
    aBucket.mFirstHeld += held;
  } else if (held > aHolding.mAmount) {
    const double paid =
      std::clamp(aBucket.mLevel, 0.0, held - aHolding.mAmount);
    aBucket.mLevel -= paid;
    aHolding.mUnpaid += held - aHolding.mAmount - paid;
  } else if (spent >= 0 && dropped > 0) {
    const double unpaid = std::min(aHolding.mUnpaid, dropped);
    aHolding.mUnpaid -= unpaid;
    aBucket.mLevel += dropped - unpaid;
  }
  aBucket.mOutstanding += held - aHolding.mAmount;
  aBucket.mHeld += held - aHolding.mAmount;
  aHolding.mAmount = held;
  aHolding.mSpent = aAsk.mSpent;
  const double wanted = WholeCount(aAsk.mWanted);
  const double waiting = std::min(WholeCount(aAsk.mWaiting), wanted);
  aBucket.mWaiting += waiting - aHolding.mWaiting;
  aBucket.mPrefetch += wanted - waiting - aHolding.mPrefetch;
  aHolding.mWaiting = waiting;
  aHolding.mPrefetch = wanted - waiting;
}

void
RecordGrant(GrantBucket& aBucket,
            GrantHolding& aHolding,
            const TokenDivision& aDivision,
            MonoTime aNow)
{
  const double tokens = aDivision.mBrief + aDivision.mHeld;
  aBucket.mLevel -= tokens;
  aBucket.mGiven += tokens;
  aBucket.mOutstanding += tokens;
  aBucket.mWaiting -= aDivision.mBrief;
  aBucket.mPrefetch -= aDivision.mHeld;
  aBucket.mHeld += aDivision.mHeld;
  aHolding.mAmount += aDivision.mHeld;
  aHolding.mWaiting -= aDivision.mBrief;
  aHolding.mPrefetch -= aDivision.mHeld;
  if (aDivision.mBrief > 0) {
    aBucket.mBriefGrants.emplace_back(GrantorLeaseEnd(aNow, kBriefLease),
                                      aDivision.mBrief);
  }
}

// Expected time until the unmet wants of this holder can be granted; 0 if all
// are met and no other entry waits. Any other value tells the holder to return
// its excess tokens.
Duration
RetryAfter(const GrantBucket& aBucket,
           const GrantHolding& aHolding,
           const Contract& aContract)
{
  double missing = aBucket.mWaiting;
  if (missing <= 0) {
    missing = aHolding.mPrefetch;
  }
  if (missing <= 0) {
    return {};
  }
  if (aContract.mRate <= 0) {
    return kMaxRetryAfter;
  }
  // Other entries are about to return the tokens they hold.
  const double recalled = aBucket.mHeld - aHolding.mAmount;
  const double seconds =
    std::max(0.0, missing - aBucket.mLevel - recalled) / aContract.mRate;
  const auto micros =
    static_cast<int64_t>(std::min(seconds, kMaxRetryAfter.Seconds()) * 1e6);
  return std::max(Micros(micros), Millis(1));
}

WorkspaceGrant
HandleAsk(Grantor& aGrantor,
          MonoTime aNow,
          const Contract& aContract,
          Epoch aEpoch,
          const WorkspaceDemand& aAsk,
          bool aFirst)
{
  GrantBucket& bucket = BucketOf(aGrantor, aContract, aNow);
  auto [place, fresh] = bucket.mHoldings.try_emplace(aEpoch);
  GrantHolding& holding = place->second;
  if (!fresh) {
    bucket.mEnds.erase({ holding.mEnds, aEpoch });
  }
  ApplyReport(bucket, holding, aAsk, aFirst);
  bucket.mLevel =
    std::min(bucket.mLevel,
             LevelLimit(bucket, aContract, AreHoldingsKnown(aGrantor, aNow)));
  // After that time, no earlier leader granted in advance within a window.
  const RateTolerance& tolerance = aGrantor.mDivision.mTolerance;
  const bool advances =
    tolerance.mWindow > Duration{} &&
    aNow >= GrantorLeaseEnd(aGrantor.mHoldingsKnownAt, tolerance.mWindow);
  TokenDivision division = DivideTokens(
    bucket,
    holding,
    aContract.mBurst,
    advances ? AdvanceFor(bucket, holding, aContract, tolerance) : 0);
  if (aNow < aGrantor.mOverrunUntil) {
    AddOverrun(bucket, holding, aContract, aGrantor.mTolerance, division);
  }
  RecordGrant(bucket, holding, division, aNow);
  const Duration retryAfter = RetryAfter(bucket, holding, aContract);
  // The holder refuses requests whose tokens will not come in time, so those
  // tokens are no longer wanted.
  const double refused =
    holding.mWaiting - ExpectedInHold(holding.mWaiting, retryAfter);
  holding.mWaiting -= refused;
  bucket.mWaiting -= refused;
  holding.mEnds = GrantorLeaseEnd(aNow, aGrantor.mLease);
  bucket.mEnds.emplace(holding.mEnds, aEpoch);
  if (holding.mAmount <= 0 && holding.mWaiting <= 0 && holding.mPrefetch <= 0) {
    DropHolding(bucket, place);
  }
  return WorkspaceGrant{
    aAsk.mWorkspace, division.mHeld, division.mBrief, retryAfter
  };
}

// Records the recent admissions in the first report of an entry.
void
RecordAdmissionHistory(Grantor& aGrantor,
                       MonoTime aNow,
                       const ConfigView& aConfig,
                       const GrantRequest& aRequest)
{
  if (aRequest.mRecentPeriod <= Duration{} ||
      aGrantor.mSilent.erase(aRequest.mInstance) == 0) {
    return;
  }
  aGrantor.mHistoryStart =
    std::max(aGrantor.mHistoryStart, aNow - aRequest.mRecentPeriod);
  aGrantor.mHistoryEnd = std::min(aGrantor.mHistoryEnd, aNow);
  for (const WorkspaceDemand& ask : aRequest.mDemands) {
    auto contract = aConfig.mContracts.find(ask.mWorkspace);
    if (contract != aConfig.mContracts.end()) {
      FindBucket(aGrantor, ask.mWorkspace, aNow).mRecent +=
        ask.mRecent + WholeCount(ask.mHeld);
    }
  }
}

// Removes full buckets without holdings; a new bucket is equivalent.
void
Sweep(Grantor& aGrantor, MonoTime aNow, const ConfigView& aConfig)
{
  if (aNow < aGrantor.mNextSweep) {
    return;
  }
  aGrantor.mNextSweep = aNow + kSweepInterval;
  absl::erase_if(aGrantor.mBuckets, [&](auto& aEntry) {
    auto contract = aConfig.mContracts.find(aEntry.first);
    if (contract == aConfig.mContracts.end()) {
      return true;
    }
    GrantBucket& bucket = aEntry.second;
    Refill(aGrantor, bucket, contract->second, aNow);
    return bucket.mHoldings.empty() && bucket.mBriefGrants.empty() &&
           bucket.mLevel >= contract->second.mBurst;
  });
}

} // namespace

void
StartGrantor(Grantor& aGrantor,
             MonoTime aNow,
             const ConfigView& aConfig,
             Duration aGrantLease,
             Duration aConfigLease,
             Term aTerm,
             MonoTime aEntryLeft)
{
  aGrantor = Grantor{};
  aGrantor.mIncarnation =
    aTerm.IsNone() ? static_cast<uint64_t>(aNow.mMicros) + 1 : aTerm.mValue;
  aGrantor.mLease = aGrantLease;
  aGrantor.mNextSweep = aNow + kSweepInterval;
  for (const auto& [id, member] : aConfig.mMembers) {
    if (member.mRole == MemberRole::eEntry) {
      aGrantor.mUnreported.insert(member.mEpoch);
      aGrantor.mSilent.insert(id);
    }
  }
  aGrantor.mHistoryStart = aEntryLeft;
  aGrantor.mBriefGrantsEnd = GrantorLeaseEnd(aNow, kBriefLease);
  aGrantor.mHoldingsKnownAt =
    aGrantor.mUnreported.empty()
      ? aNow
      : GrantorLeaseEnd(aNow, std::min(aGrantLease, aConfigLease));
}

void
DivideRates(Grantor& aGrantor,
            MonoTime aNow,
            const ConfigView& aConfig,
            RateDivision aDivision)
{
  if (aDivision == aGrantor.mDivision) {
    return;
  }
  for (auto& [id, bucket] : aGrantor.mBuckets) {
    auto contract = aConfig.mContracts.find(id);
    if (contract != aConfig.mContracts.end()) {
      Refill(aGrantor, bucket, contract->second, aNow);
    }
  }
  aGrantor.mEntriesVersion +=
    aDivision.mEntries == aGrantor.mDivision.mEntries ? 0 : 1;
  aGrantor.mDivision = std::move(aDivision);
  ++aGrantor.mDivisionVersion;
}

void
AllowOverrun(Grantor& aGrantor,
             const RateTolerance& aTolerance,
             MonoTime aUntil)
{
  aGrantor.mTolerance = aTolerance;
  aGrantor.mOverrunUntil = aUntil;
}

GrantReply
HandleGrantRequest(Grantor& aGrantor,
                   MonoTime aNow,
                   const ConfigView& aConfig,
                   const GrantRequest& aRequest)
{
  GrantReply reply;
  reply.mEpoch = aRequest.mEpoch;
  reply.mSequence = aRequest.mSequence;
  reply.mSentAt = aRequest.mSentAt;
  reply.mGrantor = aGrantor.mIncarnation;
  reply.mLease = aGrantor.mLease;
  reply.mBriefLease = kBriefLease;
  reply.mSettled = AreHoldingsKnown(aGrantor, aNow);
  GrantSession& session = aGrantor.mSessions[aRequest.mEpoch];
#ifndef CARAWAY_PLANTED_FAULT_doubled_report
  if (aRequest.mSequence == session.mSequence) {
    return session.mReply;
  }
  if (aRequest.mSequence < session.mSequence) {
    return reply;
  }
#endif
  session.mSequence = aRequest.mSequence;
  if (aRequest.mGrantor == aGrantor.mIncarnation) {
    const bool reports = aGrantor.mUnreported.erase(aRequest.mEpoch) > 0;
    const bool first = reports && !AreHoldingsKnown(aGrantor, aNow);
    RecordAdmissionHistory(aGrantor, aNow, aConfig, aRequest);
    for (const WorkspaceDemand& ask : aRequest.mDemands) {
      auto contract = aConfig.mContracts.find(ask.mWorkspace);
      if (contract == aConfig.mContracts.end() || contract->second.mWithdrawn) {
        reply.mGrants.push_back(
          WorkspaceGrant{ ask.mWorkspace, 0, 0, kMaxRetryAfter });
        continue;
      }
      reply.mGrants.push_back(HandleAsk(
        aGrantor, aNow, contract->second, aRequest.mEpoch, ask, first));
    }
    if (first && aGrantor.mUnreported.empty()) {
      aGrantor.mHoldingsKnownAt = std::min(
        aGrantor.mHoldingsKnownAt, std::max(aNow, aGrantor.mBriefGrantsEnd));
    }
    Sweep(aGrantor, aNow, aConfig);
  }
  session.mReply = reply;
  return reply;
}

void
EndGrantorSession(Grantor& aGrantor, const InstanceId& /*aEntry*/, Epoch aEpoch)
{
  aGrantor.mSessions.erase(aEpoch);
}

void
ReplaceGrantorSession(Grantor& aGrantor, MonoTime aNow, Epoch aEpoch)
{
  aGrantor.mSessions.erase(aEpoch);
  if (aGrantor.mUnreported.erase(aEpoch) > 0 && aGrantor.mUnreported.empty() &&
      !AreHoldingsKnown(aGrantor, aNow)) {
    aGrantor.mHoldingsKnownAt = std::min(
      aGrantor.mHoldingsKnownAt, std::max(aNow, aGrantor.mBriefGrantsEnd));
  }
}

} // namespace caraway
