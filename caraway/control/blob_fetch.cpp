// Merges adjacent ranges into reads and splits the bytes read by range.

#include "caraway/control/blob_fetch.h"

#include <algorithm>

namespace caraway {

namespace {

constexpr uint64_t kMaxReadBytes = 1 << 20;

// Number of ranges from aFirst on that are adjacent in one blob and fit into
// one read.
size_t
CountAdjacentRanges(const std::vector<FetchedRange>& aRanges, size_t aFirst)
{
  uint64_t bytes = aRanges[aFirst].mRange.mLength;
  size_t count = 1;
  for (; aFirst + count < aRanges.size(); ++count) {
    const BlobRange& last = aRanges[aFirst + count - 1].mRange;
    const BlobRange& next = aRanges[aFirst + count].mRange;
    bytes += next.mLength;
    if (next.mName != last.mName ||
        next.mOffset != last.mOffset + last.mLength || bytes > kMaxReadBytes) {
      break;
    }
  }
  return count;
}

} // namespace

uint64_t
StartFetch(BlobFetches& aFetches,
           BlobFetch aFetch,
           std::vector<ReadBlob>& aReads)
{
  const uint64_t number = ++aFetches.mLastFetch;
  for (size_t first = 0; first < aFetch.mRanges.size();) {
    const size_t count = CountAdjacentRanges(aFetch.mRanges, first);
    const BlobRange& from = aFetch.mRanges[first].mRange;
    const BlobRange& last = aFetch.mRanges[first + count - 1].mRange;
    ReadBlob read;
    read.mRead = ++aFetches.mLastRead;
    read.mName = from.mName;
    read.mOffset = from.mOffset;
    read.mLength =
      static_cast<uint32_t>(last.mOffset + last.mLength - from.mOffset);
    aFetches.mReads[read.mRead] = { number, first, count };
    aReads.push_back(std::move(read));
    ++aFetch.mOpenReads;
    first += count;
  }
  aFetches.mFetches.emplace(number, std::move(aFetch));
  return number;
}

std::optional<BlobFetch>
FinishRead(BlobFetches& aFetches, const BlobRead& aRead)
{
  auto open = aFetches.mReads.find(aRead.mRead);
  if (open == aFetches.mReads.end()) {
    return std::nullopt;
  }
  const OpenRead read = open->second;
  aFetches.mReads.erase(open);
  auto found = aFetches.mFetches.find(read.mFetch);
  if (found == aFetches.mFetches.end()) {
    return std::nullopt;
  }
  BlobFetch& fetch = found->second;
  size_t at = 0;
  for (size_t range = read.mFirst; range < read.mFirst + read.mCount; ++range) {
    FetchedRange& part = fetch.mRanges[range];
    // Fewer bytes at the end of the blob, none beyond it.
    at = std::min(at, aRead.mBytes.size());
    part.mBytes = aRead.mBytes.substr(at, part.mRange.mLength);
    at += part.mRange.mLength;
  }
  fetch.mFailed = fetch.mFailed || !aRead.mOk;
  if (--fetch.mOpenReads > 0) {
    return std::nullopt;
  }
  BlobFetch done = std::move(fetch);
  aFetches.mFetches.erase(found);
  return done;
}

} // namespace caraway
