#pragma once
// Internal: the state of an open data folder, and the functions that its .cpp
// files share.

#include <list>
#include <map>
#include <memory>
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
  std::shared_ptr<const FileDescriptor> mFile;
  std::string mPath;
  uint64_t mSequence = 0;
  uint64_t mLength = 0; // bytes written to the file
  uint64_t mSynced = 0; // of those, known to be durable
  LogIndex mLast;       // highest entry in it
};

struct CachedBlob
{
  std::string mName;
  std::shared_ptr<const FileDescriptor> mFile;
};

// Names created or removed in a folder, and how many of these changes its last
// sync covers. A sync in progress covers none yet.
struct FolderChanges
{
  uint64_t mMade = 0;
  uint64_t mSynced = 0;
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
  FolderChanges mChanges; // segments
  std::shared_ptr<SharedSyncs> mLogSyncs = std::make_shared<SharedSyncs>();
  std::map<LogIndex, Term>
    mTermRuns;    // first entry of each run of entries of one term
  LogIndex mLast; // last entry of the log; none: empty

  // Of the open segment once something is known; see OpenNewSegment.
  SyncedTail mTail;

  SnapshotMark mSnapshot;

  std::set<std::string> mBlobNames; // of all files in the folder of blobs
  std::list<CachedBlob> mBlobs; // open descriptors, most recently used first
  std::map<std::string, uint64_t> mDirtyBlobs; // to the number of the last
                                               // write, since their last sync
  uint64_t mBlobWrites = 0;
  FolderChanges mBlobChanges;
  std::shared_ptr<SharedSyncs> mBlobSyncs = std::make_shared<SharedSyncs>();
  IncomingSnapshot mIncoming;
};

constexpr const char* kFounderFileName = "founder";
constexpr const char* kLockFileName = "lock";

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
AcquireLock(DataFolderState& aState);

absl::Status
RecoverFolder(DataFolderState& aState);

// data_folder_log.cpp
absl::Status
OpenNewSegment(DataFolderState& aState, uint64_t aSequence);

absl::Status
AppendWrite(DataFolderState& aState, const RaftWrite& aWrite);

absl::Status
SyncLog(DataFolderState& aState);

PendingSync
PrepareSync(const DataFolderState& aState);

absl::Status
RunPreparedSync(const PendingSync& aSync);

void
NoteSynced(DataFolderState& aState, const PendingSync& aSync);

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

absl::StatusOr<const FileDescriptor*>
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

PendingBlobSync
PrepareBlobSync(const DataFolderState& aState);

absl::Status
RunPreparedBlobSync(const PendingBlobSync& aSync);

void
NoteBlobsSynced(DataFolderState& aState, const PendingBlobSync& aSync);

// data_folder_snapshot.cpp
// Takes a snapshot whose file is durable as the newest one: removes the former
// one and drops the log entries that it covers.
absl::Status
UseSnapshot(DataFolderState& aState, const SnapshotMark& aMark);

// data_folder_set_aside.cpp
// Fails if data was moved to the subfolder of damaged data, and the move is not
// finished. Sets mReport.mSetAside.
absl::Status
CheckSetAside(DataFolderState& aState);

// data_folder_transfer.cpp
// Follows a blob that was removed while it was sent, in SnapshotPart::mAfter:
// the receiver has this many bytes of it and gets no more. It learns of the
// removal from the log after the snapshot. Not a valid name of a blob.
std::string
RemovedFileMark(const std::string& aFile, uint64_t aOffset);

// See DataFolder::StoreSnapshotPart.
absl::StatusOr<StoredSnapshotPart>
StorePart(DataFolderState& aState, const SnapshotPart& aPart);

} // namespace caraway
