// Handles ledger calls of entries, and item leases and results of nodes.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/base/absl_view.h"
#include "caraway/control/apply_jobs.h"
#include "caraway/control/step.h"
#include "caraway/ledger/ledger.h"

namespace caraway {

namespace {

constexpr uint32_t kMaxLeasedItems = 64;
constexpr Duration kNoWorkRetry = Seconds(1);

// Results are proposed in commands of up to this size; one that is larger has a
// command of its own.
constexpr size_t kResultsPerCommandBytes = 512 * 1024;

// A single result above this does not fit into a log entry.
constexpr size_t kMaxLoggedResult = kMaxEntryBytes - 16 * 1024;
static_assert(kMaxLoggedResult <= kMaxResultBytes);
static_assert(kMaxResultBytes + kMaxElementOverhead < kMaxFrameBytes);

// Starts the reply to a read whose bytes are still to be fetched.
FilePiece
PieceFor(const PeerAddress& aFrom, const ControlCall& aCall)
{
  FilePiece piece;
  piece.mTo = aFrom;
  piece.mReply.mGroup = aCall.mGroup;
  piece.mReply.mCall = aCall.mCall;
  piece.mReply.mEntryEpoch = aCall.mEntryEpoch;
  return piece;
}

const ConfigView&
ViewOf(const ControlStep& aStep)
{
  return aStep.mControl.mState.mConfig.mView;
}

void
Reply(ControlStep& aStep,
      const PeerAddress& aTo,
      const ControlCall& aCall,
      CallReplyBody aBody)
{
  Send(aStep,
       aTo,
       ControlCallReply{
         aCall.mGroup, aCall.mCall, aCall.mEntryEpoch, std::move(aBody) });
}

CallFailed
CallFailedFrom(const absl::Status& aStatus)
{
  return { KindOf(aStatus), std::string(StdView(aStatus.message())) };
}

// Returns why a call is refused before it reaches the ledger, if it is.
std::optional<CallFailed>
CheckCall(const ControlStep& aStep, const ControlCall& aCall)
{
  if (!IsCurrentSession(ViewOf(aStep), aCall.mEntry, aCall.mEntryEpoch)) {
    return CallFailed{ ErrorKind::eStaleEpoch,
                       "the session of the entry has ended; the entry "
                       "registers and calls again" };
  }
  if (!aCall.mGroup.IsNone()) {
    return CallFailed{ ErrorKind::eInvalidArgument,
                       "there is no such replication group; use group 0" };
  }
  size_t bytes = 0;
  if (const auto* part = std::get_if<PutFilePart>(&aCall.mBody)) {
    bytes = part->mBytes.size();
  } else if (const auto* done = std::get_if<CompleteClaim>(&aCall.mBody)) {
    bytes = done->mBody.size();
  }
  if (bytes > kMaxPartBytes) {
    return CallFailed{ ErrorKind::eTooLarge,
                       "the part is larger than 256 KiB; send smaller parts" };
  }
  return std::nullopt;
}

// Returns why the caller's key does not allow the read, if it does not. Changes
// are judged where they are applied.
std::optional<CallFailed>
CheckKeyOfRead(const ControlStep& aStep, const ControlCall& aCall)
{
  const CallerKey* key = CallerKeyOf(aCall.mBody);
  return key != nullptr && IsReadOnly(aCall.mBody)
           ? CheckCallerKey(ViewOf(aStep), *key, aCall.mWorkspace)
           : std::nullopt;
}

// Parts of files are most of what the log holds. They leave the rest of its
// pending bytes to everything else, and the last part of their own to files
// that have begun.
std::optional<CallFailed>
CheckPending(const ControlStep& aStep, const ControlCall& aCall)
{
  const auto* part = std::get_if<PutFilePart>(&aCall.mBody);
  if (part == nullptr) {
    return std::nullopt;
  }
  const Raft& raft = aStep.mControl.mRaft;
  const uint64_t limit = raft.mSettings.mMaxPendingBytes;
  const uint64_t share = part->mOffset == 0 ? limit / 2 : limit / 4 * 3;
  if (raft.mLog.mPendingBytes + part->mBytes.size() <= share) {
    return std::nullopt;
  }
  return CallFailed{ ErrorKind::eOverloaded,
                     "the disks of control are behind; send the request "
                     "again later" };
}

CallReplyBody
DescribeFileOf(const ControlStep& aStep,
               const ControlCall& aCall,
               const FileId& aFile)
{
  ControlCall describe;
  describe.mWorkspace = aCall.mWorkspace;
  describe.mBody = DescribeFile{ aFile };
  return ReadCall(aStep.mControl.mState.mLedger, LogicalNow(aStep), describe);
}

bool
FileExists(const ControlStep& aStep,
           const ControlCall& aCall,
           const FileId& aFile)
{
  return std::holds_alternative<FileReply>(DescribeFileOf(aStep, aCall, aFile));
}

// True if the file that the call reads has content.
bool
FileHasContent(const ControlStep& aStep, const ControlCall& aCall)
{
  const CallReplyBody described =
    DescribeFileOf(aStep, aCall, std::get<ReadFile>(aCall.mBody).mFile);
  const auto* file = std::get_if<FileReply>(&described);
  return file != nullptr && file->mFile.mBytes > 0;
}

void
ReadFilePiece(ControlStep& aStep,
              const PeerAddress& aFrom,
              const ControlCall& aCall)
{
  absl::StatusOr<FileReadPlan> plan =
    PlanFileRead(aStep.mControl.mState.mLedger, aCall);
  if (!plan.ok()) {
    Reply(aStep, aFrom, aCall, CallFailedFrom(plan.status()));
    return;
  }
  // A job without any result has no blobs.
  if (plan->mRanges.empty() ||
      (!plan->mDirect && !FileHasContent(aStep, aCall))) {
    Reply(aStep,
          aFrom,
          aCall,
          FileBytesReply{ {}, plan->mNextOffset, plan->mEnd, plan->mTotal });
    return;
  }
  FilePiece piece = PieceFor(aFrom, aCall);
  piece.mItems = std::move(plan->mItems);
  piece.mNextOffset = plan->mNextOffset;
  piece.mEnd = plan->mEnd;
  piece.mTotal = plan->mTotal;
  StartReads(aStep, std::move(piece), !plan->mDirect, plan->mRanges);
}

// Replies with the input line of one item.
void
ReadItemLine(ControlStep& aStep,
             const PeerAddress& aFrom,
             const ControlCall& aCall,
             const ReadItem& aRead)
{
  const Ledger& ledger = aStep.mControl.mState.mLedger;
  absl::StatusOr<uint32_t> item = FindItemById(ledger, aCall.mWorkspace, aRead);
  absl::StatusOr<BlobRange> record =
    item.ok() ? ItemIndexRecord(ledger, aRead.mJob, *item)
              : absl::StatusOr<BlobRange>(item.status());
  if (!record.ok()) {
    Reply(aStep, aFrom, aCall, CallFailedFrom(record.status()));
    return;
  }
  FilePiece piece = PieceFor(aFrom, aCall);
  piece.mItems = { *item };
  piece.mEnd = true;
  StartReads(aStep, std::move(piece), true, { *record });
}

// True if a lease must go through the log. A first request is answered directly
// if there is no work, but a retransmitted one must get the same items as the
// first time.
bool
NeedsLease(ControlStep& aStep, const LeaseItems& aMessage)
{
  Session& session =
    aStep.mControl.mLeadership.mSessions.mSessions.at(aMessage.mNode);
  if (session.mLeaseItemsSequenceKnown &&
      aMessage.mSequence > session.mLeaseItemsSequence &&
      !HasItemsToLease(aStep.mControl.mState.mLedger, aMessage.mModels)) {
    return false;
  }
  session.mLeaseItemsSequenceKnown = true;
  session.mLeaseItemsSequence =
    std::max(session.mLeaseItemsSequence, aMessage.mSequence);
  return true;
}

// The result in a form that fits into a log entry. An item whose partial output
// is too large is run again from its begin.
ItemResult
LoggedResult(ControlStep& aStep, const JobId& aJob, const ItemResult& aResult)
{
  if (EncodedBound(aResult) <= kMaxLoggedResult) {
    return aResult;
  }
  Log(aStep,
      "item_result",
      "too_large",
      absl::StrCat(aJob.mValue,
                   "/",
                   aResult.mIndex,
                   " has ",
                   EncodedBound(aResult),
                   " bytes"));
  ItemResult logged;
  logged.mIndex = aResult.mIndex;
  logged.mVerdict = aResult.mVerdict;
  logged.mStatus = aResult.mStatus;
  if (aResult.mVerdict != ItemVerdict::eReturned) {
    logged.mVerdict = ItemVerdict::ePermanent;
    logged.mBody = "the response is too large; ask for a shorter one";
  }
  return logged;
}

// Splits results into commands that fit into log entries.
std::vector<ItemResults>
SplitResults(ControlStep& aStep, const ItemResults& aMessage)
{
  ItemResults head = aMessage;
  head.mResults.clear();
  std::vector<ItemResults> commands;
  size_t bytes = 0;
  for (const ItemResult& result : aMessage.mResults) {
    ItemResult logged = LoggedResult(aStep, aMessage.mJob, result);
    const size_t size = EncodedBound(logged);
    if (commands.empty() || bytes + size > kResultsPerCommandBytes) {
      commands.push_back(head);
      bytes = 0;
    }
    bytes += size;
    commands.back().mResults.push_back(std::move(logged));
  }
  if (commands.empty()) {
    commands.push_back(std::move(head));
  }
  return commands;
}

} // namespace

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const ControlCall& aMessage)
{
  if (!CheckLeader(aStep, aFrom)) {
    return;
  }
  ++aStep.mControl.mCounters.mCalls;
  if (auto failed = CheckCall(aStep, aMessage)) {
    Reply(aStep, aFrom, aMessage, *failed);
    return;
  }
  if (auto failed = CheckPending(aStep, aMessage)) {
    Reply(aStep, aFrom, aMessage, *failed);
    return;
  }
  const PendingCallReply to{
    aFrom, aMessage.mGroup, aMessage.mCall, aMessage.mEntryEpoch
  };
  if (HoldPlanReply(aStep, to, aMessage.mBody)) {
    return;
  }
  if (auto answer = AnswerConfigCall(aStep, aMessage.mBody)) {
    Reply(aStep, aFrom, aMessage, *std::move(answer));
    return;
  }
  if (auto failed = CheckKeyOfRead(aStep, aMessage)) {
    Reply(aStep, aFrom, aMessage, *failed);
    return;
  }
  if (const auto* item = std::get_if<ReadItem>(&aMessage.mBody)) {
    ReadItemLine(aStep, aFrom, aMessage, *item);
    return;
  }
  if (std::holds_alternative<ReadFile>(aMessage.mBody)) {
    ReadFilePiece(aStep, aFrom, aMessage);
    return;
  }
  if (IsReadOnly(aMessage.mBody)) {
    Reply(aStep,
          aFrom,
          aMessage,
          ReadCall(aStep.mControl.mState.mLedger, LogicalNow(aStep), aMessage));
    return;
  }
  if (const auto* part = std::get_if<PutFilePart>(&aMessage.mBody)) {
    if (part->mOffset == 0 && !FileExists(aStep, aMessage, part->mFile) &&
        RepairComesFirst(ContactsOf(aStep.mControl, aStep.mNow))) {
      Reply(aStep,
            aFrom,
            aMessage,
            CallFailed{ ErrorKind::eUnavailable,
                        "control replaces a lost replica; send it again" });
      return;
    }
    if (auto stored = ReplyToStoredPart(
          aStep.mControl.mState.mLedger, aMessage.mWorkspace, *part)) {
      Reply(aStep, aFrom, aMessage, *std::move(stored));
      return;
    }
  }
  ControlCall call = aMessage;
  if (auto* create = std::get_if<CreateJob>(&call.mBody)) {
    // From an entry of an earlier version, which sends no key.
    SubmitJob submit;
    submit.mCreate = std::move(*create);
    call.mBody = std::move(submit);
  }
  const absl::Status proposed = Propose(aStep, std::move(call), to);
  if (KindOf(proposed) == ErrorKind::eTooLarge ||
      KindOf(proposed) == ErrorKind::eOverloaded) {
    Reply(aStep, aFrom, aMessage, CallFailedFrom(proposed));
  }
}

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const LeaseItems& aMessage)
{
  if (!CheckLeader(aStep, aFrom)) {
    return;
  }
  if (!IsCurrentSession(ViewOf(aStep), aMessage.mNode, aMessage.mNodeEpoch)) {
    RenewReply ended;
    ended.mInstance = aMessage.mNode;
    ended.mEpoch = aMessage.mNodeEpoch;
    ended.mVerdict = RenewVerdict::eUnknownSession;
    Send(aStep, aFrom, ended);
    return;
  }
  const uint32_t wanted = ItemsForRollout(
    aStep, aMessage.mNode, std::min(aMessage.mWanted, kMaxLeasedItems));
  if (wanted == 0 || !NeedsLease(aStep, aMessage)) {
    ItemBatch none;
    none.mGroup = aMessage.mGroup;
    none.mNodeEpoch = aMessage.mNodeEpoch;
    none.mSequence = aMessage.mSequence;
    none.mRetryAfter = kNoWorkRetry;
    Send(aStep, aFrom, none);
    if (wanted > 0) {
      aStep.mControl.mLeadership.mIdleNodes.insert(aFrom);
    }
    return;
  }
  LeaseItems lease = aMessage;
  lease.mWanted = wanted;
  ReserveItems(aStep, aMessage.mNode);
  (void)Propose(
    aStep, lease, PendingLeaseReply{ aFrom, lease.mNode, lease.mModels });
}

void
HandleMessage(ControlStep& aStep,
              const PeerAddress& aFrom,
              const ItemResults& aMessage)
{
  if (!CheckLeader(aStep, aFrom)) {
    return;
  }
  if (!IsCurrentSession(ViewOf(aStep), aMessage.mNode, aMessage.mNodeEpoch)) {
    Send(aStep,
         aFrom,
         ItemResultsAck{
           aMessage.mGroup, aMessage.mNodeEpoch, aMessage.mSequence, true });
    return;
  }
  CountItemResults(aStep, aMessage);
  // Log entries are applied in order, so the last one acknowledges all.
  std::vector<ItemResults> commands = SplitResults(aStep, aMessage);
  for (size_t at = 0; at < commands.size(); ++at) {
    const bool last = at + 1 == commands.size();
    PendingReply pendingReply;
    if (last) {
      pendingReply = PendingResultsReply{ aFrom };
    }
    if (!Propose(aStep, std::move(commands[at]), std::move(pendingReply))
           .ok()) {
      return;
    }
  }
}

} // namespace caraway
