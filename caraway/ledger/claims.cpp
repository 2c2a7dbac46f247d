// Idempotency claims: an entry claims a key before it sends a non-idempotent
// call, and stores the answer under the key afterwards.

#include "caraway/ledger/internal.h"

namespace caraway {

namespace {

ClaimReply
MakeClaimReply(const ClaimRecord& aRecord, const Claim& aClaim)
{
  ClaimReply reply;
  if (aRecord.mFingerprint != aClaim.mFingerprint) {
    reply.mVerdict = ClaimVerdict::eMismatch;
    return reply;
  }
  switch (aRecord.mState) {
    case ClaimState::eClaimed:
      // The same request claims again if the reply was lost.
      reply.mVerdict = aRecord.mRequest == aClaim.mRequest
                         ? ClaimVerdict::eGranted
                         : ClaimVerdict::eInProgress;
      break;
    case ClaimState::eCompleted:
      reply.mVerdict = ClaimVerdict::eCompleted;
      reply.mStatus = aRecord.mStatus;
      reply.mContentType = aRecord.mContentType;
      reply.mBody = aRecord.mBody;
      break;
    case ClaimState::eUnknown:
      reply.mVerdict = ClaimVerdict::eUnknown;
      break;
  }
  return reply;
}

CallReplyBody
CheckClaim(const Ledger& aLedger,
           const ControlCall& aCall,
           const Claim& aClaim,
           const LedgerWorkspace& aSpace)
{
  if (aClaim.mKey.Empty() || aClaim.mKey.mValue.size() > kMaxNameBytes ||
      aClaim.mRequest.Empty()) {
    return Fail(ErrorKind::eInvalidArgument,
                "the idempotency key is empty or over 1 KiB",
                "send a shorter key");
  }
  if (SessionEnded(aLedger, aCall.mEntry, aCall.mEntryEpoch) ||
      aLedger.mReleasedSet.contains(aClaim.mRequest)) {
    return Fail(ErrorKind::eStaleEpoch,
                "the session or request that claims the key has ended",
                "send the request again");
  }
  if (aSpace.mClaims.size() >= kMaxClaims ||
      aSpace.mClaimBytes >= kMaxClaimBytes) {
    return Fail(ErrorKind::eOverloaded,
                "the workspace has too many idempotency keys in use",
                "send fewer calls with a key; keys are kept 24 hours");
  }
  return CallDone{};
}

// The claim no longer depends on its entry's session.
void
RemoveOpenClaim(Ledger& aLedger,
                const WorkspaceId& aWorkspace,
                const IdempotencyKey& aKey,
                const ClaimRecord& aRecord)
{
  auto open = aLedger.mOpenClaims.find({ aRecord.mEntry, aRecord.mEpoch });
  if (open == aLedger.mOpenClaims.end()) {
    return;
  }
  open->second.erase({ aWorkspace, aKey });
  if (open->second.empty()) {
    aLedger.mOpenClaims.erase(open);
  }
}

// The claim of this key if this request made it, or null.
ClaimRecord*
FindClaim(Ledger& aLedger,
          const WorkspaceId& aWorkspace,
          const IdempotencyKey& aKey,
          const RequestId& aRequest)
{
  auto space = aLedger.mWorkspaces.find(aWorkspace);
  if (space == aLedger.mWorkspaces.end()) {
    return nullptr;
  }
  auto record = space->second.mClaims.find(aKey);
  return record == space->second.mClaims.end() ||
             record->second.mRequest != aRequest
           ? nullptr
           : &record->second;
}

CallReplyBody
NoSuchClaim()
{
  return Fail(ErrorKind::eNotFound,
              "this request does not hold the claim of the idempotency key",
              "claim the key first");
}

} // namespace

bool
SessionEnded(const Ledger& aLedger, const InstanceId& aInstance, Epoch aEpoch)
{
  auto ended = aLedger.mEnded.find(aInstance);
  return ended != aLedger.mEnded.end() && aEpoch <= ended->second.mEpoch;
}

CallReplyBody
ApplyClaim(Ledger& aLedger, const ControlCall& aCall, const Claim& aClaim)
{
  LedgerWorkspace& space = aLedger.mWorkspaces[aCall.mWorkspace];
  auto known = space.mClaims.find(aClaim.mKey);
  if (known != space.mClaims.end()) {
    return MakeClaimReply(known->second, aClaim);
  }
  CallReplyBody check = CheckClaim(aLedger, aCall, aClaim, space);
  if (std::holds_alternative<CallFailed>(check)) {
    return check;
  }
  ClaimRecord& record = space.mClaims[aClaim.mKey];
  record.mFingerprint = aClaim.mFingerprint;
  record.mRequest = aClaim.mRequest;
  record.mEntry = aCall.mEntry;
  record.mEpoch = aCall.mEntryEpoch;
  record.mClaimedAt = aLedger.mNow;
  aLedger.mOpenClaims[{ aCall.mEntry, aCall.mEntryEpoch }].emplace(
    aCall.mWorkspace, aClaim.mKey);
  aLedger.mClaimMarks.push_back(
    ExpiryMark{ aLedger.mNow, aCall.mWorkspace, aClaim.mKey.mValue });
  return ClaimReply{};
}

CallReplyBody
ApplyCompleteClaim(Ledger& aLedger,
                   const WorkspaceId& aWorkspace,
                   const CompleteClaim& aComplete)
{
  if (aComplete.mBody.size() > kMaxPartBytes ||
      aComplete.mContentType.size() > kMaxNameBytes) {
    return Fail(ErrorKind::eTooLarge,
                "the answer is over 256 KiB",
                "let the service send shorter answers to calls with a key");
  }
  ClaimRecord* record =
    FindClaim(aLedger, aWorkspace, aComplete.mKey, aComplete.mRequest);
  if (record == nullptr) {
    return NoSuchClaim();
  }
  if (record->mState == ClaimState::eCompleted) {
    return CallDone{};
  }
  RemoveOpenClaim(aLedger, aWorkspace, aComplete.mKey, *record);
  record->mState = ClaimState::eCompleted;
  record->mStatus = aComplete.mStatus;
  record->mContentType = aComplete.mContentType;
  record->mBody = aComplete.mBody;
  aLedger.mWorkspaces[aWorkspace].mClaimBytes += aComplete.mBody.size();
  return CallDone{};
}

CallReplyBody
ApplyReleaseClaim(Ledger& aLedger,
                  const WorkspaceId& aWorkspace,
                  const ReleaseClaim& aRelease)
{
  ClaimRecord* record =
    FindClaim(aLedger, aWorkspace, aRelease.mKey, aRelease.mRequest);
  if (record == nullptr) {
    return CallDone{}; // a resend
  }
  if (record->mState == ClaimState::eCompleted) {
    return Fail(ErrorKind::eConflict,
                "the claim is already completed",
                "use its stored answer");
  }
  RemoveOpenClaim(aLedger, aWorkspace, aRelease.mKey, *record);
  aLedger.mWorkspaces[aWorkspace].mClaims.erase(aRelease.mKey);
  if (aLedger.mReleasedSet.insert(aRelease.mRequest).second) {
    aLedger.mReleased.push_back(aRelease.mRequest);
  }
  if (aLedger.mReleased.size() > kMaxReleasedRequests) {
    aLedger.mReleasedSet.erase(aLedger.mReleased.front());
    aLedger.mReleased.pop_front();
  }
  return CallDone{};
}

void
MarkClaimsUnknown(Ledger& aLedger, const InstanceId& aInstance, Epoch aEpoch)
{
  auto open = aLedger.mOpenClaims.lower_bound({ aInstance, Epoch(0) });
  while (open != aLedger.mOpenClaims.end() && open->first.first == aInstance &&
         open->first.second <= aEpoch) {
    for (const auto& [workspace, key] : open->second) {
      aLedger.mWorkspaces[workspace].mClaims[key].mState = ClaimState::eUnknown;
    }
    open = aLedger.mOpenClaims.erase(open);
  }
}

void
ExpireClaims(Ledger& aLedger)
{
  while (!aLedger.mClaimMarks.empty() &&
         aLedger.mClaimMarks.front().mSince + aLedger.mClaimRetention <=
           aLedger.mNow) {
    const ExpiryMark mark = std::move(aLedger.mClaimMarks.front());
    aLedger.mClaimMarks.pop_front();
    LedgerWorkspace& space = aLedger.mWorkspaces[mark.mWorkspace];
    auto record = space.mClaims.find(IdempotencyKey(mark.mId));
    // A key that was released and claimed again has its own later mark.
    if (record != space.mClaims.end() &&
        record->second.mClaimedAt == mark.mSince) {
      RemoveOpenClaim(aLedger, mark.mWorkspace, record->first, record->second);
      space.mClaimBytes -= record->second.mBody.size();
      space.mClaims.erase(record);
    }
  }
}

} // namespace caraway
