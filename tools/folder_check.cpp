// Reads a data folder by the recovery that a replica's start uses, on a copy.

#include "tools/folder_check.h"

#include <cstdlib>
#include <filesystem>
#include <system_error>

#include <fcntl.h>
#include <sys/file.h>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "caraway/base/error.h"
#include "caraway/runtime/data_folder.h"

namespace caraway {

namespace {

namespace fs = std::filesystem;

// A folder for temporary files, removed by the destructor.
class ScratchFolder
{
public:
  ScratchFolder()
    : mPath((fs::temp_directory_path() / "caraway-check-XXXXXX").string())
    , mMade(::mkdtemp(mPath.data()) != nullptr)
  {
  }
  ~ScratchFolder()
  {
    std::error_code error;
    if (mMade) {
      fs::remove_all(mPath, error);
    }
  }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  bool IsMade() const { return mMade; }
  const std::string& Path() const { return mPath; }

private:
  std::string mPath;
  bool mMade = false;
};

bool
IsInUse(const std::string& aFolder)
{
  const auto lock = OpenFile(aFolder + "/lock", O_RDONLY);
  return lock.ok() && ::flock(lock->Value(), LOCK_SH | LOCK_NB) != 0;
}

CliResult
Fail(ExitCode aCode, const std::string& aWhat)
{
  return { aCode, nlohmann::json{ { "error", aWhat } }.dump(), aWhat };
}

// Copies the regular files of the folder itself, which are all but the blobs,
// and the sign of an unfinished move of damaged data.
void
CopyFiles(const std::string& aFrom,
          const std::string& aTo,
          std::error_code& aError)
{
  for (const auto& file : fs::directory_iterator(aFrom, aError)) {
    if (file.is_regular_file() && !aError) {
      fs::copy_file(
        file.path(), fs::path(aTo) / file.path().filename(), aError);
    }
  }
  const fs::path unfinished = fs::path(aFrom) / "damaged" / "unfinished";
  if (!aError && fs::exists(unfinished)) {
    fs::create_directories(fs::path(aTo) / "damaged", aError);
    fs::copy_file(unfinished, fs::path(aTo) / "damaged/unfinished", aError);
  }
}

nlohmann::json
CountBlobs(const std::string& aFolder)
{
  uint64_t files = 0;
  uint64_t bytes = 0;
  std::error_code error;
  for (const auto& file : fs::directory_iterator(aFolder + "/blobs", error)) {
    ++files;
    bytes += file.file_size(error);
  }
  return { { "files", files }, { "bytes", bytes } };
}

CliResult
Verdict(const std::string& aFolder,
        nlohmann::json aFound,
        const std::string& aDamage)
{
  aFound["blobs"] = CountBlobs(aFolder);
  aFound["data_set_aside"] = fs::exists(aFolder + "/damaged");
  aFound["damage"] = aDamage;
  std::string text;
  for (const auto& [name, value] : aFound.items()) {
    absl::StrAppend(&text, name, ": ", value.dump(), "\n");
  }
  absl::StrAppend(
    &text,
    aDamage.empty()
      ? "Log and snapshot can be recovered. The state in the snapshot and the "
        "contents of blobs were not checked."
      : "No replica can start on this folder as it is. Keep a copy. A replica "
        "with a given id is replaced by one with a new id and an empty folder; "
        "one that takes its id from the folder moves the data to damaged/ at "
        "its start and joins as a new one.");
  return { aDamage.empty() ? ExitCode::eOk : ExitCode::eRefused,
           aFound.dump(),
           text };
}

} // namespace

CliResult
CheckDataFolder(const std::string& aFolder)
{
  std::error_code error;
  if (!fs::exists(aFolder + "/lock", error)) {
    return Fail(ExitCode::eUsage, aFolder + " is no data folder of a replica");
  }
  if (IsInUse(aFolder)) {
    return Fail(ExitCode::eUsage,
                aFolder + " is in use; stop the replica and repeat");
  }
  const ScratchFolder scratch;
  if (scratch.IsMade()) {
    CopyFiles(aFolder, scratch.Path(), error);
  }
  if (!scratch.IsMade() || error) {
    return Fail(
      ExitCode::eUsage,
      absl::StrCat("copying ", aFolder, " failed: ", error.message()));
  }
  auto folder = DataFolder::Open(scratch.Path());
  if (!folder.ok()) {
    const std::string message = absl::StrReplaceAll(
      std::string(folder.status().message()), { { scratch.Path(), aFolder } });
    return KindOf(folder.status()) == ErrorKind::eCorruptData
             ? Verdict(aFolder, {}, message)
             : Fail(ExitCode::eUsage, message);
  }
  const RecoveryReport report = (*folder)->Report();
  const RaftRecovered found = (*folder)->Recovered();
  const uint64_t snapshot = found.mSnapshot.mIndex.mValue;
  return Verdict(aFolder,
                 { { "identity", found.mDisk },
                   { "founder", (*folder)->IsFounder() },
                   { "term", found.mHard.mTerm.mValue },
                   { "voted_for", found.mHard.mVotedFor.mValue },
                   { "snapshot_index", snapshot },
                   { "entries", found.mEntries.size() },
                   { "last_index", snapshot + found.mEntries.size() },
                   { "segments", report.mSegments },
                   { "leftover_segments", report.mLeftovers },
                   { "cut_bytes", report.mCutBytes } },
                 {});
}

} // namespace caraway
