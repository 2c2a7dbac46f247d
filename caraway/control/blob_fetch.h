#pragma once
// Reading many ranges of blobs for one answer: the bodies of leased items, or a
// piece of a file. Neighbouring ranges are read together.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "caraway/control/control_io.h"
#include "caraway/ledger/ledger.h"

namespace caraway {

// The answer that the bytes are for.
struct ItemBodies
{
  PeerAddress mTo;
  InstanceId mNode;
  ItemBatch mBatch; // bodies are filled in
};

struct FilePiece
{
  PeerAddress mTo;
  ControlCallReply mReply;      // body is filled in
  std::vector<uint32_t> mItems; // of index records; empty for direct reads
  uint64_t mNextOffset = 0;
  bool mEnd = false;
  uint64_t mTotal = 0; // output files: items of the job
};

using FetchPurpose = std::variant<ItemBodies, FilePiece>;

struct FetchedRange
{
  BlobRange mRange;
  std::string mBytes; // shorter than the range at the end of the blob
};

struct BlobFetch
{
  FetchPurpose mPurpose;
  bool mReadsIndexRecords = false; // the ranges are index records; data follows
  std::vector<FetchedRange> mRanges;
  size_t mOpenReads = 0;
  bool mFailed = false;
};

// One ReadBlob covers the ranges [mFirst, mFirst + mCount).
struct OpenRead
{
  uint64_t mFetch = 0;
  size_t mFirst = 0;
  size_t mCount = 0;
};

struct BlobFetches
{
  uint64_t mLastRead = 0;
  uint64_t mLastFetch = 0;
  std::map<uint64_t, BlobFetch> mFetches;
  std::map<uint64_t, OpenRead> mReads;
};

// Starts reading the ranges; returns the fetch's number.
uint64_t
StartFetch(BlobFetches& aFetches,
           BlobFetch aFetch,
           std::vector<ReadBlob>& aReads);

// A read came back. Returns the fetch once its last read is in; it is no longer
// in aFetches then.
std::optional<BlobFetch>
FinishRead(BlobFetches& aFetches, const BlobRead& aRead);

} // namespace caraway
