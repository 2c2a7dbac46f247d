#pragma once
// Internal: the state of an open data folder, and the functions that its .cpp
// files share.

#include <list>
#include <map>
#include <set>

#include "caraway/runtime/data_folder.h"
#include "caraway/runtime/data_folder_files.h"

namespace caraway {

// A segment that is fully synced and no longer written.
struct ClosedSegment
{
  uint64_t mSequence = 0;
  LogIndex mLast; // highest entry in it
};

// The segment that is being written. Invariant: mSynced <= mLength.
struct OpenSegment
{
  FileDescriptor mFile;
  std::string mPath;
  uint64_t mSequence = 0;
  uint64_t mLength = 0; // bytes written to the file
  uint64_t mSynced = 0; // of those, known to be durable
  LogIndex mLast;       // highest entry in it
};

struct CachedBlob
{
  std::string mName;
  FileDescriptor mFile;
};

// Receiver's state of a snapshot transfer.
struct IncomingSnapshot
{
  LogIndex mIndex; // none: no transfer in progress
  Term mTerm;
  std::string mFile;            // file being received
  uint64_t mOffset = 0;         // bytes of it received
  bool mFileDone = false;       // all of it received
  std::set<std::string> mBlobs; // names of the blobs received
};

struct DataFolderState
{
  std::string mPath;
  DataFolderSettings mSettings;
  FileDescriptor mLock;
  absl::Status mFailure; // first failed write or sync; never cleared
  RaftRecovered mRecovered;
  std::string mRecoveredState;
  RecoveryReport mReport;
  bool mFounder = false; // the founder file exists

  HardState mHard; // written at the start of each segment, too
  std::vector<ClosedSegment> mClosed;
  OpenSegment mSegment;
  bool mFolderDirty = false; // a segment was created or removed since the last
                             // sync
  std::map<LogIndex, Term>
    mTermRuns;    // first entry of each run of entries of one term
  LogIndex mLast; // last entry of the log; none: empty

  // Of the open segment once something is known; see OpenNewSegment.
  SyncedTail mTail;

  SnapshotMark mSnapshot;

  std::list<CachedBlob> mBlobs; // open descriptors, most recently used first
  std::set<std::string> mDirtyBlobs; // written since their last sync
  bool mBlobFolderDirty = false;     // a blob was created or removed since then
  IncomingSnapshot mIncoming;
};

constexpr const char* kFounderFileName = "founder";

std::string
SegmentName(uint64_t aSequence);

std::string
SnapshotName(LogIndex aIndex);

std::string
BlobFolder(const DataFolderState& aState);

// Stores the status in mFailure if it is the first error. Returns aStatus.
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

// Updates the hard state, the term runs and the last index for a write that is
// appended or recovered.
void
TrackWrite(DataFolderState& aState, const RaftWrite& aWrite);

// Drops all entries, for a snapshot that replaces the whole log.
absl::Status
ClearLog(DataFolderState& aState);

// Removes the segments that the snapshot covers. If the log does not hold the
// snapshot's last entry, clears the whole log.
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
// Makes the encoded snapshot file the newest one, then drops the log entries it
// covers.
absl::Status
CommitSnapshot(DataFolderState& aState,
               const SnapshotMark& aMark,
               std::string_view aFileBytes);

// data_folder_transfer.cpp
// See DataFolder::StoreSnapshotPart.
absl::StatusOr<StoredSnapshotPart>
StorePart(DataFolderState& aState, const SnapshotPart& aPart);

} // namespace caraway
