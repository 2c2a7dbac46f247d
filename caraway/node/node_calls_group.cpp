// Operations on groups of online calls: calls of a lost entry or a withdrawn
// key, and queued calls when the node or target takes no more work.

#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

// Returns the keys of the queued and running calls that match.
template<class Match>
std::vector<AttemptKey>
LiveCalls(const Node& aNode, Match aMatch)
{
  std::vector<AttemptKey> keys;
  for (const auto& [work, key] : aNode.mAttemptByWork) {
    const NodeCall& call = aNode.mCalls.at(key);
    if (aMatch(call)) {
      keys.push_back(key);
    }
  }
  return keys;
}

// A queued call has not run; what has become of a running one is unknown.
Outcome
OutcomeIn(CallState aState)
{
  return aState == CallState::eQueued ? Outcome::eNotRun : Outcome::eUnknown;
}

void
RefuseCallsInState(Node& aNode,
                   MonoTime aNow,
                   CallState aState,
                   ErrorKind aKind,
                   const std::string& aMessage,
                   NodeActions& aOut)
{
  const auto keys = LiveCalls(
    aNode, [&](const NodeCall& aCall) { return aCall.mState == aState; });
  for (const AttemptKey& key : keys) {
    RefuseCall(aNode,
               aNow,
               aNode.mCalls.at(key),
               aKind,
               OutcomeIn(aState),
               aMessage,
               {},
               aOut);
  }
}

} // namespace

void
DropEntryCalls(Node& aNode,
               MonoTime aNow,
               const PeerAddress& aEntry,
               const InstanceId& aInstance,
               Epoch aNewest,
               NodeActions& aOut)
{
  const auto keys = LiveCalls(aNode, [&](const NodeCall& aCall) {
    const Dispatch& dispatch = aCall.mDispatch;
    const bool lost = !aEntry.Empty() && aCall.mEntryAddress == aEntry;
    const bool ended = !aInstance.Empty() && dispatch.mEntry == aInstance &&
                       dispatch.mEntryEpoch < aNewest;
    const bool mayStop =
      dispatch.mIdempotent || aCall.mState == CallState::eQueued;
    return (lost || ended) && mayStop;
  });
  for (const AttemptKey& key : keys) {
    NodeCall& call = aNode.mCalls.at(key);
    const Outcome outcome = OutcomeIn(call.mState);
    // The refusal is kept: the entry may have lost only this connection, and
    // may send an OutcomeQuery.
    RefuseCall(aNode,
               aNow,
               call,
               ErrorKind::eUnavailable,
               outcome,
               "the connection to the entry was lost; retry the request",
               {},
               aOut);
  }
}

void
RefuseWithdrawnCalls(Node& aNode,
                     MonoTime aNow,
                     const KeyId& aKey,
                     const WorkspaceId& aWorkspace,
                     NodeActions& aOut)
{
  const auto keys = LiveCalls(aNode, [&](const NodeCall& aCall) {
    const Dispatch& dispatch = aCall.mDispatch;
    return (!aKey.Empty() && dispatch.mKey == aKey) ||
           (!aWorkspace.Empty() && dispatch.mWorkspace == aWorkspace);
  });
  for (const AttemptKey& key : keys) {
    NodeCall& call = aNode.mCalls.at(key);
    RefuseCall(aNode,
               aNow,
               call,
               ErrorKind::eWithdrawn,
               OutcomeIn(call.mState),
               "the key was withdrawn; use another key",
               {},
               aOut);
  }
}

void
RefuseQueuedCalls(Node& aNode,
                  MonoTime aNow,
                  ErrorKind aKind,
                  std::string_view aMessage,
                  NodeActions& aOut)
{
  RefuseCallsInState(aNode,
                     aNow,
                     CallState::eQueued,
                     aKind,
                     std::string(aMessage) + "; send it to another target",
                     aOut);
}

void
EndRunningCalls(Node& aNode,
                MonoTime aNow,
                ErrorKind aKind,
                const std::string& aMessage,
                NodeActions& aOut)
{
  RefuseCallsInState(aNode, aNow, CallState::eRunning, aKind, aMessage, aOut);
}

} // namespace caraway
