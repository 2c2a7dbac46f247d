// In-memory disk of a control replica.

#include "fuzz/fleet/memory_disk.h"

#include <algorithm>

namespace caraway::fleet {

namespace {

void
ApplyWrite(RaftRecovered& aDurable, const RaftWrite& aWrite)
{
  if (aWrite.mHard) {
    aDurable.mHard = *aWrite.mHard;
  }
  if (!aWrite.mTruncateFrom.IsNone()) {
    std::erase_if(aDurable.mEntries, [&](const LogEntry& aEntry) {
      return aEntry.mIndex >= aWrite.mTruncateFrom;
    });
  }
  for (const LogEntry& entry : aWrite.mAppend) {
    aDurable.mEntries.push_back(entry);
  }
}

void
DropCovered(RaftRecovered& aDurable)
{
  std::erase_if(aDurable.mEntries, [&](const LogEntry& aEntry) {
    return aEntry.mIndex <= aDurable.mSnapshot.mIndex;
  });
}

} // namespace

void
SyncDisk(MemoryDisk& aDisk, uint64_t aWrite)
{
  while (!aDisk.mUnsynced.empty() && aDisk.mUnsynced[0].mWrite <= aWrite) {
    ApplyWrite(aDisk.mDurable, aDisk.mUnsynced[0]);
    aDisk.mUnsynced.erase(aDisk.mUnsynced.begin());
  }
}

void
CrashDisk(MemoryDisk& aDisk)
{
  aDisk.mUnsynced.clear();
  aDisk.mBlobs = aDisk.mDurableBlobs;
  aDisk.mIncoming.clear();
  aDisk.mIncomingIndex = {};
}

void
SaveToDisk(MemoryDisk& aDisk, const SnapshotMark& aMark, std::string aState)
{
  (*aDisk.mMarks)[aMark.mIndex] = aMark;
  aDisk.mDurableBlobs = aDisk.mBlobs;
  aDisk.mState = std::move(aState);
  aDisk.mDurable.mSnapshot = aMark;
  DropCovered(aDisk.mDurable);
}

std::string
ReadBlobBytes(const MemoryDisk& aDisk, const ReadBlob& aRead)
{
  const auto blob = aDisk.mBlobs.find(aRead.mName);
  if (blob == aDisk.mBlobs.end() || aRead.mOffset >= blob->second.size()) {
    return {};
  }
  return blob->second.substr(aRead.mOffset, aRead.mLength);
}

void
WriteBlobBytes(MemoryDisk& aDisk, const WriteBlob& aWrite)
{
  std::string& blob = aDisk.mBlobs[aWrite.mName];
  const size_t end = aWrite.mOffset + aWrite.mBytes.size();
  blob.resize(std::max(blob.size(), end));
  blob.replace(aWrite.mOffset, aWrite.mBytes.size(), aWrite.mBytes);
}

SnapshotPartRead
ReadSnapshotFile(const MemoryDisk& aDisk, const RaftReadSnapshotPart& aRead)
{
  SnapshotPartRead read;
  read.mTo = aRead.mTo;
  SnapshotPart& part = read.mPart;
  part.mLastIndex = aDisk.mDurable.mSnapshot.mIndex;
  part.mLastTerm = aDisk.mDurable.mSnapshot.mTerm;
  part.mFileDone = true;
  // Files in the order of transfer: blobs by name, then the state.
  std::vector<std::pair<std::string, std::string>> files(
    aDisk.mDurableBlobs.begin(), aDisk.mDurableBlobs.end());
  files.emplace_back("state", aDisk.mState);
  size_t at = 0;
  for (size_t i = 0; i < files.size() && !aRead.mFile.empty(); ++i) {
    if (files[i].first == aRead.mFile) {
      at = aRead.mOffset == 0 ? i : i + 1;
    }
  }
  at = std::min(at, files.size() - 1);
  part.mAfter = at == 0 ? "" : files[at - 1].first;
  part.mFile = files[at].first;
  part.mBytes = files[at].second;
  part.mAllDone = at + 1 == files.size();
  return read;
}

SnapshotPartStored
StoreSnapshotFile(MemoryDisk& aDisk, const RaftStoreSnapshotPart& aStore)
{
  const SnapshotPart& part = aStore.mPart;
  SnapshotPartStored stored;
  stored.mFrom = aStore.mFrom;
  if (aDisk.mIncomingIndex != part.mLastIndex) {
    if (!part.mAfter.empty()) {
      return stored; // not the first part: request a restart of the transfer
    }
    aDisk.mIncoming.clear();
    aDisk.mIncomingIndex = part.mLastIndex;
  }
  aDisk.mIncoming[part.mFile] = part.mBytes;
  stored.mReply.mLastIndex = part.mLastIndex;
  stored.mReply.mFile = part.mFile;
  stored.mReply.mNextOffset = part.mBytes.size();
  if (!part.mAllDone) {
    return stored;
  }
  stored.mMark = aDisk.mMarks->at(part.mLastIndex);
  stored.mState = part.mBytes;
  aDisk.mIncoming.erase("state");
  aDisk.mBlobs = aDisk.mIncoming;
  aDisk.mDurableBlobs = aDisk.mBlobs;
  aDisk.mState = stored.mState;
  aDisk.mDurable.mSnapshot = stored.mMark;
  DropCovered(aDisk.mDurable);
  aDisk.mIncoming.clear();
  aDisk.mIncomingIndex = {};
  return stored;
}

} // namespace caraway::fleet
