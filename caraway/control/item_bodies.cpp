// Filling leased items and file pieces with bytes read from blobs.

#include "caraway/base/absl_view.h"
#include "caraway/control/step.h"
#include "caraway/ledger/ledger.h"

namespace caraway {

namespace {

// Bodies of one ItemBatch; a frame holds 1 MiB.
constexpr size_t kMaxBatchBytes = 768 * 1024;

// Reports items back to the ledger on behalf of the node, because it does not
// get them. Without this they would stay leased until its session ends.
void
HandBack(ControlStep& aStep,
         const ItemBodies& aBodies,
         std::vector<ItemResult> aResults)
{
  if (aResults.empty()) {
    return;
  }
  ItemResults results;
  results.mGroup = aBodies.mBatch.mGroup;
  results.mNode = aBodies.mNode;
  results.mNodeEpoch = aBodies.mBatch.mNodeEpoch;
  results.mJob = aBodies.mBatch.mJob;
  results.mToken = aBodies.mBatch.mToken;
  results.mResults = std::move(aResults);
  (void)Propose(aStep, std::move(results), {});
}

void
HandBackAll(ControlStep& aStep, const ItemBodies& aBodies)
{
  std::vector<ItemResult> results;
  for (const BatchItem& item : aBodies.mBatch.mItems) {
    results.push_back(
      { item.mIndex, ItemVerdict::eRetryable, 0, "the input is unreadable" });
  }
  Log(aStep,
      "read_items",
      aBodies.mBatch.mJob.mValue,
      "the input could not be read; check the disk of this replica");
  HandBack(aStep, aBodies, std::move(results));
}

void
FinishItems(ControlStep& aStep, ItemBodies aBodies, BlobFetch& aFetch)
{
  std::vector<BatchItem> kept;
  std::vector<ItemResult> back;
  size_t bytes = 0;
  for (size_t at = 0; at < aBodies.mBatch.mItems.size(); ++at) {
    BatchItem& item = aBodies.mBatch.mItems[at];
    std::string& body = aFetch.mRanges[at].mBytes;
    if (body.size() > kMaxBatchBytes) {
      back.push_back({ item.mIndex,
                       ItemVerdict::ePermanent,
                       0,
                       "the input line is larger than 768 KiB; shorten it" });
    } else if (bytes + body.size() > kMaxBatchBytes) {
      back.push_back({ item.mIndex, ItemVerdict::eReturned, 0, {} });
    } else {
      bytes += body.size();
      item.mBody = std::move(body);
      kept.push_back(std::move(item));
    }
  }
  aBodies.mBatch.mItems = std::move(kept);
  HandBack(aStep, aBodies, std::move(back));
  Send(aStep, aBodies.mTo, std::move(aBodies.mBatch));
}

void
FinishPiece(ControlStep& aStep, FilePiece aPiece, BlobFetch& aFetch)
{
  FileBytesReply reply;
  reply.mNextOffset = aPiece.mNextOffset;
  reply.mEnd = aPiece.mEnd;
  for (FetchedRange& range : aFetch.mRanges) {
    reply.mBytes += range.mBytes;
  }
  aPiece.mReply.mBody = std::move(reply);
  Send(aStep, aPiece.mTo, std::move(aPiece.mReply));
}

void
FailPiece(ControlStep& aStep, FilePiece aPiece)
{
  aPiece.mReply.mBody =
    CallFailed{ ErrorKind::eUnavailable,
                "the file could not be read; try again later" };
  Send(aStep, aPiece.mTo, std::move(aPiece.mReply));
}

void
FailFetch(ControlStep& aStep, FetchPurpose aPurpose)
{
  if (auto* bodies = std::get_if<ItemBodies>(&aPurpose)) {
    HandBackAll(aStep, *bodies);
  } else {
    FailPiece(aStep, std::move(std::get<FilePiece>(aPurpose)));
  }
}

// Output files: takes items until the piece is full.
void
CutPiece(FilePiece& aPiece, std::vector<BlobRange>& aRanges)
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

// The index records are read; goes on with the data they name.
void
ReadData(ControlStep& aStep, BlobFetch aFetch)
{
  std::vector<BlobRange> ranges;
  for (const FetchedRange& record : aFetch.mRanges) {
    absl::StatusOr<BlobRange> range = DataRange(record.mRange, record.mBytes);
    if (!range.ok()) {
      FailFetch(aStep, std::move(aFetch.mPurpose));
      return;
    }
    ranges.push_back(*std::move(range));
  }
  if (auto* piece = std::get_if<FilePiece>(&aFetch.mPurpose)) {
    CutPiece(*piece, ranges);
  }
  StartReads(aStep, std::move(aFetch.mPurpose), false, ranges);
}

} // namespace

void
StartReads(ControlStep& aStep,
           FetchPurpose aPurpose,
           bool aIndexes,
           const std::vector<BlobRange>& aRanges)
{
  BlobFetch fetch;
  fetch.mPurpose = std::move(aPurpose);
  fetch.mIndexes = aIndexes;
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
SendItemBatch(ControlStep& aStep,
              const PeerAddress& aTo,
              const InstanceId& aNode,
              ItemBatch aBatch)
{
  if (aBatch.mItems.empty()) {
    if (aBatch.mRetryAfter <= Duration{}) {
      aBatch.mRetryAfter = Seconds(1);
    }
    Send(aStep, aTo, std::move(aBatch));
    return;
  }
  ItemBodies bodies{ aTo, aNode, std::move(aBatch) };
  std::vector<BlobRange> records;
  for (const BatchItem& item : bodies.mBatch.mItems) {
    absl::StatusOr<BlobRange> record = ItemIndexRecord(
      aStep.mControl.mState.mLedger, bodies.mBatch.mJob, item.mIndex);
    if (!record.ok()) {
      HandBackAll(aStep, bodies);
      return;
    }
    records.push_back(*std::move(record));
  }
  StartReads(aStep, std::move(bodies), true, records);
}

void
HandleBlobRead(ControlStep& aStep, const BlobRead& aRead)
{
  std::optional<BlobFetch> fetch = FinishRead(aStep.mControl.mFetches, aRead);
  // A replica that lost the lead neither knows whether the answer is fresh nor
  // may propose; the asker sends again.
  if (!fetch || !MayServe(aStep)) {
    return;
  }
  if (fetch->mFailed) {
    FailFetch(aStep, std::move(fetch->mPurpose));
  } else if (fetch->mIndexes) {
    ReadData(aStep, *std::move(fetch));
  } else if (auto* bodies = std::get_if<ItemBodies>(&fetch->mPurpose)) {
    FinishItems(aStep, std::move(*bodies), *fetch);
  } else {
    FinishPiece(aStep, std::move(std::get<FilePiece>(fetch->mPurpose)), *fetch);
  }
}

} // namespace caraway
