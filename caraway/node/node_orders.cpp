// Forwards the load and unload orders of the placement authority to the target.

#include "caraway/node/node_internal.h"
#include "caraway/node/target_json.h"

namespace caraway {

namespace {

constexpr size_t kKeptReplies = 16;
constexpr Duration kOrderTimeout = Seconds(120); // loading weights is slow

LoadOrderReply
ReplyTo(const Node& aNode, const LoadOrder& aOrder)
{
  LoadOrderReply reply;
  reply.mNode = aNode.mSettings.mInstance;
  reply.mNodeEpoch = aNode.mSession.mEpoch;
  reply.mToken = aOrder.mToken;
  reply.mSequence = aOrder.mSequence;
  return reply;
}

void
LogOrder(const LoadOrder& aOrder,
         std::string_view aChoice,
         std::string_view aReason,
         NodeActions& aOut)
{
  DecisionLog log;
  log.mEvent = "order";
  log.mChoice = std::string(aChoice);
  log.mReason = std::string(aReason);
  log.mExtra = { { "model", aOrder.mModel.mValue },
                 { "token", std::to_string(aOrder.mToken.mValue) } };
  aOut.emplace_back(std::move(log));
}

void
RefuseOrder(Node& aNode,
            const PeerAddress& aTo,
            const LoadOrder& aOrder,
            const char* aMessage,
            NodeActions& aOut)
{
  LoadOrderReply reply = ReplyTo(aNode, aOrder);
  reply.mMessage = aMessage;
  LogOrder(aOrder, "refused", aMessage, aOut);
  aOut.emplace_back(SendMessage{ aTo, std::move(reply) });
}

bool
InProgress(const Node& aNode, const LoadOrder& aOrder)
{
  for (const auto& [id, info] : aNode.mTargetCalls) {
    if (info.mUse == TargetUse::eOrder && info.mOrder.mToken == aOrder.mToken &&
        info.mOrder.mSequence == aOrder.mSequence) {
      return true;
    }
  }
  return false;
}

} // namespace

void
OnLoadOrder(Node& aNode,
            MonoTime aNow,
            const PeerAddress& aFrom,
            const LoadOrder& aOrder,
            NodeActions& aOut)
{
  if (aOrder.mNode != aNode.mSettings.mInstance ||
      aOrder.mNodeEpoch != aNode.mSession.mEpoch) {
    RefuseOrder(aNode,
                aFrom,
                aOrder,
                "the order names another session of this node; renew first",
                aOut);
    return;
  }
  if (aOrder.mToken < aNode.mOrderToken) {
    RefuseOrder(aNode,
                aFrom,
                aOrder,
                "an order with a newer token was received; stop sending orders",
                aOut);
    return;
  }
  aNode.mOrderToken = aOrder.mToken;
  auto done = aNode.mOrderReplies.find({ aOrder.mToken, aOrder.mSequence });
  if (done != aNode.mOrderReplies.end()) {
    aOut.emplace_back(SendMessage{ aFrom, done->second });
    return;
  }
  if (InProgress(aNode, aOrder)) {
    return; // the reply is sent when the call ends
  }
  if (!aNode.mTarget.mPresent) {
    RefuseOrder(
      aNode, aFrom, aOrder, "no target is announced; retry later", aOut);
    return;
  }
  StartTargetCall call;
  call.mMethod = "POST";
  call.mPath =
    aOrder.mKind == OrderKind::eLoadModel ? "/admin/load" : "/admin/unload";
  call.mHeaders = { { "Content-Type", "application/json" } };
  call.mBody = OrderBody(aOrder.mModel, aOrder.mToken);
  call.mFreshConnection = true;
  call.mTimeout = kOrderTimeout;
  TargetCallInfo info;
  info.mUse = TargetUse::eOrder;
  info.mOrder = aOrder;
  info.mOrderFrom = aFrom;
  LogOrder(aOrder, "passed_on", "current order authority", aOut);
  CallTarget(aNode, aNow, info, std::move(call), aOut);
}

void
FinishOrder(Node& aNode,
            const TargetCallInfo& aInfo,
            bool aAccepted,
            std::string_view aReason,
            NodeActions& aOut)
{
  LoadOrderReply reply = ReplyTo(aNode, aInfo.mOrder);
  reply.mAccepted = aAccepted;
  if (!aAccepted) {
    reply.mMessage = std::string(aReason) + "; see the target's own log";
  }
  auto& kept = aNode.mOrderReplies;
  kept[{ reply.mToken, reply.mSequence }] = reply;
  if (kept.size() > kKeptReplies) {
    kept.erase(kept.begin());
  }
  LogOrder(aInfo.mOrder, aAccepted ? "accepted" : "failed", aReason, aOut);
  aOut.emplace_back(SendMessage{ aInfo.mOrderFrom, std::move(reply) });
}

} // namespace caraway
