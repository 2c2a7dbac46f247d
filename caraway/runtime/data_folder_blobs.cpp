// Blob files, with an LRU cache of open descriptors.

#include <algorithm>
#include <cctype>

#include <fcntl.h>

#include "absl/strings/str_cat.h"
#include "caraway/base/absl_view.h"
#include "caraway/base/error.h"
#include "caraway/runtime/data_folder_state.h"

namespace caraway {

namespace {

constexpr size_t kMaxBlobName = 200;

std::string
BlobPath(const DataFolderState& aState, const std::string& aName)
{
  return BlobFolder(aState) + "/" + aName;
}

absl::Status
SyncBlob(DataFolderState& aState, const CachedBlob& aBlob)
{
  if (aState.mDirtyBlobs.erase(aBlob.mName) == 0) {
    return absl::OkStatus();
  }
  return aState.mBlobSyncs->SyncFile(
    aState.mSettings.mWatch, *aBlob.mFile, BlobPath(aState, aBlob.mName));
}

} // namespace

std::string
BlobFolder(const DataFolderState& aState)
{
  return aState.mPath + "/blobs";
}

absl::Status
CheckBlobName(const std::string& aName)
{
  const bool sound =
    !aName.empty() && aName.size() <= kMaxBlobName && aName[0] != '.' &&
    aName != "state" &&
    std::all_of(aName.begin(), aName.end(), [](unsigned char aCharacter) {
      return std::isalnum(aCharacter) != 0 || aCharacter == '-' ||
             aCharacter == '_' || aCharacter == '.';
    });
  if (sound) {
    return absl::OkStatus();
  }
  return MakeError(
    ErrorKind::eInvalidArgument,
    StdView(absl::StrCat("invalid blob name '", aName, "'")),
    "use 1 to 200 letters, digits, '-', '_' and '.', without a leading dot");
}

absl::StatusOr<const FileDescriptor*>
OpenBlob(DataFolderState& aState, const std::string& aName, bool aCreate)
{
  auto& cache = aState.mBlobs;
  const auto found =
    std::find_if(cache.begin(), cache.end(), [&](const CachedBlob& aBlob) {
      return aBlob.mName == aName;
    });
  if (found != cache.end()) {
    cache.splice(cache.begin(), cache, found);
    return cache.front().mFile.get();
  }
  auto file = OpenFile(BlobPath(aState, aName), O_RDWR);
  if (!file.ok() && KindOf(file.status()) == ErrorKind::eNotFound && aCreate) {
    file = CreateFile(aState.mSettings.mWatch, BlobPath(aState, aName));
    aState.mBlobNames.insert(aName);
    ++aState.mBlobChanges.mMade;
  }
  if (!file.ok()) {
    return file.status();
  }
  cache.push_front(
    { aName, std::make_shared<const FileDescriptor>(*std::move(file)) });
  if (cache.size() > aState.mSettings.mMaxOpenBlobs) {
    // Sync before closing: if a later write-back fails, a descriptor that is
    // opened afterwards may not get the error.
    const absl::Status status = SyncBlob(aState, cache.back());
    cache.pop_back();
    if (!status.ok()) {
      return RecordFirstFailure(aState, status);
    }
  }
  return cache.front().mFile.get();
}

absl::Status
WriteBlobBytes(DataFolderState& aState,
               const std::string& aName,
               uint64_t aOffset,
               std::string_view aBytes)
{
  auto file = OpenBlob(aState, aName, true);
  if (!file.ok()) {
    return file.status();
  }
  aState.mDirtyBlobs[aName] = ++aState.mBlobWrites;
  return WriteAt(
    aState.mSettings.mWatch, **file, BlobPath(aState, aName), aOffset, aBytes);
}

absl::Status
RemoveBlobFile(DataFolderState& aState, const std::string& aName)
{
  std::erase_if(aState.mBlobs,
                [&](const CachedBlob& aBlob) { return aBlob.mName == aName; });
  aState.mDirtyBlobs.erase(aName);
  aState.mBlobNames.erase(aName);
  ++aState.mBlobChanges.mMade;
  return RemoveFile(aState.mSettings.mWatch, BlobPath(aState, aName));
}

PendingBlobSync
PrepareBlobSync(const DataFolderState& aState)
{
  PendingBlobSync sync;
  sync.mSyncs = aState.mBlobSyncs;
  sync.mWatch = aState.mSettings.mWatch;
  // All dirty blobs are in the cache, since eviction syncs them.
  for (const CachedBlob& blob : aState.mBlobs) {
    const auto dirty = aState.mDirtyBlobs.find(blob.mName);
    if (dirty != aState.mDirtyBlobs.end()) {
      sync.mBlobs.push_back({ blob.mName,
                              BlobPath(aState, blob.mName),
                              blob.mFile,
                              dirty->second });
    }
  }
  if (aState.mBlobChanges.mMade != aState.mBlobChanges.mSynced) {
    sync.mFolder = BlobFolder(aState);
    sync.mFolderChanges = aState.mBlobChanges.mMade;
  }
  return sync;
}

absl::Status
RunPreparedBlobSync(const PendingBlobSync& aSync)
{
  for (const PendingBlobSync::Blob& blob : aSync.mBlobs) {
    if (absl::Status status =
          aSync.mSyncs->SyncFile(aSync.mWatch, *blob.mFile, blob.mPath);
        !status.ok()) {
      return status;
    }
  }
  // A blob that is in no sync any more may have failed one.
  return aSync.mFolder.empty()
           ? aSync.mSyncs->Failure()
           : aSync.mSyncs->SyncNames(aSync.mWatch, aSync.mFolder);
}

void
NoteBlobsSynced(DataFolderState& aState, const PendingBlobSync& aSync)
{
  for (const PendingBlobSync::Blob& blob : aSync.mBlobs) {
    const auto dirty = aState.mDirtyBlobs.find(blob.mName);
    if (dirty != aState.mDirtyBlobs.end() && dirty->second == blob.mWrites) {
      aState.mDirtyBlobs.erase(dirty);
    }
  }
  aState.mBlobChanges.mSynced =
    std::max(aState.mBlobChanges.mSynced, aSync.mFolderChanges);
}

absl::Status
SyncBlobs(DataFolderState& aState)
{
  const PendingBlobSync sync = PrepareBlobSync(aState);
  absl::Status status = RunPreparedBlobSync(sync);
  if (status.ok()) {
    NoteBlobsSynced(aState, sync);
  }
  return status;
}

} // namespace caraway
