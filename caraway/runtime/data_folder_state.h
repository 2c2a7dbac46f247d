#pragma once
// Internal: the state of an open data folder and the functions of its parts.

#include <list>
#include <map>
#include <set>

#include "caraway/runtime/data_folder.h"
#include "caraway/runtime/data_folder_files.h"

namespace caraway {

// A segment that is complete and synced.
struct ClosedSegment
{
  uint64_t mSequence = 0;
  LogIndex mLast; // highest entry in it
};

// The newest segment. Invariant: mSynced <= mLength.
struct OpenSegment
{
  FileDescriptor mFile;
  std::string mPath;
  uint64_t mSequence = 0;
  uint64_t mLength = 0; // bytes written
  uint64_t mSynced = 0; // of those, synced
  LogIndex mLast;       // highest entry in it
};

struct CachedBlob
{
  std::string mName;
  FileDescriptor mFile;
};

// A snapshot transfer that is being received.
struct IncomingSnapshot
{
  LogIndex mIndex; // none: no transfer
  Term mTerm;
  std::string mFile; // position: bytes held of this file
  uint64_t mOffset = 0;
  bool mFileDone = false;
  std::set<std::string> mBlobs; // received
};

struct DataFolderState
{
  std::string mPath;
  DataFolderSettings mSettings;
  FileDescriptor mLock;
  absl::Status mFailure; // sticky
  RaftRecovered mRecovered;
  std::string mRecoveredState;

  HardState mHard; // repeated at the start of each segment
  std::vector<ClosedSegment> mClosed;
  OpenSegment mSegment;
  bool mFolderDirty = false; // a segment was created since the last sync
  std::map<LogIndex, Term> mTermRuns; // first entry of each run of one term
  LogIndex mLast;                     // last entry of the log

  SnapshotMark mSnapshot;

  std::list<CachedBlob> mBlobs; // open descriptors, the latest used first
  std::set<std::string> mDirtyBlobs;
  bool mBlobFolderDirty = false;
  IncomingSnapshot mIncoming;
};

std::string
SegmentName(uint64_t aSequence);

std::string
SnapshotName(LogIndex aIndex);

std::string
BlobFolder(const DataFolderState& aState);

// Remembers a failure; returns the first one.
absl::Status
RecordFirstFailure(DataFolderState& aState, absl::Status aStatus);

// data_folder_recovery.cpp
absl::Status
RecoverFolder(DataFolderState& aState);

// data_folder_log.cpp
absl::Status
OpenNewSegment(DataFolderState& aState, uint64_t aSequence);

absl::Status
AppendWrite(DataFolderState& aState, const RaftWrite& aWrite);

absl::Status
SyncLog(DataFolderState& aState);

void
TrackWrite(DataFolderState& aState, const RaftWrite& aWrite);

// Drops all entries, because the snapshot replaced them.
absl::Status
ClearLog(DataFolderState& aState);

// Removes what the snapshot covers. If the log does not continue the snapshot,
// all of it goes.
absl::Status
DropCoveredLog(DataFolderState& aState);

// data_folder_blobs.cpp
absl::Status
CheckBlobName(const std::string& aName);

absl::StatusOr<FileDescriptor*>
OpenBlob(DataFolderState& aState, const std::string& aName, bool aCreate);

absl::Status
WriteBlobBytes(DataFolderState& aState,
               const std::string& aName,
               uint64_t aOffset,
               std::string_view aBytes);

absl::Status
RemoveBlobFile(DataFolderState& aState, const std::string& aName);

absl::Status
SyncBlobs(DataFolderState& aState);

// data_folder_snapshot.cpp
absl::Status
CommitSnapshot(DataFolderState& aState,
               const SnapshotMark& aMark,
               std::string_view aFileBytes);

// data_folder_transfer.cpp
absl::StatusOr<StoredSnapshotPart>
StorePart(DataFolderState& aState, const SnapshotPart& aPart);

} // namespace caraway
