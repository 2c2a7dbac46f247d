// Fills leased items and file pieces with bytes read from blobs.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "caraway/control/step.h"
#include "caraway/ledger/ledger.h"

namespace caraway {

namespace {

constexpr Duration kNodeRetryDelay = Seconds(1);
// Leaves 8 KiB of a frame for the fields that the items share.
constexpr size_t kMaxBatchBytes = kMaxFrameBytes - 8 * 1024;
static_assert(kMaxLineBytes + kMaxElementOverhead <= kMaxBatchBytes);

// Answers a lease request without items.
ItemBatch
WithoutItems(const ItemBatch& aBatch)
{
  ItemBatch none;
  none.mGroup = aBatch.mGroup;
  none.mNodeEpoch = aBatch.mNodeEpoch;
  none.mSequence = aBatch.mSequence;
  none.mRetryAfter = kNodeRetryDelay;
  return none;
}

// Returns items to the ledger on behalf of the node, because they are not sent
// to it, and sends the others once that is applied. If it is not, the node asks
// again for the same lease.
void
SendAfterReturn(ControlStep& aStep,
                ItemBodies aBodies,
                std::vector<ItemResult> aResults)
{
  ItemResults results;
  results.mGroup = aBodies.mBatch.mGroup;
  results.mNode = aBodies.mNode;
  results.mNodeEpoch = aBodies.mBatch.mNodeEpoch;
  results.mJob = aBodies.mBatch.mJob;
  results.mToken = aBodies.mBatch.mToken;
  results.mResults = std::move(aResults);
  PendingBatchReply reply{ aBodies.mTo, std::move(aBodies.mBatch) };
  (void)Propose(aStep, std::move(results), std::move(reply));
}

// Handles input that could not be read. If the job has ended meanwhile, its
// blobs may have been removed, and the node retries. Otherwise the disk has
// lost durable data: this replica halts and another one has to serve.
void
FailItems(ControlStep& aStep, const ItemBodies& aBodies)
{
  const ItemBatch& batch = aBodies.mBatch;
  const bool inProgress = ItemIndexRecord(aStep.mControl.mState.mLedger,
                                          batch.mJob,
                                          batch.mItems.front().mIndex)
                            .ok();
  if (inProgress) {
    aStep.mControl.mHalted = true;
    aStep.mOut.emplace_back(
      Halt{ "the input of " + batch.mJob.mValue +
            " cannot be read; replace the disk and add this replica under a "
            "new id" });
    return;
  }
  Send(aStep, aBodies.mTo, WithoutItems(batch));
}

// The bodies were read after the lease was granted. Meanwhile the job may have
// ended, or a new plan may have moved it to another service.
LeaseState
CurrentLeaseState(const ControlStep& aStep, const ItemBodies& aBodies)
{
  return StateOfLease(aStep.mControl.mState.mLedger,
                      aBodies.mNode,
                      aBodies.mBatch.mNodeEpoch,
                      aBodies.mBatch.mToken,
                      aBodies.mServed);
}

bool
IsComplete(const BlobFetch& aFetch)
{
  return std::all_of(
    aFetch.mRanges.begin(), aFetch.mRanges.end(), [](const auto& aRange) {
      return aRange.mBytes.size() == aRange.mRange.mLength;
    });
}

// The ledger limits a lease so that its lines fit into a frame, but not the
// partial outputs that come with them. Items that do not fit are returned; an
// item that does not fit by itself is sent without its partial output. Items of
// a job that has moved are all returned.
void
FinishItems(ControlStep& aStep, ItemBodies aBodies, BlobFetch& aFetch)
{
  const LeaseState lease = CurrentLeaseState(aStep, aBodies);
  if (lease == LeaseState::eEnded) {
    Send(aStep, aBodies.mTo, WithoutItems(aBodies.mBatch));
    return;
  }
  std::vector<BatchItem> kept;
  std::vector<ItemResult> back;
  size_t bytes = 0;
  for (size_t at = 0; at < aBodies.mBatch.mItems.size(); ++at) {
    BatchItem& item = aBodies.mBatch.mItems[at];
    item.mBody = std::move(aFetch.mRanges[at].mBytes);
    if (EncodedBound(item) > kMaxBatchBytes) {
      Log(aStep,
          "item_lease",
          "restarted",
          absl::StrCat(aBodies.mBatch.mJob.mValue,
                       "/",
                       item.mIndex,
                       " has ",
                       EncodedBound(item),
                       " bytes with its partial output"));
      item.mProgress = {};
    }
    const size_t size = EncodedBound(item);
    if (lease == LeaseState::eMoved ||
        (bytes > 0 && bytes + size > kMaxBatchBytes)) {
      back.push_back({ item.mIndex, ItemVerdict::eReturned, 0, {} });
    } else {
      bytes += size;
      kept.push_back(std::move(item));
    }
  }
  aBodies.mBatch.mItems = std::move(kept);
  if (back.empty()) {
    Send(aStep, aBodies.mTo, std::move(aBodies.mBatch));
  } else {
    SendAfterReturn(aStep, std::move(aBodies), std::move(back));
  }
}

void
FinishPiece(ControlStep& aStep, FilePiece aPiece, BlobFetch& aFetch)
{
  FileBytesReply reply;
  reply.mNextOffset = aPiece.mNextOffset;
  reply.mEnd = aPiece.mEnd;
  reply.mTotal = aPiece.mTotal;
  for (FetchedRange& range : aFetch.mRanges) {
    reply.mBytes += range.mBytes;
  }
  aPiece.mReply.mBody = std::move(reply);
  Send(aStep, aPiece.mTo, std::move(aPiece.mReply));
}

void
FailPiece(ControlStep& aStep, FilePiece aPiece)
{
  Log(aStep, "read_file", "failed", "a blob could not be read");
  aPiece.mReply.mBody =
    CallFailed{ ErrorKind::eUnavailable,
                "the file could not be read; try again later" };
  Send(aStep, aPiece.mTo, std::move(aPiece.mReply));
}

void
FailFetch(ControlStep& aStep, FetchPurpose aPurpose)
{
  if (const auto* bodies = std::get_if<ItemBodies>(&aPurpose)) {
    FailItems(aStep, *bodies);
  } else {
    FailPiece(aStep, std::move(std::get<FilePiece>(aPurpose)));
  }
}

// Output files: keeps the items that fit into the piece.
void
TruncatePiece(FilePiece& aPiece, std::vector<BlobRange>& aRanges)
{
  uint64_t bytes = 0;
  for (size_t at = 0; at < aRanges.size(); ++at) {
    bytes += aRanges[at].mLength;
    if (bytes > kMaxPartBytes && at > 0) {
      aRanges.resize(at);
      aPiece.mNextOffset = aPiece.mItems[at];
      aPiece.mEnd = false;
      return;
    }
  }
}

// Starts to read the data that the index records point to. An ended job may
// have items without a result; their records are empty and are skipped.
void
ReadData(ControlStep& aStep, BlobFetch aFetch)
{
  auto* piece = std::get_if<FilePiece>(&aFetch.mPurpose);
  std::vector<BlobRange> ranges;
  std::vector<uint32_t> items;
  for (size_t at = 0; at < aFetch.mRanges.size(); ++at) {
    const FetchedRange& record = aFetch.mRanges[at];
    absl::StatusOr<BlobRange> range = DataRange(record.mRange, record.mBytes);
    if (range.ok()) {
      ranges.push_back(*std::move(range));
      if (piece != nullptr) {
        items.push_back(piece->mItems[at]);
      }
    } else if (piece == nullptr ||
               KindOf(range.status()) != ErrorKind::eNotFound) {
      FailFetch(aStep, std::move(aFetch.mPurpose));
      return;
    }
  }
  if (piece != nullptr) {
    piece->mItems = std::move(items);
    TruncatePiece(*piece, ranges);
    if (ranges.empty()) {
      BlobFetch none;
      FinishPiece(aStep, std::move(*piece), none);
      return;
    }
  }
  StartReads(aStep, std::move(aFetch.mPurpose), false, ranges);
}

} // namespace

void
StartReads(ControlStep& aStep,
           FetchPurpose aPurpose,
           bool aReadsIndexRecords,
           const std::vector<BlobRange>& aRanges)
{
  BlobFetch fetch;
  fetch.mPurpose = std::move(aPurpose);
  fetch.mReadsIndexRecords = aReadsIndexRecords;
  for (const BlobRange& range : aRanges) {
    fetch.mRanges.push_back({ range, {} });
  }
  std::vector<ReadBlob> reads;
  StartFetch(aStep.mControl.mFetches, std::move(fetch), reads);
  for (ReadBlob& read : reads) {
    aStep.mOut.emplace_back(std::move(read));
  }
}

void
SendItemBatch(ControlStep& aStep, ItemBodies aBodies)
{
  ItemBatch& batch = aBodies.mBatch;
  if (batch.mItems.empty()) {
    if (batch.mRetryAfter <= Duration{}) {
      batch.mRetryAfter = kNodeRetryDelay;
    }
    Send(aStep, aBodies.mTo, std::move(batch));
    return;
  }
  std::vector<BlobRange> records;
  for (const BatchItem& item : batch.mItems) {
    absl::StatusOr<BlobRange> record =
      ItemIndexRecord(aStep.mControl.mState.mLedger, batch.mJob, item.mIndex);
    if (!record.ok()) {
      FailItems(aStep, aBodies);
      return;
    }
    records.push_back(*std::move(record));
  }
  StartReads(aStep, std::move(aBodies), true, records);
}

void
HandleBlobRead(ControlStep& aStep, const BlobRead& aRead)
{
  std::optional<BlobFetch> fetch = FinishRead(aStep.mControl.mFetches, aRead);
  // A replica that is no longer the leader does not know whether the reply is
  // current and may not propose; the sender retransmits.
  if (!fetch || !MayServe(aStep)) {
    return;
  }
  if (fetch->mFailed || (!fetch->mReadsIndexRecords && !IsComplete(*fetch))) {
    FailFetch(aStep, std::move(fetch->mPurpose));
  } else if (fetch->mReadsIndexRecords) {
    ReadData(aStep, *std::move(fetch));
  } else if (auto* bodies = std::get_if<ItemBodies>(&fetch->mPurpose)) {
    FinishItems(aStep, std::move(*bodies), *fetch);
  } else {
    FinishPiece(aStep, std::move(std::get<FilePiece>(fetch->mPurpose)), *fetch);
  }
}

} // namespace caraway
