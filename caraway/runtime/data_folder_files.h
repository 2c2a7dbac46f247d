#pragma once
// Internal: RAII file descriptors, and file operations that return a status.

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"

namespace caraway {

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

// aFlags as for open(2). eNotFound if the file does not exist.
absl::StatusOr<FileDescriptor>
OpenFile(const std::string& aPath, int aFlags);

absl::Status
WriteAt(const FileDescriptor& aFile,
        const std::string& aPath,
        uint64_t aOffset,
        std::string_view aBytes);

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
SyncData(const FileDescriptor& aFile, const std::string& aPath);

// Makes file creations, renames and removals in the folder durable.
absl::Status
SyncFolder(const std::string& aPath);

// Replaces the file atomically and durably: writes aName.tmp, syncs it, renames
// it to aName and syncs the folder.
absl::Status
ReplaceFile(const std::string& aFolder,
            const std::string& aName,
            std::string_view aBytes);

// Succeeds if the file does not exist.
absl::Status
RemoveFile(const std::string& aPath);

// Names of the regular files in the folder, sorted.
absl::StatusOr<std::vector<std::string>>
ListFiles(const std::string& aPath);

} // namespace caraway
