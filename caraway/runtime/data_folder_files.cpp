// File operations that return a status.

#include "caraway/runtime/data_folder_files.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "caraway/base/absl_view.h"
#include "caraway/base/error.h"

namespace caraway {

namespace {

// Errors that pass when the disk has room again or answers again. Others, such
// as a missing permission or too many open files, are not for waiting.
bool
IsStorageTrouble(int aError)
{
  return aError == ENOSPC || aError == EDQUOT || aError == EIO ||
         aError == EFBIG || aError == EROFS;
}

std::optional<absl::Status>
Announce(const FileWatch& aWatch, const FileChange& aChange)
{
  return aWatch ? aWatch(aChange) : std::nullopt;
}

} // namespace

FileDescriptor::~FileDescriptor()
{
  if (mDescriptor >= 0) {
    ::close(mDescriptor);
  }
}

absl::Status
DiskError(std::string_view aWhat, const std::string& aPath)
{
  const int error = errno;
  return MakeError(
    IsStorageTrouble(error) ? ErrorKind::eDiskFailed : ErrorKind::eUnavailable,
    StdView(absl::StrCat(AbslView(aWhat),
                         " ",
                         aPath,
                         " failed: ",
                         std::generic_category().message(error))),
    "free space or replace the disk");
}

absl::StatusOr<FileDescriptor>
OpenFile(const std::string& aPath, int aFlags)
{
  const int descriptor = ::open(aPath.c_str(), aFlags | O_CLOEXEC, 0640);
  if (descriptor < 0) {
    if (errno == ENOENT) {
      return MakeError(ErrorKind::eNotFound,
                       StdView(absl::StrCat(aPath, " does not exist")),
                       "check the path");
    }
    return DiskError("opening", aPath);
  }
  return FileDescriptor(descriptor);
}

absl::StatusOr<FileDescriptor>
CreateFile(const FileWatch& aWatch, const std::string& aPath)
{
  if (auto instead =
        Announce(aWatch, { FileChange::Kind::eCreate, aPath, {}, 0, {} });
      instead && !instead->ok()) {
    return *instead;
  }
  return OpenFile(aPath, O_RDWR | O_CREAT | O_TRUNC);
}

absl::Status
WriteAt(const FileWatch& aWatch,
        const FileDescriptor& aFile,
        const std::string& aPath,
        uint64_t aOffset,
        std::string_view aBytes)
{
  if (auto instead = Announce(
        aWatch, { FileChange::Kind::eWrite, aPath, {}, aOffset, aBytes })) {
    return *instead;
  }
  while (!aBytes.empty()) {
    const ssize_t count = ::pwrite(
      aFile.Value(), aBytes.data(), aBytes.size(), static_cast<off_t>(aOffset));
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return DiskError("writing", aPath);
    }
    aBytes.remove_prefix(static_cast<size_t>(count));
    aOffset += static_cast<uint64_t>(count);
  }
  return absl::OkStatus();
}

absl::Status
TruncateAt(const FileWatch& aWatch,
           const FileDescriptor& aFile,
           const std::string& aPath,
           uint64_t aLength)
{
  if (auto instead = Announce(
        aWatch, { FileChange::Kind::eTruncate, aPath, {}, aLength, {} })) {
    return *instead;
  }
  if (::ftruncate(aFile.Value(), static_cast<off_t>(aLength)) != 0) {
    return DiskError("truncating", aPath);
  }
  return absl::OkStatus();
}

absl::StatusOr<std::string>
ReadAt(const FileDescriptor& aFile,
       const std::string& aPath,
       uint64_t aOffset,
       uint64_t aLength)
{
  std::string out(aLength, '\0');
  size_t held = 0;
  while (held < out.size()) {
    const ssize_t count = ::pread(aFile.Value(),
                                  out.data() + held,
                                  out.size() - held,
                                  static_cast<off_t>(aOffset + held));
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return DiskError("reading", aPath);
    }
    if (count == 0) {
      break;
    }
    held += static_cast<size_t>(count);
  }
  out.resize(held);
  return out;
}

absl::StatusOr<uint64_t>
SizeOf(const FileDescriptor& aFile, const std::string& aPath)
{
  struct stat status = {};
  if (::fstat(aFile.Value(), &status) != 0) {
    return DiskError("reading the size of", aPath);
  }
  return static_cast<uint64_t>(status.st_size);
}

absl::StatusOr<std::string>
ReadWholeFile(const std::string& aPath)
{
  auto file = OpenFile(aPath, O_RDONLY);
  if (!file.ok()) {
    return file.status();
  }
  auto size = SizeOf(*file, aPath);
  if (!size.ok()) {
    return size.status();
  }
  return ReadAt(*file, aPath, 0, *size);
}

absl::Status
SyncData(const FileWatch& aWatch,
         const FileDescriptor& aFile,
         const std::string& aPath)
{
  if (auto instead =
        Announce(aWatch, { FileChange::Kind::eSync, aPath, {}, 0, {} })) {
    return *instead;
  }
  if (::fdatasync(aFile.Value()) != 0) {
    return DiskError("syncing", aPath);
  }
  return absl::OkStatus();
}

absl::Status
SyncFolder(const FileWatch& aWatch, const std::string& aPath)
{
  if (auto instead =
        Announce(aWatch, { FileChange::Kind::eSyncFolder, aPath, {}, 0, {} })) {
    return *instead;
  }
  auto folder = OpenFile(aPath, O_RDONLY | O_DIRECTORY);
  if (!folder.ok()) {
    return folder.status();
  }
  if (::fsync(folder->Value()) != 0) {
    return DiskError("syncing", aPath);
  }
  return absl::OkStatus();
}

absl::Status
SharedSyncs::SyncFile(const FileWatch& aWatch,
                      const FileDescriptor& aFile,
                      const std::string& aPath)
{
  const std::lock_guard lock(mMutex);
  if (mFailure.ok()) {
    mFailure = SyncData(aWatch, aFile, aPath);
  }
  return mFailure;
}

absl::Status
SharedSyncs::SyncNames(const FileWatch& aWatch, const std::string& aFolder)
{
  const std::lock_guard lock(mMutex);
  if (mFailure.ok()) {
    mFailure = SyncFolder(aWatch, aFolder);
  }
  return mFailure;
}

absl::Status
SharedSyncs::Failure()
{
  const std::lock_guard lock(mMutex);
  return mFailure;
}

absl::Status
RenameFile(const FileWatch& aWatch,
           const std::string& aFrom,
           const std::string& aTo)
{
  if (auto instead =
        Announce(aWatch, { FileChange::Kind::eRename, aFrom, aTo, 0, {} })) {
    return *instead;
  }
  return ::rename(aFrom.c_str(), aTo.c_str()) == 0
           ? absl::OkStatus()
           : DiskError("renaming", aFrom);
}

absl::Status
ReplaceFile(const FileWatch& aWatch,
            const std::string& aFolder,
            const std::string& aName,
            std::string_view aBytes)
{
  const std::string path = aFolder + "/" + aName;
  const std::string temporary = path + ".tmp";
  auto file = CreateFile(aWatch, temporary);
  if (!file.ok()) {
    return file.status();
  }
  absl::Status status = WriteAt(aWatch, *file, temporary, 0, aBytes);
  if (status.ok()) {
    status = SyncData(aWatch, *file, temporary);
  }
  if (status.ok()) {
    status = RenameFile(aWatch, temporary, path);
  }
  if (!status.ok()) {
    // A full disk needs the space.
    RemoveFile(aWatch, temporary).IgnoreError();
    return status;
  }
  return SyncFolder(aWatch, aFolder);
}

absl::Status
RemoveFile(const FileWatch& aWatch, const std::string& aPath)
{
  if (auto instead =
        Announce(aWatch, { FileChange::Kind::eRemove, aPath, {}, 0, {} })) {
    return *instead;
  }
  if (::unlink(aPath.c_str()) != 0 && errno != ENOENT) {
    return DiskError("removing", aPath);
  }
  return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>>
ListFiles(const std::string& aPath)
{
  std::error_code error;
  std::vector<std::string> names;
  std::filesystem::directory_iterator at(aPath, error);
  const std::filesystem::directory_iterator end;
  while (!error && at != end) {
    if (at->is_regular_file(error)) {
      names.push_back(at->path().filename().string());
    }
    if (!error) {
      at.increment(error);
    }
  }
  if (error) {
    errno = error.value();
    return DiskError("listing", aPath);
  }
  std::sort(names.begin(), names.end());
  return names;
}

} // namespace caraway
