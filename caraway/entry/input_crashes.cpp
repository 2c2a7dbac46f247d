// Reports of broken calls and answered input, and requests that get blocked.

#include "caraway/entry/input_crashes.h"

#include "absl/strings/str_cat.h"
#include "caraway/entry/outcome.h"
#include "caraway/poison/crash_reporter.h"

namespace caraway {

void
RecordBrokenCall(EntryStep& aStep,
                 const CallerRequest& aRequest,
                 const DirectAttempt& aAttempt)
{
  const Entry& entry = aStep.mEntry;
  auto record = entry.mConfig.mTargets.find(aAttempt.mTarget);
  if (entry.mGoneTargets.contains(
        { aAttempt.mTarget, aAttempt.mTargetStart }) ||
      (record != entry.mConfig.mTargets.end() && record->second.mDraining)) {
    return; // a target that leaves may cut what it cannot finish
  }
  auto check = NoteBrokenCall(aStep.mEntry.mCrashReporter,
                              aStep.mNow,
                              { aAttempt.mTarget,
                                aAttempt.mTargetStart,
                                aAttempt.mTargetAddress,
                                aRequest.mDirect.mService },
                              { aRequest.mId,
                                aRequest.mWorkspace,
                                aRequest.mInputParts,
                                aAttempt.mAnsweredSince != kNever });
  if (check) {
    aStep.mOut.emplace_back(*std::move(check));
  }
}

void
RecordAnsweredInput(EntryStep& aStep, const CallerRequest& aRequest)
{
  Entry& entry = aStep.mEntry;
  if (auto started = NoteAnswered(entry.mCrashReporter,
                                  aStep.mNow,
                                  aRequest.mDirect.mService,
                                  aRequest.mInputParts)) {
    started->mMember = entry.mSettings.mInstance;
    Send(aStep, entry.mSession.mLeader, *std::move(started));
  }
}

void
HandleCheckedTarget(EntryStep& aStep, const TargetChecked& aEvent)
{
  if (auto log =
        HandleTargetChecked(aStep.mEntry.mCrashReporter, aStep.mNow, aEvent)) {
    aStep.mOut.emplace_back(*std::move(log));
  }
}

void
HandleSuspectQuery(EntryStep& aStep,
                   const PeerAddress& aFrom,
                   const SuspectQuery& aQuery)
{
  StartedParts started =
    AnswerSuspectQuery(aStep.mEntry.mCrashReporter, aStep.mNow, aQuery);
  started.mMember = aStep.mEntry.mSettings.mInstance;
  Send(aStep, aFrom, std::move(started));
}

void
TickCrashReports(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  if (aStep.mNow < NextWakeup(entry.mCrashReporter)) {
    return;
  }
  for (CrashReport& report :
       DueCrashReports(entry.mCrashReporter, aStep.mNow)) {
    Send(aStep, entry.mSession.mLeader, std::move(report));
  }
}

void
FailBlockedRequests(EntryStep& aStep)
{
  Entry& entry = aStep.mEntry;
  if (entry.mConfig.mInputBlocks.empty()) {
    return;
  }
  for (auto& [serial, request] : entry.mRequests) {
    if (request.mInputParts.empty() || request.mReplyBegun ||
        request.mPhase == RequestPhase::eDone) {
      continue;
    }
    const InputBlock* block =
      FindInputBlock(entry.mConfig, request.mWorkspace, request.mInputParts);
    if (block != nullptr) {
      CallerError error;
      error.mKind = ErrorKind::eInputBlocked;
      error.mMessage = InputBlockedMessage(*block);
      FailRequest(aStep, request, std::move(error), true);
    }
  }
}

std::string
InputBlockedMessage(const InputBlock& aBlock)
{
  return absl::StrCat("the input has parts under which ",
                      aBlock.mCrashes,
                      " targets ended without an answer; block ",
                      FormatInputBlockId(aBlock.mId));
}

} // namespace caraway
