// Replies to proposals once they are applied or known to be lost.

#include "caraway/control/operator_http.h"
#include "caraway/control/step.h"

namespace caraway {

namespace {

struct ReplySender
{
  ControlStep& mStep;
  CommandReply& mReply;

  void operator()(const std::monostate&) const {}

  void operator()(const PendingRegisterReply& aPendingReply) const
  {
    const auto* result = std::get_if<RegisterResult>(&mReply);
    if (result != nullptr && !result->mEpoch.IsNone()) {
      Send(mStep,
           aPendingReply.mFrom,
           RegisterReply{ aPendingReply.mInstance,
                          aPendingReply.mIncarnation,
                          result->mEpoch,
                          aPendingReply.mSentAt });
    }
  }

  // A RenewReply with eUnknownSession confirms to the member that its session
  // has ended.
  void operator()(const PendingLeaveReply& aPendingReply) const
  {
    RenewReply reply;
    reply.mInstance = aPendingReply.mInstance;
    reply.mEpoch = aPendingReply.mEpoch;
    reply.mVerdict = RenewVerdict::eUnknownSession;
    Send(mStep, aPendingReply.mFrom, reply);
  }

  void operator()(const PendingWriteReply& aPendingReply) const
  {
    if (const auto* result = std::get_if<OperationResult>(&mReply)) {
      ReplyWrite(mStep, aPendingReply, *result);
    }
  }

  void operator()(const PendingReplicasReply& aPendingReply) const
  {
    ReplyReplicas(mStep, aPendingReply.mCall);
  }

  void operator()(const PendingCallReply& aPendingReply) const
  {
    if (auto* body = std::get_if<CallReplyBody>(&mReply)) {
      Send(mStep,
           aPendingReply.mFrom,
           ControlCallReply{ aPendingReply.mGroup,
                             aPendingReply.mCall,
                             aPendingReply.mEntryEpoch,
                             std::move(*body) });
    }
  }

  void operator()(const PendingLeaseReply& aPendingReply) const
  {
    if (auto* batch = std::get_if<ItemBatch>(&mReply)) {
      CountLeasedItems(mStep, aPendingReply.mNode, *batch);
      SendItemBatch(mStep,
                    { aPendingReply.mFrom,
                      aPendingReply.mNode,
                      aPendingReply.mServed,
                      std::move(*batch) });
    }
  }

  // Nothing is sent if the lease has ended meanwhile.
  void operator()(const PendingBatchReply& aPendingReply) const
  {
    const auto* ack = std::get_if<ItemResultsAck>(&mReply);
    if (ack != nullptr && !ack->mStale) {
      Send(mStep, aPendingReply.mTo, aPendingReply.mBatch);
    }
  }

  void operator()(const PendingResultsReply& aPendingReply) const
  {
    if (const auto* ack = std::get_if<ItemResultsAck>(&mReply)) {
      Send(mStep, aPendingReply.mFrom, *ack);
    }
  }

  void operator()(const PendingTick&) const
  {
    mStep.mControl.mLeadership.mTickPending = false;
  }

  void operator()(const PendingOperatorCall& aPendingReply) const
  {
    if (const auto* body = std::get_if<CallReplyBody>(&mReply)) {
      ReplyOperatorCall(mStep, aPendingReply.mCall, *body);
    }
  }
};

} // namespace

void
AnswerProposal(ControlStep& aStep,
               const PendingReply& aPendingReply,
               CommandReply aReply)
{
  std::visit(ReplySender{ aStep, aReply }, aPendingReply);
}

// Members and entries retransmit by themselves; only operators get an error.
void
FailProposal(ControlStep& aStep, const PendingReply& aPendingReply)
{
  HttpCallId call;
  if (const auto* write = std::get_if<PendingWriteReply>(&aPendingReply)) {
    call = write->mCall;
  } else if (const auto* change =
               std::get_if<PendingReplicasReply>(&aPendingReply)) {
    call = change->mCall;
  } else if (const auto* order =
               std::get_if<PendingOperatorCall>(&aPendingReply)) {
    call = order->mCall;
  } else if (std::holds_alternative<PendingTick>(aPendingReply)) {
    aStep.mControl.mLeadership.mTickPending = false;
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
