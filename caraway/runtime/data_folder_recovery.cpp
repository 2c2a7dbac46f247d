// Recovery of a data folder at start: lock, snapshot, log, identity.

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <filesystem>
#include <random>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "caraway/base/absl_view.h"
#include "caraway/base/error.h"
#include "caraway/consensus/log_codec.h"
#include "caraway/runtime/data_folder_state.h"

namespace caraway {

std::string
SegmentName(uint64_t aSequence)
{
  return absl::StrFormat("log-%020d.seg", aSequence);
}

std::string
SnapshotName(LogIndex aIndex)
{
  return absl::StrFormat("snap-%020d", aIndex.mValue);
}

namespace {

absl::Status
CreateFolders(DataFolderState& aState)
{
  std::error_code error;
  std::filesystem::create_directories(BlobFolder(aState), error);
  if (error) {
    errno = error.value();
    return DiskError("creating", BlobFolder(aState));
  }
  const auto blobs = ListFiles(BlobFolder(aState));
  if (!blobs.ok()) {
    return blobs.status();
  }
  aState.mBlobNames.insert(blobs->begin(), blobs->end());
  const FileWatch& watch = aState.mSettings.mWatch;
  // Names of blobs, too: the log writes them again without creating them.
  absl::Status status = SyncFolder(watch, BlobFolder(aState));
  if (status.ok()) {
    status = SyncFolder(watch, aState.mPath);
  }
  const auto parent =
    std::filesystem::absolute(aState.mPath, error).parent_path();
  return status.ok() && !error ? SyncFolder(watch, parent.string()) : status;
}

} // namespace

absl::Status
AcquireLock(DataFolderState& aState)
{
  const std::string path = aState.mPath + "/" + kLockFileName;
  auto file = OpenFile(path, O_RDWR | O_CREAT);
  if (!file.ok()) {
    return file.status();
  }
  if (::flock(file->Value(), LOCK_EX | LOCK_NB) != 0) {
    return MakeError(ErrorKind::eConflict,
                     StdView(absl::StrCat("data folder ",
                                          aState.mPath,
                                          " is in use by another process")),
                     "stop that process or choose another folder");
  }
  aState.mLock = *std::move(file);
  return absl::OkStatus();
}

namespace {

// The number N in "log-N.seg" or "snap-N"; nullopt for other names.
std::optional<uint64_t>
ParseFileNumber(std::string_view aName,
                std::string_view aPrefix,
                std::string_view aEnd)
{
  if (!aName.starts_with(aPrefix) || !aName.ends_with(aEnd)) {
    return std::nullopt;
  }
  aName.remove_prefix(aPrefix.size());
  aName.remove_suffix(aEnd.size());
  uint64_t number = 0;
  const auto [end, error] =
    std::from_chars(aName.data(), aName.data() + aName.size(), number);
  if (error != std::errc() || end != aName.data() + aName.size()) {
    return std::nullopt;
  }
  return number;
}

struct FolderFiles
{
  std::vector<uint64_t> mSegments;  // ascending
  std::vector<uint64_t> mSnapshots; // ascending
  bool mHasMeta = false;
};

// True for what an interrupted write of a whole file, of a snapshot transfer or
// of a probe leaves behind. A full disk needs the space.
bool
IsLeftover(const std::string& aName)
{
  return aName.ends_with(".tmp") || aName == "snap.part" || aName == "probe";
}

absl::StatusOr<FolderFiles>
ScanFolder(const DataFolderState& aState)
{
  auto names = ListFiles(aState.mPath);
  if (!names.ok()) {
    return names.status();
  }
  FolderFiles files;
  for (const std::string& name : *names) {
    if (IsLeftover(name)) {
      if (absl::Status status =
            RemoveFile(aState.mSettings.mWatch, aState.mPath + "/" + name);
          !status.ok()) {
        return status;
      }
    } else if (name == "meta") {
      files.mHasMeta = true;
    } else if (auto sequence = ParseFileNumber(name, "log-", ".seg")) {
      files.mSegments.push_back(*sequence);
    } else if (auto index = ParseFileNumber(name, "snap-", "")) {
      files.mSnapshots.push_back(*index);
    }
  }
  return files;
}

absl::Status
MissingDataError(const std::string& aWhat)
{
  return MakeError(ErrorKind::eCorruptData,
                   StdView(absl::StrCat(aWhat, " is missing")),
                   "replace this replica: start it with an empty data folder "
                   "and a new replica id");
}

// Reads or creates the folder's identity. The first log segment is durable
// before meta, so a folder with meta but no segment has lost its log.
absl::Status
RecoverMeta(DataFolderState& aState)
{
  const std::string path = aState.mPath + "/meta";
  auto bytes = ReadWholeFile(path);
  if (bytes.ok()) {
    auto disk = DecodeMetaFile(*bytes, "meta");
    if (!disk.ok()) {
      return disk.status();
    }
    aState.mRecovered.mDisk = *disk;
    return absl::OkStatus();
  }
  if (KindOf(bytes.status()) != ErrorKind::eNotFound) {
    return bytes.status();
  }
  if (!aState.mHard.mTerm.IsNone() || !aState.mLast.IsNone() ||
      !aState.mSnapshot.mIndex.IsNone()) {
    return MissingDataError(path);
  }
  std::random_device device;
  const uint64_t disk = (uint64_t{ device() } << 32 | device()) | 1;
  aState.mRecovered.mDisk = disk;
  return ReplaceFile(
    aState.mSettings.mWatch, aState.mPath, "meta", EncodeMetaFile(disk));
}

absl::Status
RecoverFounder(DataFolderState& aState)
{
  const absl::Status status =
    ReadWholeFile(aState.mPath + "/" + kFounderFileName).status();
  aState.mFounder = status.ok();
  return status.ok() || KindOf(status) == ErrorKind::eNotFound
           ? absl::OkStatus()
           : status;
}

// Loads the newest snapshot and removes older ones, which remain after a crash
// right after the rename of the newest.
absl::Status
RecoverSnapshot(DataFolderState& aState, const FolderFiles& aFiles)
{
  if (aFiles.mSnapshots.empty()) {
    return absl::OkStatus();
  }
  const std::string name = SnapshotName(LogIndex(aFiles.mSnapshots.back()));
  auto bytes = ReadWholeFile(aState.mPath + "/" + name);
  if (!bytes.ok()) {
    return bytes.status();
  }
  auto contents = DecodeSnapshotFile(*bytes, name);
  if (!contents.ok()) {
    return contents.status();
  }
  aState.mSnapshot = std::move(contents->mMark);
  aState.mRecoveredState = std::move(contents->mState);
  for (size_t at = 0; at + 1 < aFiles.mSnapshots.size(); ++at) {
    const LogIndex index(aFiles.mSnapshots[at]);
    if (absl::Status status = RemoveFile(
          aState.mSettings.mWatch, aState.mPath + "/" + SnapshotName(index));
        !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

// Opens the newest segment for appending and cuts off its torn tail. Recovered
// data counts as synced from here on, so it is synced now.
absl::Status
ReopenSegment(DataFolderState& aState,
              uint64_t aSequence,
              std::string_view aContents)
{
  const uint64_t length = aContents.size();
  OpenSegment& segment = aState.mSegment;
  segment.mSequence = aSequence;
  segment.mPath = aState.mPath + "/" + SegmentName(aSequence);
  auto file = OpenFile(segment.mPath, O_RDWR);
  if (!file.ok()) {
    return file.status();
  }
  segment.mFile = std::make_shared<const FileDescriptor>(*std::move(file));
  const FileWatch& watch = aState.mSettings.mWatch;
  if (absl::Status status =
        TruncateAt(watch, *segment.mFile, segment.mPath, length);
      !status.ok()) {
    return status;
  }
  segment.mLength = length;
  ++aState.mChanges.mMade;
  const bool known = aState.mTail.mSequence != 0;
  if (aState.mTail.mRewrite) {
    if (absl::Status status =
          WriteAt(watch, *segment.mFile, segment.mPath, 0, aContents);
        !status.ok()) {
      return status;
    }
  }
  if (absl::Status status = SyncLog(aState); !status.ok()) {
    if (!known) {
      aState.mTail = { aSequence, length, true };
    }
    return status;
  }
  // Write the hard state again: the record at the start of the segment may have
  // been cut off.
  RaftWrite hard;
  hard.mHard = aState.mHard;
  return AppendWrite(aState, hard);
}

absl::Status
RecoverSegment(DataFolderState& aState,
               uint64_t aSequence,
               bool aLast,
               std::vector<RaftWrite>& aWrites)
{
  const std::string name = SegmentName(aSequence);
  auto bytes = ReadWholeFile(aState.mPath + "/" + name);
  if (!bytes.ok()) {
    return bytes.status();
  }
  if (const SyncedTail& tail = aState.mTail;
      tail.mSequence != 0 && aLast && aSequence >= tail.mSequence) {
    const uint64_t synced = aSequence == tail.mSequence ? tail.mLength : 0;
    bytes->resize(std::min<uint64_t>(bytes->size(), synced));
  }
  auto contents = DecodeSegment(*bytes, name, aSequence, aLast);
  if (!contents.ok()) {
    return contents.status();
  }
  aState.mSegment.mLast = LogIndex();
  for (RaftWrite& write : contents->mWrites) {
    TrackWrite(aState, write);
    aWrites.push_back(std::move(write));
  }
  if (!aLast) {
    aState.mClosed.push_back({ aSequence, aState.mSegment.mLast });
    return absl::OkStatus();
  }
  aState.mReport.mCutBytes = bytes->size() - contents->mLength;
  if (contents->mLength == 0) {
    return OpenNewSegment(aState, aSequence);
  }
  return ReopenSegment(
    aState, aSequence, std::string_view(*bytes).substr(0, contents->mLength));
}

// Index of the first segment of the run without gaps that ends with the newest.
size_t
StartOfNewestRun(const std::vector<uint64_t>& aSegments)
{
  size_t at = aSegments.size() - 1;
  while (at > 0 && aSegments[at - 1] + 1 == aSegments[at]) {
    --at;
  }
  return at;
}

// Fails if segments before the newest run hold entries that are needed. A run
// that states where the log ended before it needs no look at them, since
// ReplayWrites checks that. Older program versions did not state it.
absl::Status
CheckLeftovers(const DataFolderState& aState,
               const std::vector<uint64_t>& aLeftovers,
               const std::vector<RaftWrite>& aRun)
{
  const bool startsAnew =
    std::any_of(aRun.begin(), aRun.end(), [](const RaftWrite& aWrite) {
      return aWrite.mTruncateFrom == LogIndex(1);
    });
  if (startsAnew || (!aRun.empty() && StatesLogEnd(aRun.front()))) {
    return absl::OkStatus();
  }
  for (const uint64_t sequence : aLeftovers) {
    const std::string name = SegmentName(sequence);
    auto bytes = ReadWholeFile(aState.mPath + "/" + name);
    if (!bytes.ok()) {
      return bytes.status();
    }
    auto contents = DecodeSegment(*bytes, name, sequence, false);
    if (!contents.ok()) {
      return contents.status();
    }
    for (const RaftWrite& write : contents->mWrites) {
      if (!write.mAppend.empty() &&
          write.mAppend.back().mIndex > aState.mSnapshot.mIndex) {
        return MissingDataError(SegmentName(aLeftovers.back() + 1));
      }
    }
  }
  return absl::OkStatus();
}

absl::Status
RemoveLeftovers(DataFolderState& aState,
                const std::vector<uint64_t>& aLeftovers)
{
  for (const uint64_t sequence : aLeftovers) {
    if (absl::Status status = RemoveFile(
          aState.mSettings.mWatch, aState.mPath + "/" + SegmentName(sequence));
        !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status
RecoverLog(DataFolderState& aState, const FolderFiles& aFiles)
{
  const std::vector<uint64_t>& segments = aFiles.mSegments;
  if (segments.empty()) {
    return aState.mSnapshot.mIndex.IsNone() && !aFiles.mHasMeta
             ? OpenNewSegment(aState, 1)
             : MissingDataError("the log");
  }
  const size_t first = StartOfNewestRun(segments);
  std::vector<RaftWrite> writes;
  for (size_t at = first; at < segments.size(); ++at) {
    if (absl::Status status = RecoverSegment(
          aState, segments[at], at + 1 == segments.size(), writes);
        !status.ok()) {
      return status;
    }
  }
  const std::vector<uint64_t> leftovers(
    segments.begin(), segments.begin() + static_cast<std::ptrdiff_t>(first));
  absl::Status status = CheckLeftovers(aState, leftovers, writes);
  if (!status.ok()) {
    return status;
  }
  auto recovered = ReplayWrites(std::move(writes), aState.mSnapshot);
  if (!recovered.ok()) {
    return recovered.status();
  }
  aState.mRecovered = *std::move(recovered);
  aState.mReport.mSegments = segments.size() - first;
  aState.mReport.mLeftovers = first;
  status = RemoveLeftovers(aState, leftovers);
  if (!status.ok()) {
    return status;
  }
  const SnapshotMark& mark = aState.mSnapshot;
  if (mark.mIndex.IsNone()) {
    return absl::OkStatus();
  }
  if (!aState.mRecovered.mEntries.empty()) {
    aState.mTermRuns.emplace(mark.mIndex, mark.mTerm);
  } else if (!aState.mLast.IsNone()) {
    // No recovered entry follows the snapshot, so the remaining records must
    // not precede the next entries.
    return ClearLog(aState);
  }
  return absl::OkStatus();
}

} // namespace

absl::Status
RecoverFolder(DataFolderState& aState)
{
  absl::Status status = CreateFolders(aState);
  if (status.ok()) {
    status = AcquireLock(aState);
  }
  if (status.ok()) {
    status = CheckSetAside(aState);
  }
  if (!status.ok()) {
    return status;
  }
  auto files = ScanFolder(aState);
  if (!files.ok()) {
    return files.status();
  }
  status = RecoverSnapshot(aState, *files);
  if (status.ok()) {
    status = RecoverLog(aState, *files);
  }
  // Creating or reopening the segment appended a record that is not synced.
  if (status.ok()) {
    status = SyncLog(aState);
  }
  if (status.ok()) {
    status = RecoverMeta(aState);
  }
  return status.ok() ? RecoverFounder(aState) : status;
}

} // namespace caraway
