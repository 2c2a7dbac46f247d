// The node's part in finding input that crashes targets: it tells which input
// its batch items have seen answered. Items themselves are never suspected: one
// that was running when its target ended is still owed, and is run again.

#include "caraway/node/node_internal.h"

namespace caraway {

void
RecordAnsweredItem(Node& aNode,
                   MonoTime aNow,
                   BatchTask& aTask,
                   NodeActions& aOut)
{
  if (aTask.mAnswered) {
    return;
  }
  aTask.mAnswered = true;
  if (auto started = NoteAnswered(aNode.mCrashReporter,
                                  aNow,
                                  ServiceId(aTask.mLease.mModel.mValue),
                                  aTask.mInputParts)) {
    started->mMember = aNode.mSettings.mInstance;
    SendToLeader(aNode, *std::move(started), aOut);
  }
}

void
OnSuspectQuery(Node& aNode,
               MonoTime aNow,
               const PeerAddress& aFrom,
               const SuspectQuery& aQuery,
               NodeActions& aOut)
{
  StartedParts started = AnswerSuspectQuery(aNode.mCrashReporter, aNow, aQuery);
  started.mMember = aNode.mSettings.mInstance;
  aOut.emplace_back(SendMessage{ aFrom, std::move(started) });
}

} // namespace caraway
