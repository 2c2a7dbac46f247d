// Answers to proposals, once they are applied or known to be lost.

#include "caraway/control/operator_http.h"
#include "caraway/control/step.h"

namespace caraway {

namespace {

struct Answerer
{
  ControlStep& mStep;
  CommandReply& mReply;

  void operator()(const std::monostate&) const {}

  void operator()(const WaitingRegister& aWaiting) const
  {
    const auto* result = std::get_if<RegisterResult>(&mReply);
    if (result != nullptr && !result->mEpoch.IsNone()) {
      Send(mStep,
           aWaiting.mFrom,
           RegisterReply{ aWaiting.mInstance,
                          aWaiting.mIncarnation,
                          result->mEpoch,
                          aWaiting.mSentAt });
    }
  }

  // A renewal verdict tells the member that its session has ended.
  void operator()(const WaitingLeave& aWaiting) const
  {
    RenewReply reply;
    reply.mInstance = aWaiting.mInstance;
    reply.mEpoch = aWaiting.mEpoch;
    reply.mVerdict = RenewVerdict::eUnknownSession;
    Send(mStep, aWaiting.mFrom, reply);
  }

  void operator()(const WaitingWrite& aWaiting) const
  {
    if (const auto* result = std::get_if<OperationResult>(&mReply)) {
      ReplyWrite(mStep, aWaiting, *result);
    }
  }

  void operator()(const WaitingReplicas& aWaiting) const
  {
    ReplyReplicas(mStep, aWaiting.mCall);
  }

  void operator()(const WaitingCall& aWaiting) const
  {
    if (auto* body = std::get_if<CallReplyBody>(&mReply)) {
      Send(mStep,
           aWaiting.mFrom,
           ControlCallReply{ aWaiting.mGroup,
                             aWaiting.mCall,
                             aWaiting.mEntryEpoch,
                             std::move(*body) });
    }
  }

  void operator()(const WaitingLease& aWaiting) const
  {
    if (auto* batch = std::get_if<ItemBatch>(&mReply)) {
      SendItemBatch(mStep, aWaiting.mFrom, aWaiting.mNode, std::move(*batch));
    }
  }

  void operator()(const WaitingResults& aWaiting) const
  {
    if (const auto* ack = std::get_if<ItemResultsAck>(&mReply)) {
      Send(mStep, aWaiting.mFrom, *ack);
    }
  }

  void operator()(const WaitingTick&) const
  {
    mStep.mControl.mLeadership.mTickOpen = false;
  }
};

} // namespace

void
AnswerProposal(ControlStep& aStep, const Waiting& aWaiting, CommandReply aReply)
{
  std::visit(Answerer{ aStep, aReply }, aWaiting);
}

// Members and entries send again by themselves; an operator is told to.
void
FailProposal(ControlStep& aStep, const Waiting& aWaiting)
{
  HttpCallId call;
  if (const auto* write = std::get_if<WaitingWrite>(&aWaiting)) {
    call = write->mCall;
  } else if (const auto* change = std::get_if<WaitingReplicas>(&aWaiting)) {
    call = change->mCall;
  } else if (std::holds_alternative<WaitingTick>(aWaiting)) {
    aStep.mControl.mLeadership.mTickOpen = false;
  }
  if (!call.IsNone()) {
    HttpFailure failure;
    failure.mKind = ErrorKind::eUnavailable;
    failure.mWhat = "the leader changed before the write was confirmed";
    failure.mRemedy = "send it again with the same X-Operation-Id";
    failure.mOutcome = Outcome::eUnknown;
    ReplyFailure(aStep, call, failure);
  }
}

} // namespace caraway
