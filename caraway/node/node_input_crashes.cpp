// The node's part in finding input that crashes targets: batch items and online
// calls that broke, items that were answered, and items that get blocked.

#include "caraway/node/node_internal.h"

namespace caraway {

namespace {

void
ReportBroken(Node& aNode,
             MonoTime aNow,
             CrashSuspect aSuspect,
             NodeActions& aOut)
{
  // A target that leaves may cut what it cannot finish.
  if (aNode.mTarget.mLeaving) {
    return;
  }
  // Only targets with a record have a start that other members know, too.
  if (!UsesDirectory(aNode) || aNode.mRecord.mId.Empty()) {
    return;
  }
  auto check = NoteBrokenCall(aNode.mCrashReporter,
                              aNow,
                              aNode.mRecord.mId,
                              aNode.mRecord.mStartedAt,
                              aNode.mRecord.mAddress,
                              std::move(aSuspect));
  if (check) {
    aOut.emplace_back(*std::move(check));
  }
}

} // namespace

void
RecordBrokenItem(Node& aNode,
                 MonoTime aNow,
                 const BatchTask& aTask,
                 NodeActions& aOut)
{
  ReportBroken(aNode,
               aNow,
               { RequestId(aTask.mCustomId),
                 aTask.mLease.mWorkspace,
                 aTask.mInputParts,
                 aTask.mAnsweredSince != kNever },
               aOut);
}

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
  if (auto started =
        NoteAnswered(aNode.mCrashReporter, aNow, aTask.mInputParts)) {
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

void
SendCrashReports(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  if (aNow < NextWakeup(aNode.mCrashReporter)) {
    return;
  }
  for (CrashReport& report : DueCrashReports(aNode.mCrashReporter, aNow)) {
    SendToLeader(aNode, std::move(report), aOut);
  }
}

void
FailBlockedItems(Node& aNode, MonoTime aNow, NodeActions& aOut)
{
  const ConfigView& view = aNode.mSession.mView;
  if (view.mInputBlocks.empty()) {
    return;
  }
  std::vector<std::pair<WorkId, const InputBlock*>> blocked;
  for (const auto& [work, task] : aNode.mBatch.mTasks) {
    if (task.mAnsweredSince != kNever) {
      continue;
    }
    if (const InputBlock* block =
          FindInputBlock(view, task.mLease.mWorkspace, task.mInputParts)) {
      blocked.emplace_back(work, block);
    }
  }
  for (const auto& [work, block] : blocked) {
    FailBlockedTask(aNode, aNow, work, *block, aOut);
  }
}

} // namespace caraway
