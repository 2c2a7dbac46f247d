#pragma once
// Reads many ranges of blobs for one reply: the bodies of leased items, or a
// piece of a file. Adjacent ranges are merged into one read.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "caraway/control/control_io.h"
#include "caraway/ledger/ledger.h"

namespace caraway {

// The reply to a node's LeaseItems, sent once the item bodies are read.
struct ItemBodies
{
  PeerAddress mTo;
  InstanceId mNode;
  std::vector<ModelId> mServed; // by the node's target
  ItemBatch mBatch;             // its items get their bodies from the fetch
};

// The reply to an entry's ReadFile or ReadItem, sent once its bytes are read.
struct FilePiece
{
  PeerAddress mTo;
  ControlCallReply mReply;      // its body comes from the fetch
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
  bool mReadsIndexRecords = false; // the ranges are index records; another
                                   // fetch reads the data they point to
  std::vector<FetchedRange> mRanges;
  size_t mOpenReads = 0;
  bool mFailed = false;
};

// A ReadBlob in flight. It covers the ranges [mFirst, mFirst + mCount) of its
// fetch.
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

// Appends the reads that the fetch needs to aReads and returns the number of
// the fetch.
uint64_t
StartFetch(BlobFetches& aFetches,
           BlobFetch aFetch,
           std::vector<ReadBlob>& aReads);

// Stores the bytes of a completed read. After the last read of a fetch, removes
// the fetch from aFetches and returns it.
std::optional<BlobFetch>
FinishRead(BlobFetches& aFetches, const BlobRead& aRead);

} // namespace caraway
