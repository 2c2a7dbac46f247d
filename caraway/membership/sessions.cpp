// Grants configuration leases and tracks the revision in force.

#include "caraway/membership/sessions.h"

#include <algorithm>

namespace caraway {

namespace {

// Renewals must have every revision older than kFetchAllowance.
void
RaiseRequiredRevision(Sessions& aSessions, MonoTime aNow)
{
  while (!aSessions.mRecent.empty() &&
         aSessions.mRecent.front().mAppliedAt + kFetchAllowance <= aNow) {
    aSessions.mRequired =
      std::max(aSessions.mRequired, aSessions.mRecent.front().mRevision);
    aSessions.mRecent.pop_front();
  }
}

void
DropExpiredLeases(Sessions& aSessions, MonoTime aNow)
{
  std::erase_if(aSessions.mFormer, [&](const FormerLease& aFormer) {
    return aFormer.mLeaseEnd <= aNow;
  });
}

} // namespace

void
StartSessions(Sessions& aSessions,
              MonoTime aNow,
              Duration aLease,
              const ConfigView& aView)
{
  aSessions = Sessions{};
  aSessions.mLease = aLease;
  // The former leader may have reported any revision up to this one in force.
  aSessions.mRequired = aView.mRevision;
  for (const auto& [instance, member] : aView.mMembers) {
    Session session;
    session.mEpoch = member.mEpoch;
    session.mStarted = aNow;
    session.mLeaseEnd = GrantorLeaseEnd(aNow, aLease);
    aSessions.mSessions.emplace(instance, session);
  }
}

void
SessionStarted(Sessions& aSessions,
               MonoTime aNow,
               const InstanceId& aInstance,
               Epoch aEpoch,
               Revision aNewest)
{
  Session session;
  session.mEpoch = aEpoch;
  session.mNeeded = aNewest;
  session.mStarted = aNow;
  session.mLeaseEnd = aNow;
  session.mLeaseItemsSequenceKnown = true;
  aSessions.mSessions[aInstance] = session;
}

void
SessionEnded(Sessions& aSessions,
             MonoTime aNow,
             const InstanceId& aInstance,
             Epoch aEpoch,
             bool aLeft)
{
  auto found = aSessions.mSessions.find(aInstance);
  if (found == aSessions.mSessions.end() || found->second.mEpoch != aEpoch) {
    return;
  }
  if (!aLeft && found->second.mLeaseEnd > aNow) {
    aSessions.mFormer.push_back(
      { found->second.mLeaseEnd, found->second.mHeld });
  }
  aSessions.mSessions.erase(found);
}

void
RevisionApplied(Sessions& aSessions, MonoTime aNow, Revision aRevision)
{
  if (aSessions.mRecent.empty() ||
      aSessions.mRecent.back().mRevision < aRevision) {
    aSessions.mRecent.push_back({ aRevision, aNow });
  }
}

RenewReply
HandleRenew(Sessions& aSessions,
            MonoTime aNow,
            const Renew& aRenew,
            Revision aNewest,
            uint64_t aDigest)
{
  RenewReply reply;
  reply.mInstance = aRenew.mInstance;
  reply.mEpoch = aRenew.mEpoch;
  reply.mLease = aSessions.mLease;
  reply.mRevision = aNewest;
  reply.mSentAt = aRenew.mSentAt;
  auto found = aSessions.mSessions.find(aRenew.mInstance);
  if (found == aSessions.mSessions.end() ||
      found->second.mEpoch != aRenew.mEpoch) {
    reply.mVerdict = RenewVerdict::eUnknownSession;
    return reply;
  }
  RaiseRequiredRevision(aSessions, aNow);
  Session& session = found->second;
  session.mRunning = aRenew.mRunning;
  session.mLimit = aRenew.mLimit;
  session.mHeld = std::max(session.mHeld, aRenew.mRevision);
  session.mHoldsUntil = aNow + aRenew.mLeaseLeft - kRenewalDelay;
  if (aRenew.mRevision <
      std::max({ aSessions.mRequired, aSessions.mReported, session.mNeeded })) {
    reply.mVerdict = RenewVerdict::eRevisionTooOld;
    return reply;
  }
  if (aRenew.mRevision == aNewest && aRenew.mDigest != 0 && aDigest != 0 &&
      aRenew.mDigest != aDigest) {
    reply.mVerdict = RenewVerdict::eCopyDiffers;
    return reply;
  }
  session.mLeaseEnd = GrantorLeaseEnd(aNow, aSessions.mLease);
  return reply;
}

Revision
ReportInForce(Sessions& aSessions, MonoTime aNow, Revision aNewest)
{
  DropExpiredLeases(aSessions, aNow);
  Revision lowest = aNewest;
  for (const auto& [instance, session] : aSessions.mSessions) {
    if (session.mLeaseEnd > aNow) {
      lowest = std::min(lowest, session.mHeld);
    }
  }
  for (const FormerLease& former : aSessions.mFormer) {
    lowest = std::min(lowest, former.mHeld);
  }
  aSessions.mReported = std::max(aSessions.mReported, lowest);
  return aSessions.mReported;
}

bool
IsHeldByEntries(const Sessions& aSessions,
                MonoTime aNow,
                const ConfigView& aView,
                Revision aRevision)
{
  return std::all_of(aSessions.mSessions.begin(),
                     aSessions.mSessions.end(),
                     [&](const auto& aEntry) {
                       const Session& session = aEntry.second;
                       if (session.mLeaseEnd <= aNow ||
                           session.mHeld >= aRevision) {
                         return true;
                       }
                       auto member = aView.mMembers.find(aEntry.first);
                       return member == aView.mMembers.end() ||
                              member->second.mRole != MemberRole::eEntry;
                     });
}

} // namespace caraway
