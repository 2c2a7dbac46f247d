// Borrowing and lending of rate shares between entries.

#include "caraway/entry/loans.h"

#include <algorithm>

#include "caraway/admission/token_holder.h"
#include "caraway/entry/session.h"

namespace caraway {

namespace {

// A loan is used within this time of being granted, so that it counts in the
// same window at the lender and at the target.
constexpr Duration kLenderReplyTimeout = Millis(60);
// A lender that did not reply is asked again after this time.
constexpr Duration kLenderSilence = Seconds(2);
// Until the next question to a lender that is in touch with a grantor: it says
// so by a refusal without a delay.
constexpr Duration kInTouchDelay = Millis(100);

const std::vector<InstanceId>&
Lenders(Entry& aEntry, const Contract& aContract)
{
  EntryLoans& loans = aEntry.mLoans;
  if (loans.mTopologyVersion != aEntry.mTopologyVersion) {
    loans.mTopologyVersion = aEntry.mTopologyVersion;
    loans.mLenders.clear();
    loans.mEntries.clear();
    for (const auto& [id, member] : aEntry.mConfig.mMembers) {
      if (member.mRole == MemberRole::eEntry) {
        loans.mEntries.push_back(id);
      }
    }
  }
  const uint32_t count =
    LenderCount(aEntry.mSettings.mRateTolerance, aContract);
  std::vector<InstanceId>& lenders = loans.mLenders[aContract.mWorkspace];
  if (lenders.size() != std::min<size_t>(count, loans.mEntries.size())) {
    lenders = LendersOf(aContract.mWorkspace, loans.mEntries, count);
  }
  return lenders;
}

// Lends one request of this entry's own part.
Loan
LendOwnPart(EntryStep& aStep, const WorkspaceId& aWorkspace, Duration aMaxWait)
{
  Entry& entry = aStep.mEntry;
  const auto contract = entry.mConfig.mContracts.find(aWorkspace);
  if (contract == entry.mConfig.mContracts.end() ||
      !IsOutOfTouch(entry, aStep.mNow)) {
    return {};
  }
  const std::vector<InstanceId>& lenders = Lenders(entry, contract->second);
  const auto self =
    std::find(lenders.begin(), lenders.end(), entry.mSettings.mInstance);
  if (self == lenders.end()) {
    return { false, kLenderSilence };
  }
  const RateTolerance& tolerance = entry.mSettings.mRateTolerance;
  const LenderPart part{ static_cast<uint32_t>(self - lenders.begin()),
                         static_cast<uint32_t>(lenders.size()),
                         tolerance.mWindow + kLenderReplyTimeout,
                         aStep.mNow - entry.mSession.mStartedAt };
  const Loan loan = LendShare(entry.mLoans.mBuckets,
                              aStep.mNow,
                              contract->second,
                              tolerance,
                              part,
                              aMaxWait);
  if (loan.mGranted) {
    CountAdmission(entry.mTokens.mRecent, aStep.mNow, aWorkspace);
    ++entry.mMetrics.mLent;
  }
  return loan;
}

// The lender that the request asks next and that may have a loan by aBy;
// nullptr: none.
const InstanceId*
AskNext(const EntryStep& aStep,
        const Contract& aContract,
        const std::vector<InstanceId>& aLenders,
        size_t aFirst,
        const RequestLoan& aLoan,
        MonoTime aBy)
{
  return NextLender(aStep.mEntry.mLoans.mStates,
                    aStep.mNow,
                    aContract.mWorkspace,
                    aLenders,
                    aFirst,
                    aLoan.mAsked,
                    aBy);
}

// A lender that may have a loan while the request still waits is asked again.
void
NoteRefusal(EntryStep& aStep,
            CallerRequest& aRequest,
            const InstanceId& aLender,
            Duration aDelay)
{
  LenderStates& states = aStep.mEntry.mLoans.mStates;
  RequestLoan& loan = aRequest.mLoan;
  if (aDelay <= Duration{}) {
    states.mSilentUntil[aLender] = aStep.mNow + kInTouchDelay;
  } else {
    states.mEmptyUntil[aRequest.mWorkspace][aLender] = aStep.mNow + aDelay;
  }
  if (aStep.mNow + aDelay < loan.mHoldUntil) {
    std::erase(loan.mAsked, aLender);
  }
}

} // namespace

bool
UsesLoans(const Entry& aEntry)
{
  return aEntry.mSettings.mRateTolerance.mWindow > Duration{};
}

bool
IsOutOfTouch(const Entry& aEntry, MonoTime aNow)
{
  return !HasValidLease(aEntry, aNow) ||
         !AreGrantsExpected(aEntry.mTokens, aNow) ||
         ControlAway(aEntry, aNow) > Duration{};
}

BorrowResult
BorrowShare(EntryStep& aStep,
            CallerRequest& aRequest,
            const Contract& aContract)
{
  Entry& entry = aStep.mEntry;
  RequestLoan& loan = aRequest.mLoan;
  if (aRequest.mShareStartAt) {
    return BorrowResult::eDelayed;
  }
  if (!loan.mPending.Empty()) {
    return BorrowResult::eAsked;
  }
  const std::vector<InstanceId>& lenders = Lenders(entry, aContract);
  const InstanceId& self = entry.mSettings.mInstance;
  const auto own = std::find(lenders.begin(), lenders.end(), self);
  if (own != lenders.end() &&
      LendOwnPart(aStep, aContract.mWorkspace, {}).mGranted) {
    aRequest.mShareStartAt = aStep.mNow;
    return BorrowResult::eGranted;
  }
  // Borrowers begin at different lenders, and end with their own part.
  const size_t first = own == lenders.end()
                         ? std::hash<std::string>{}(self.mValue)
                         : static_cast<size_t>(own - lenders.begin()) + 1;
  while (true) {
    // First those that may have a loan now, then those that will in time.
    Duration wait;
    const InstanceId* lender =
      AskNext(aStep, aContract, lenders, first, loan, aStep.mNow);
    if (lender == nullptr) {
      wait = std::max(Duration{}, loan.mHoldUntil - aStep.mNow);
      lender = AskNext(aStep, aContract, lenders, first, loan, loan.mHoldUntil);
    }
    if (lender == nullptr) {
      return BorrowResult::eNone;
    }
    loan.mAsked.push_back(*lender);
    if (*lender == self) {
      const Loan part = LendOwnPart(aStep, aContract.mWorkspace, wait);
      if (part.mGranted) {
        aRequest.mShareStartAt = aStep.mNow + part.mDelay;
        return part.mDelay > Duration{} ? BorrowResult::eDelayed
                                        : BorrowResult::eGranted;
      }
      NoteRefusal(aStep, aRequest, self, part.mDelay);
      continue;
    }
    loan.mPending = *lender;
    loan.mReplyBy = aStep.mNow + kLenderReplyTimeout;
    Send(aStep,
         entry.mConfig.mMembers.at(*lender).mAddress,
         LoanRequest{ aRequest.mId, aContract.mWorkspace, wait });
    return BorrowResult::eAsked;
  }
}

void
GiveUpLender(EntryStep& aStep, CallerRequest& aRequest)
{
  aStep.mEntry.mLoans.mStates.mSilentUntil[aRequest.mLoan.mPending] =
    aStep.mNow + kLenderSilence;
  aRequest.mLoan.mPending = {};
}

bool
ApplyLoanReply(EntryStep& aStep,
               const PeerAddress& aFrom,
               const LoanReply& aReply,
               CallerRequest& aRequest)
{
  Entry& entry = aStep.mEntry;
  RequestLoan& loan = aRequest.mLoan;
  const auto lender = entry.mConfig.mMembers.find(loan.mPending);
  if (aRequest.mPhase != RequestPhase::eAdmitting || loan.mPending.Empty() ||
      lender == entry.mConfig.mMembers.end() ||
      lender->second.mAddress != aFrom || aStep.mNow >= loan.mReplyBy) {
    return false;
  }
  entry.mLoans.mStates.mSilentUntil.erase(loan.mPending);
  if (aReply.mGranted) {
    ++entry.mMetrics.mBorrowed;
    aRequest.mShareStartAt = aStep.mNow + std::max(Duration{}, aReply.mDelay);
  } else {
    NoteRefusal(aStep, aRequest, loan.mPending, aReply.mDelay);
  }
  loan.mPending = {};
  return true;
}

void
HandleLoanRequest(EntryStep& aStep,
                  const PeerAddress& aFrom,
                  const LoanRequest& aRequest)
{
  LoanReply reply{
    aRequest.mRequest, aRequest.mWorkspace, false, kLenderSilence
  };
  if (UsesLoans(aStep.mEntry) && aStep.mEntry.mSettings.mServeWithoutLease) {
    const Loan loan = LendOwnPart(aStep, aRequest.mWorkspace, aRequest.mWait);
    reply.mGranted = loan.mGranted;
    reply.mDelay = loan.mDelay;
  }
  Send(aStep, aFrom, std::move(reply));
}

} // namespace caraway
