#pragma once
// Test helpers for the data folder: temporary folders, writes and file lists.

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "caraway/runtime/data_folder.h"

namespace caraway {

namespace fs = std::filesystem;

// For tests that open thousands of folders and need no real disk.
inline const fs::path&
Parent()
{
  static const fs::path parent =
    fs::exists("/dev/shm") ? fs::path("/dev/shm") : fs::temp_directory_path();
  return parent;
}

// A temporary folder, removed by the destructor.
struct TemporaryFolder
{
  std::string mPath;

  explicit TemporaryFolder(const fs::path& aParent = fs::temp_directory_path())
  {
    std::string path = (aParent / "caraway-XXXXXX").string();
    BOOST_REQUIRE(::mkdtemp(path.data()) != nullptr);
    mPath = path;
  }
  ~TemporaryFolder() { fs::remove_all(mPath); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
};

// Opens the folder; fails the test if that fails.
inline std::unique_ptr<DataFolder>
MustOpen(const std::string& aPath, const DataFolderSettings& aSettings = {})
{
  auto folder = DataFolder::Open(aPath, aSettings);
  BOOST_REQUIRE_MESSAGE(folder.ok(), folder.status().ToString());
  return *std::move(folder);
}

// A write of the hard state and one entry.
inline RaftWrite
WriteOf(uint64_t aIndex, uint64_t aTerm)
{
  RaftWrite write;
  write.mHard = HardState{ Term(aTerm), ReplicaId(2) };
  LogEntry entry;
  entry.mIndex = LogIndex(aIndex);
  entry.mTerm = Term(aTerm);
  entry.mPayload = std::string(100, 'p');
  write.mAppend.push_back(entry);
  return write;
}

// Appends the entries aFrom to aTo, one synced write each.
inline void
AppendRange(DataFolder& aFolder, uint64_t aFrom, uint64_t aTo, uint64_t aTerm)
{
  for (uint64_t index = aFrom; index <= aTo; ++index) {
    BOOST_REQUIRE(aFolder.Append(WriteOf(index, aTerm)).ok());
    BOOST_REQUIRE(aFolder.Sync().ok());
  }
}

inline SnapshotMark
MarkOf(uint64_t aIndex, uint64_t aTerm)
{
  return { LogIndex(aIndex), Term(aTerm), {} };
}

// Files in the folder whose names start with the prefix, sorted.
inline std::vector<fs::path>
FilesWithPrefix(const std::string& aPath, const std::string& aPrefix)
{
  std::vector<fs::path> found;
  for (const auto& file : fs::directory_iterator(aPath)) {
    if (file.path().filename().string().starts_with(aPrefix)) {
      found.push_back(file.path());
    }
  }
  std::sort(found.begin(), found.end());
  return found;
}

} // namespace caraway
