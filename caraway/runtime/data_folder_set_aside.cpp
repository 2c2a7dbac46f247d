// Damaged data of a replica that goes on as an empty one: moved into the
// subfolder `damaged`, which stays as the sign that the replica had data.

#include <cerrno>
#include <filesystem>
#include <system_error>

#include "absl/strings/str_cat.h"
#include "caraway/base/absl_view.h"
#include "caraway/base/error.h"
#include "caraway/runtime/data_folder_state.h"

namespace caraway {

namespace {

constexpr const char* kDamagedFolder = "damaged";
// Exists from before the first file is moved until all of them are.
constexpr const char* kUnfinishedName = "unfinished";

std::string
DamagedPath(const std::string& aFolder)
{
  return absl::StrCat(aFolder, "/", kDamagedFolder);
}

absl::Status
RemoveFiles(const FileWatch& aWatch, const std::string& aFolder)
{
  auto names = ListFiles(aFolder);
  if (!names.ok()) {
    return names.status();
  }
  for (const std::string& name : *names) {
    if (name == kUnfinishedName) {
      continue;
    }
    if (absl::Status status =
          RemoveFile(aWatch, absl::StrCat(aFolder, "/", name));
        !status.ok()) {
      return status;
    }
  }
  return SyncFolder(aWatch, aFolder);
}

absl::Status
RemoveKept(const FileWatch& aWatch, const std::string& aFolder)
{
  const std::string damaged = DamagedPath(aFolder);
  const absl::Status status =
    RemoveFiles(aWatch, absl::StrCat(damaged, "/blobs"));
  return status.ok() ? RemoveFiles(aWatch, damaged) : status;
}

// Makes the subfolder, without an older copy, and marks it as unfinished. Keeps
// what was moved before a power loss.
absl::Status
BeginMove(const FileWatch& aWatch, const std::string& aFolder)
{
  const std::string damaged = DamagedPath(aFolder);
  std::error_code error;
  std::filesystem::create_directories(absl::StrCat(damaged, "/blobs"), error);
  const std::string unfinished = absl::StrCat(damaged, "/", kUnfinishedName);
  if (!error && std::filesystem::exists(unfinished, error)) {
    return SyncFolder(aWatch, damaged);
  }
  if (error) {
    errno = error.value();
    return DiskError("creating", damaged);
  }
  absl::Status status = SyncFolder(aWatch, aFolder);
  if (status.ok()) {
    status = RemoveKept(aWatch, aFolder);
  }
  if (status.ok()) {
    status = CreateFile(aWatch, unfinished).status();
  }
  return status.ok() ? SyncFolder(aWatch, damaged) : status;
}

absl::Status
MoveFiles(const FileWatch& aWatch,
          const std::string& aFrom,
          const std::string& aTo)
{
  auto names = ListFiles(aFrom);
  if (!names.ok()) {
    return names.status();
  }
  for (const std::string& name : *names) {
    if (name == kLockFileName) {
      continue;
    }
    if (absl::Status status = RenameFile(
          aWatch, absl::StrCat(aFrom, "/", name), absl::StrCat(aTo, "/", name));
        !status.ok()) {
      return status;
    }
  }
  const absl::Status status = SyncFolder(aWatch, aTo);
  return status.ok() ? SyncFolder(aWatch, aFrom) : status;
}

} // namespace

absl::Status
CheckSetAside(DataFolderState& aState)
{
  const std::string damaged = DamagedPath(aState.mPath);
  std::error_code error;
  aState.mReport.mSetAside = std::filesystem::exists(damaged, error);
  if (!error && std::filesystem::exists(
                  absl::StrCat(damaged, "/", kUnfinishedName), error)) {
    return MakeError(ErrorKind::eCorruptData,
                     StdView(absl::StrCat(
                       damaged, " holds a part of the data of this replica")),
                     "move the rest of the data there as well");
  }
  if (error) {
    errno = error.value();
    return DiskError("reading", damaged);
  }
  return absl::OkStatus();
}

absl::StatusOr<std::string>
DataFolder::SetAside(const std::string& aPath,
                     const DataFolderSettings& aSettings)
{
  DataFolderState state;
  state.mPath = aPath;
  absl::Status status = AcquireLock(state);
  if (!status.ok()) {
    return status;
  }
  const FileWatch& watch = aSettings.mWatch;
  const std::string damaged = DamagedPath(aPath);
  status = BeginMove(watch, aPath);
  if (status.ok()) {
    status = MoveFiles(watch, aPath, damaged);
  }
  if (status.ok()) {
    status = MoveFiles(
      watch, absl::StrCat(aPath, "/blobs"), absl::StrCat(damaged, "/blobs"));
  }
  if (status.ok()) {
    status = RemoveFile(watch, absl::StrCat(damaged, "/", kUnfinishedName));
  }
  if (status.ok()) {
    status = SyncFolder(watch, damaged);
  }
  return status.ok() ? absl::StatusOr<std::string>(damaged) : status;
}

absl::Status
DataFolder::RemoveSetAside(const std::string& aPath)
{
  std::error_code error;
  return std::filesystem::exists(DamagedPath(aPath), error)
           ? RemoveKept({}, aPath)
           : absl::OkStatus();
}

} // namespace caraway
