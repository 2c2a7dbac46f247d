// Log segments: appending, syncing, and dropping those that a snapshot covers.

#include <algorithm>

#include <fcntl.h>

#include "caraway/base/error.h"
#include "caraway/consensus/log_codec.h"
#include "caraway/runtime/data_folder_state.h"

namespace caraway {

namespace {

absl::Status
AppendRecord(DataFolderState& aState, const RaftWrite& aWrite)
{
  OpenSegment& segment = aState.mSegment;
  const std::string record =
    EncodeLogRecord(aWrite, segment.mLength, segment.mSynced);
  if (absl::Status status = WriteAt(aState.mSettings.mWatch,
                                    *segment.mFile,
                                    segment.mPath,
                                    segment.mLength,
                                    record);
      !status.ok()) {
    return status;
  }
  segment.mLength += record.size();
  return absl::OkStatus();
}

// Closes the open segment and opens the next one. The old one is synced first,
// since recovery accepts a torn tail only in the last segment.
absl::Status
RotateSegment(DataFolderState& aState)
{
  if (absl::Status status = SyncLog(aState); !status.ok()) {
    return status;
  }
  aState.mClosed.push_back(
    { aState.mSegment.mSequence, aState.mSegment.mLast });
  return OpenNewSegment(aState, aState.mSegment.mSequence + 1);
}

// The term of the entry; nullopt if the log does not hold it.
std::optional<Term>
TermInLog(const DataFolderState& aState, LogIndex aIndex)
{
  if (aIndex > aState.mLast) {
    return std::nullopt;
  }
  auto run = aState.mTermRuns.upper_bound(aIndex);
  if (run == aState.mTermRuns.begin()) {
    return std::nullopt;
  }
  return std::prev(run)->second;
}

} // namespace

absl::Status
OpenNewSegment(DataFolderState& aState, uint64_t aSequence)
{
  // All segments before this one are synced.
  aState.mTail = { aSequence, 0 };
  OpenSegment segment;
  segment.mSequence = aSequence;
  segment.mPath = aState.mPath + "/" + SegmentName(aSequence);
  const FileWatch& watch = aState.mSettings.mWatch;
  auto file = CreateFile(watch, segment.mPath);
  if (!file.ok()) {
    return file.status();
  }
  segment.mFile = std::make_shared<const FileDescriptor>(*std::move(file));
  const std::string header = EncodeSegmentHeader(aSequence);
  if (absl::Status status =
        WriteAt(watch, *segment.mFile, segment.mPath, 0, header);
      !status.ok()) {
    return status;
  }
  segment.mLength = header.size();
  aState.mSegment = std::move(segment);
  ++aState.mChanges.mMade;
  RaftWrite first;
  first.mHard = aState.mHard;
  // Truncates nothing: states where the log ends before this segment, so that
  // recovery can tell whether it needs earlier ones.
  first.mTruncateFrom =
    LogIndex(std::max(aState.mLast, aState.mSnapshot.mIndex).mValue + 1);
  return AppendRecord(aState, first);
}

void
TrackWrite(DataFolderState& aState, const RaftWrite& aWrite)
{
  if (aWrite.mHard) {
    aState.mHard = *aWrite.mHard;
  }
  const LogIndex from = aWrite.mTruncateFrom;
  if (!from.IsNone() && from <= aState.mLast) {
    aState.mTermRuns.erase(aState.mTermRuns.lower_bound(from),
                           aState.mTermRuns.end());
    aState.mLast = LogIndex(from.mValue - 1);
  }
  for (const LogEntry& entry : aWrite.mAppend) {
    if (aState.mTermRuns.empty() ||
        aState.mTermRuns.rbegin()->second != entry.mTerm) {
      aState.mTermRuns[entry.mIndex] = entry.mTerm;
    }
    aState.mLast = entry.mIndex;
    aState.mSegment.mLast = std::max(aState.mSegment.mLast, entry.mIndex);
  }
}

namespace {

// Rejects a gap or overlap in the indexes, which recovery would reject, too.
absl::Status
CheckContinuity(const DataFolderState& aState, const RaftWrite& aWrite)
{
  uint64_t last = aState.mLast.mValue;
  if (!aWrite.mTruncateFrom.IsNone()) {
    last = std::min(last, aWrite.mTruncateFrom.mValue - 1);
  }
  if (last <= aState.mSnapshot.mIndex.mValue && aState.mTermRuns.empty()) {
    last = aState.mSnapshot.mIndex.mValue;
  }
  for (const LogEntry& entry : aWrite.mAppend) {
    if (entry.mIndex.mValue != ++last) {
      return MakeError(ErrorKind::eCorruptData,
                       "the entries to append do not continue the log",
                       "report this as a bug");
    }
  }
  return absl::OkStatus();
}

} // namespace

absl::Status
AppendWrite(DataFolderState& aState, const RaftWrite& aWrite)
{
  if (aState.mSegment.mLength >= aState.mSettings.mSegmentBytes) {
    if (absl::Status status = RotateSegment(aState); !status.ok()) {
      return status;
    }
  }
  // Skip entries that an installed snapshot already covers.
  RaftWrite rest;
  const RaftWrite* write = &aWrite;
  if (!aWrite.mAppend.empty() &&
      aWrite.mAppend.front().mIndex <= aState.mSnapshot.mIndex) {
    rest = aWrite;
    std::erase_if(rest.mAppend, [&](const LogEntry& aEntry) {
      return aEntry.mIndex <= aState.mSnapshot.mIndex;
    });
    write = &rest;
  }
  if (absl::Status status = CheckContinuity(aState, *write); !status.ok()) {
    return status;
  }
  TrackWrite(aState, *write);
  return AppendRecord(aState, *write);
}

PendingSync
PrepareSync(const DataFolderState& aState)
{
  const OpenSegment& segment = aState.mSegment;
  PendingSync sync;
  sync.mFile = segment.mFile;
  sync.mPath = segment.mPath;
  sync.mSyncs = aState.mLogSyncs;
  sync.mWatch = aState.mSettings.mWatch;
  sync.mSequence = segment.mSequence;
  sync.mLength = segment.mLength;
  if (aState.mChanges.mMade != aState.mChanges.mSynced) {
    sync.mFolder = aState.mPath;
    sync.mFolderChanges = aState.mChanges.mMade;
  }
  return sync;
}

absl::Status
RunPreparedSync(const PendingSync& aSync)
{
  absl::Status status =
    aSync.mSyncs->SyncFile(aSync.mWatch, *aSync.mFile, aSync.mPath);
  if (status.ok() && !aSync.mFolder.empty()) {
    status = aSync.mSyncs->SyncNames(aSync.mWatch, aSync.mFolder);
  }
  return status;
}

void
NoteSynced(DataFolderState& aState, const PendingSync& aSync)
{
  OpenSegment& segment = aState.mSegment;
  // A segment that was closed meanwhile was synced before that.
  if (segment.mSequence == aSync.mSequence) {
    segment.mSynced = std::max(segment.mSynced, aSync.mLength);
    aState.mTail = { segment.mSequence, segment.mSynced };
  }
  aState.mChanges.mSynced =
    std::max(aState.mChanges.mSynced, aSync.mFolderChanges);
}

absl::Status
SyncLog(DataFolderState& aState)
{
  const PendingSync sync = PrepareSync(aState);
  absl::Status status = RunPreparedSync(sync);
  if (status.ok()) {
    NoteSynced(aState, sync);
  }
  return status;
}

namespace {

absl::Status
RemoveOldestSegments(DataFolderState& aState, size_t aCount)
{
  // Each name may come back until the folder is synced, with gaps between them.
  aState.mChanges.mMade += aCount;
  for (size_t at = 0; at < aCount; ++at) {
    if (absl::Status status = RemoveFile(
          aState.mSettings.mWatch,
          aState.mPath + "/" + SegmentName(aState.mClosed[at].mSequence));
        !status.ok()) {
      return status;
    }
  }
  aState.mClosed.erase(aState.mClosed.begin(),
                       aState.mClosed.begin() +
                         static_cast<std::ptrdiff_t>(aCount));
  return absl::OkStatus();
}

} // namespace

absl::Status
ClearLog(DataFolderState& aState)
{
  if (absl::Status status = RotateSegment(aState); !status.ok()) {
    return status;
  }
  // Recovery replays this record, so that the old entries stay dropped after a
  // crash before the removal below.
  RaftWrite clear;
  clear.mTruncateFrom = LogIndex(1);
  TrackWrite(aState, clear);
  absl::Status status = AppendRecord(aState, clear);
  if (status.ok()) {
    status = SyncLog(aState);
  }
  return status.ok() ? RemoveOldestSegments(aState, aState.mClosed.size())
                     : status;
}

absl::Status
DropCoveredLog(DataFolderState& aState)
{
  const SnapshotMark& mark = aState.mSnapshot;
  if (TermInLog(aState, mark.mIndex) != mark.mTerm) {
    return ClearLog(aState);
  }
  if (!aState.mSegment.mLast.IsNone()) {
    if (absl::Status status = RotateSegment(aState); !status.ok()) {
      return status;
    }
  }
  // The hard state at the start of the new segment must be durable before the
  // older segments that hold it are removed.
  if (absl::Status status = SyncLog(aState); !status.ok()) {
    return status;
  }
  const auto kept =
    std::find_if(aState.mClosed.begin(),
                 aState.mClosed.end(),
                 [&](auto& aSegment) { return aSegment.mLast > mark.mIndex; });
  const auto run = aState.mTermRuns.upper_bound(mark.mIndex);
  if (run != aState.mTermRuns.begin()) {
    aState.mTermRuns.erase(aState.mTermRuns.begin(), std::prev(run));
  }
  return RemoveOldestSegments(
    aState, static_cast<size_t>(kept - aState.mClosed.begin()));
}

} // namespace caraway
