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
  return SyncData(
    aState.mSettings.mWatch, aBlob.mFile, BlobPath(aState, aBlob.mName));
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

absl::StatusOr<FileDescriptor*>
OpenBlob(DataFolderState& aState, const std::string& aName, bool aCreate)
{
  auto& cache = aState.mBlobs;
  const auto found =
    std::find_if(cache.begin(), cache.end(), [&](const CachedBlob& aBlob) {
      return aBlob.mName == aName;
    });
  if (found != cache.end()) {
    cache.splice(cache.begin(), cache, found);
    return &cache.front().mFile;
  }
  auto file = OpenFile(BlobPath(aState, aName), O_RDWR);
  if (!file.ok() && KindOf(file.status()) == ErrorKind::eNotFound && aCreate) {
    file = CreateFile(aState.mSettings.mWatch, BlobPath(aState, aName));
    aState.mBlobFolderDirty = true;
  }
  if (!file.ok()) {
    return file.status();
  }
  cache.push_front({ aName, *std::move(file) });
  if (cache.size() > aState.mSettings.mMaxOpenBlobs) {
    // Sync before closing: if a later write-back fails, a descriptor that is
    // opened afterwards may not get the error.
    const absl::Status status = SyncBlob(aState, cache.back());
    cache.pop_back();
    if (!status.ok()) {
      return RecordFirstFailure(aState, status);
    }
  }
  return &cache.front().mFile;
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
  aState.mDirtyBlobs.insert(aName);
  return WriteAt(
    aState.mSettings.mWatch, **file, BlobPath(aState, aName), aOffset, aBytes);
}

absl::Status
RemoveBlobFile(DataFolderState& aState, const std::string& aName)
{
  std::erase_if(aState.mBlobs,
                [&](const CachedBlob& aBlob) { return aBlob.mName == aName; });
  aState.mDirtyBlobs.erase(aName);
  aState.mBlobFolderDirty = true;
  return RemoveFile(aState.mSettings.mWatch, BlobPath(aState, aName));
}

absl::Status
SyncBlobs(DataFolderState& aState)
{
  // All dirty blobs are in the cache, since eviction syncs them.
  for (const CachedBlob& blob : aState.mBlobs) {
    if (absl::Status status = SyncBlob(aState, blob); !status.ok()) {
      return status;
    }
  }
  if (!std::exchange(aState.mBlobFolderDirty, false)) {
    return absl::OkStatus();
  }
  return SyncFolder(aState.mSettings.mWatch, BlobFolder(aState));
}

} // namespace caraway
