// Snapshots: storing them, and reading their parts for a transfer.

#include <fcntl.h>

#include "caraway/base/error.h"
#include "caraway/consensus/log_codec.h"
#include "caraway/runtime/data_folder_state.h"

namespace caraway {

absl::Status
UseSnapshot(DataFolderState& aState, const SnapshotMark& aMark)
{
  const LogIndex previous = aState.mSnapshot.mIndex;
  aState.mSnapshot = aMark;
  if (!previous.IsNone() && previous != aMark.mIndex) {
    if (absl::Status status = RemoveFile(
          aState.mSettings.mWatch, aState.mPath + "/" + SnapshotName(previous));
        !status.ok()) {
      return status;
    }
  }
  return DropCoveredLog(aState);
}

namespace {

// Reads the part at aPart.mOffset; false if that is the end of the file.
absl::StatusOr<bool>
FillPart(DataFolderState& aState,
         const FileDescriptor& aFile,
         const std::string& aPath,
         SnapshotPart& aPart)
{
  auto size = SizeOf(aFile, aPath);
  if (!size.ok()) {
    return size.status();
  }
  auto bytes = ReadAt(aFile, aPath, aPart.mOffset, aState.mSettings.mPartBytes);
  if (!bytes.ok()) {
    return bytes.status();
  }
  aPart.mBytes = *std::move(bytes);
  aPart.mFileDone = aPart.mOffset + aPart.mBytes.size() >= *size;
  return !aPart.mBytes.empty() || aPart.mOffset == 0;
}

// Also false if the blob was removed. Leaves the cache of open blobs as it is:
// a blob that leaves it is synced, and a transfer opens all of them.
absl::StatusOr<bool>
FillBlobPart(DataFolderState& aState, SnapshotPart& aPart)
{
  const std::string path = BlobFolder(aState) + "/" + aPart.mFile;
  auto file = OpenFile(path, O_RDONLY);
  if (!file.ok()) {
    if (KindOf(file.status()) == ErrorKind::eNotFound) {
      return false;
    }
    return file.status();
  }
  return FillPart(aState, *file, path, aPart);
}

absl::StatusOr<SnapshotPart>
FillStatePart(DataFolderState& aState, SnapshotPart aPart)
{
  const std::string path =
    aState.mPath + "/" + SnapshotName(aState.mSnapshot.mIndex);
  auto file = OpenFile(path, O_RDONLY);
  if (!file.ok()) {
    return file.status();
  }
  auto filled = FillPart(aState, *file, path, aPart);
  if (!filled.ok()) {
    return filled.status();
  }
  aPart.mAllDone = aPart.mFileDone;
  return aPart;
}

// The first part of the file after aPart.mFile.
absl::StatusOr<SnapshotPart>
FillNextFile(DataFolderState& aState, SnapshotPart aPart)
{
  aPart.mAfter = aPart.mFile;
  aPart.mOffset = 0;
  // A listing of the folder for each file would take longer the more there are.
  const auto& names = aState.mBlobNames;
  for (auto at = names.upper_bound(aPart.mAfter); at != names.end(); ++at) {
    aPart.mFile = *at;
    auto filled = FillBlobPart(aState, aPart);
    if (!filled.ok()) {
      return filled.status();
    }
    if (*filled) {
      return aPart;
    }
  }
  aPart.mFile = "state";
  return FillStatePart(aState, std::move(aPart));
}

} // namespace

absl::StatusOr<SnapshotPart>
DataFolder::ReadSnapshotPart(const std::string& aFile, uint64_t aOffset)
{
  if (mState->mSnapshot.mIndex.IsNone()) {
    return MakeError(ErrorKind::eNotFound,
                     "no snapshot has been saved yet",
                     "retry after the first snapshot");
  }
  SnapshotPart part;
  part.mLastIndex = mState->mSnapshot.mIndex;
  part.mLastTerm = mState->mSnapshot.mTerm;
  part.mFile = aFile;
  part.mOffset = aOffset;
  if (aFile == "state") {
    return FillStatePart(*mState, std::move(part));
  }
  if (!aFile.empty()) {
    if (absl::Status status = CheckBlobName(aFile); !status.ok()) {
      return status;
    }
    // At the end of the file, or if it is empty (offset 0), the next file
    // follows.
    if (aOffset > 0) {
      auto filled = FillBlobPart(*mState, part);
      if (!filled.ok()) {
        return filled.status();
      }
      if (*filled) {
        return part;
      }
    }
  }
  const bool removed = aOffset > 0 && !mState->mBlobNames.contains(aFile);
  auto next = FillNextFile(*mState, std::move(part));
  if (next.ok() && removed) {
    next->mAfter = RemovedFileMark(aFile, aOffset);
  }
  return next;
}

} // namespace caraway
