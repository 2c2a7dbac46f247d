// The receiving side of a snapshot transfer.

#include <filesystem>

#include <fcntl.h>

#include "absl/strings/str_cat.h"
#include "caraway/base/error.h"
#include "caraway/consensus/log_codec.h"
#include "caraway/runtime/data_folder_state.h"

namespace caraway {

namespace {

constexpr const char* kPartName = "snap.part";

std::string
PartPath(const DataFolderState& aState)
{
  return aState.mPath + "/" + kPartName;
}

bool
IsSameSnapshot(const IncomingSnapshot& aIncoming, const SnapshotPart& aPart)
{
  return !aIncoming.mIndex.IsNone() && aIncoming.mIndex == aPart.mLastIndex &&
         aIncoming.mTerm == aPart.mLastTerm;
}

// True if the part continues the transfer. Starts a new transfer if it is the
// first part of another snapshot.
bool
IsNextPart(DataFolderState& aState, const SnapshotPart& aPart)
{
  IncomingSnapshot& incoming = aState.mIncoming;
  if (!IsSameSnapshot(incoming, aPart)) {
    if (aPart.mOffset != 0 || !aPart.mAfter.empty()) {
      return false;
    }
    incoming = IncomingSnapshot{};
    incoming.mIndex = aPart.mLastIndex;
    incoming.mTerm = aPart.mLastTerm;
    return true;
  }
  if (aPart.mFile == incoming.mFile && aPart.mOffset > 0) {
    return aPart.mOffset == incoming.mOffset;
  }
  return aPart.mOffset == 0 &&
         ((incoming.mFileDone && aPart.mAfter == incoming.mFile) ||
          aPart.mAfter == RemovedFileMark(incoming.mFile, incoming.mOffset));
}

absl::Status
WritePart(DataFolderState& aState, const SnapshotPart& aPart)
{
  if (aPart.mFile != "state") {
    aState.mIncoming.mBlobs.insert(aPart.mFile);
    return WriteBlobBytes(aState, aPart.mFile, aPart.mOffset, aPart.mBytes);
  }
  const FileWatch& watch = aState.mSettings.mWatch;
  auto file = aPart.mOffset == 0 ? CreateFile(watch, PartPath(aState))
                                 : OpenFile(PartPath(aState), O_RDWR);
  if (!file.ok()) {
    return file.status();
  }
  return WriteAt(watch, *file, PartPath(aState), aPart.mOffset, aPart.mBytes);
}

// Removes blobs that the snapshot does not contain: the commands that removed
// them are covered by the snapshot, so this replica never applies them.
absl::Status
RemoveUnreferencedBlobs(DataFolderState& aState)
{
  // Copied, since removing a blob changes it.
  const std::set<std::string> names = aState.mBlobNames;
  for (const std::string& name : names) {
    if (aState.mIncoming.mBlobs.contains(name)) {
      continue;
    }
    if (absl::Status status = RemoveBlobFile(aState, name); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

// Installs the snapshot after its last part. Sets no mark in aStored if the
// received file is invalid.
absl::Status
InstallReceivedSnapshot(DataFolderState& aState, StoredSnapshotPart& aStored)
{
  auto bytes = ReadWholeFile(PartPath(aState));
  if (!bytes.ok()) {
    return bytes.status();
  }
  auto contents = DecodeSnapshotFile(*bytes, kPartName);
  if (!contents.ok() || contents->mMark.mIndex != aState.mIncoming.mIndex) {
    // Parts from two senders may not match; restart the transfer.
    aState.mIncoming = IncomingSnapshot{};
    return absl::OkStatus();
  }
  absl::Status status = SyncBlobs(aState);
  if (status.ok()) {
    status = ReplaceFile(aState.mSettings.mWatch,
                         aState.mPath,
                         SnapshotName(contents->mMark.mIndex),
                         *bytes);
  }
  if (status.ok()) {
    status = UseSnapshot(aState, contents->mMark);
  }
  if (status.ok()) {
    status = RemoveUnreferencedBlobs(aState);
  }
  if (status.ok()) {
    status = RemoveFile(aState.mSettings.mWatch, PartPath(aState));
  }
  aState.mIncoming = IncomingSnapshot{};
  aStored.mMark = std::move(contents->mMark);
  aStored.mState = std::move(contents->mState);
  return status;
}

} // namespace

std::string
RemovedFileMark(const std::string& aFile, uint64_t aOffset)
{
  return absl::StrCat(aFile, ":", aOffset);
}

absl::StatusOr<StoredSnapshotPart>
StorePart(DataFolderState& aState, const SnapshotPart& aPart)
{
  StoredSnapshotPart stored;
  stored.mReply.mLastIndex = aPart.mLastIndex;
  IncomingSnapshot& incoming = aState.mIncoming;
  if (IsNextPart(aState, aPart)) {
    if (absl::Status status = WritePart(aState, aPart); !status.ok()) {
      return status;
    }
    incoming.mFile = aPart.mFile;
    incoming.mOffset = aPart.mOffset + aPart.mBytes.size();
    incoming.mFileDone = aPart.mFileDone;
    if (aPart.mAllDone) {
      if (absl::Status status = InstallReceivedSnapshot(aState, stored);
          !status.ok()) {
        return status;
      }
      stored.mReply.mInstalled = !stored.mMark.mIndex.IsNone();
    }
  }
  if (IsSameSnapshot(incoming, aPart)) {
    stored.mReply.mFile = incoming.mFile;
    stored.mReply.mNextOffset = incoming.mOffset;
  }
  return stored;
}

} // namespace caraway
