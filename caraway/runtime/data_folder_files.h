#pragma once
// Internal: RAII file descriptors, and file operations that return a status.

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"

namespace caraway {

// A change that is about to be made on disk.
struct FileChange
{
  enum class Kind : uint8_t
  {
    eCreate,
    eWrite,
    eTruncate,
    eSync,
    eSyncFolder,
    eRename,
    eRemove,
  };

  Kind mKind = Kind::eCreate;
  std::string_view mPath;
  std::string_view mTo;    // eRename
  uint64_t mOffset = 0;    // eWrite; eTruncate: the new length
  std::string_view mBytes; // eWrite
};

// For tests that record or refuse changes: called before each one; a returned
// status replaces the change. May be empty.
using FileWatch = std::function<std::optional<absl::Status>(const FileChange&)>;

class FileDescriptor
{
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }
  FileDescriptor(FileDescriptor&& aOther) noexcept
    : mDescriptor(std::exchange(aOther.mDescriptor, -1))
  {
  }
  FileDescriptor& operator=(FileDescriptor&& aOther) noexcept
  {
    std::swap(mDescriptor, aOther.mDescriptor);
    return *this;
  }
  ~FileDescriptor();

  int Value() const { return mDescriptor; }
  bool IsOpen() const { return mDescriptor >= 0; }

private:
  int mDescriptor = -1;
};

// An error with the message for errno: eDiskFailed if it can pass by itself,
// else eUnavailable. aWhat: the operation that failed, such as "reading".
absl::Status
DiskError(std::string_view aWhat, const std::string& aPath);

// Without O_CREAT; aFlags as for open(2). eNotFound if the file does not exist.
absl::StatusOr<FileDescriptor>
OpenFile(const std::string& aPath, int aFlags);

// An empty file, open for reading and writing; an existing one loses its bytes.
absl::StatusOr<FileDescriptor>
CreateFile(const FileWatch& aWatch, const std::string& aPath);

absl::Status
WriteAt(const FileWatch& aWatch,
        const FileDescriptor& aFile,
        const std::string& aPath,
        uint64_t aOffset,
        std::string_view aBytes);

absl::Status
TruncateAt(const FileWatch& aWatch,
           const FileDescriptor& aFile,
           const std::string& aPath,
           uint64_t aLength);

// Returns fewer bytes at the end of the file.
absl::StatusOr<std::string>
ReadAt(const FileDescriptor& aFile,
       const std::string& aPath,
       uint64_t aOffset,
       uint64_t aLength);

absl::StatusOr<uint64_t>
SizeOf(const FileDescriptor& aFile, const std::string& aPath);

absl::StatusOr<std::string>
ReadWholeFile(const std::string& aPath);

absl::Status
SyncData(const FileWatch& aWatch,
         const FileDescriptor& aFile,
         const std::string& aPath);

// Syncs of the same files from more than one thread. The kernel reports an
// error to one of them only, and the next sync of the file succeeds although
// the bytes are lost: after a failure all of these fail. Any thread may use it.
class SharedSyncs
{
public:
  absl::Status SyncFile(const FileWatch& aWatch,
                        const FileDescriptor& aFile,
                        const std::string& aPath);
  absl::Status SyncNames(const FileWatch& aWatch, const std::string& aFolder);
  absl::Status Failure();

private:
  std::mutex mMutex;     // also held during a sync
  absl::Status mFailure; // the first one
};

// Makes file creations, renames and removals in the folder durable.
absl::Status
SyncFolder(const FileWatch& aWatch, const std::string& aPath);

// Replaces a file of the new name.
absl::Status
RenameFile(const FileWatch& aWatch,
           const std::string& aFrom,
           const std::string& aTo);

// Replaces the file atomically and durably: writes aName.tmp, syncs it, renames
// it to aName and syncs the folder.
absl::Status
ReplaceFile(const FileWatch& aWatch,
            const std::string& aFolder,
            const std::string& aName,
            std::string_view aBytes);

// Succeeds if the file does not exist.
absl::Status
RemoveFile(const FileWatch& aWatch, const std::string& aPath);

// Names of the regular files in the folder, sorted.
absl::StatusOr<std::vector<std::string>>
ListFiles(const std::string& aPath);

} // namespace caraway
