#pragma once
// The data folder of one control replica: durable log, snapshots and blobs.
//
//   lock          held while a process uses the folder
//   meta          identity of the folder
//   founder       exists if this replica founded its group
//   log-*.seg     log segments: checksummed records (see log_codec.h)
//   snap-*        the newest snapshot
//   snap.part     state file of a snapshot transfer in progress
//   blobs/        files and results of batch jobs
//   damaged/      data that could not be recovered, for the operator
//
// After a power loss, each write since the last sync of its file is present,
// missing or torn, and each name that was created, renamed or removed since the
// last sync of its folder is kept or lost, each for itself. Therefore:
//
// - Bytes and names are relied on only once file and folder are synced: entries
//   before they are acknowledged, a segment before the next one is opened, a
//   snapshot and its blobs before the log that it covers is removed, the log
//   before meta says that there is one.
// - A removal is never relied on: recovery takes the run of segments that ends
//   with the newest one, older ones are leftovers. The first record of each
//   segment says where the log ended before it, so that a lost segment is not
//   taken for a removed one.
// - Recovery syncs what it has read before anything depends on it.
//
// Every failure of a write or sync is final for the object: all later calls
// return it, since the kernel may have dropped the pages that it could not
// write. Open the folder again with the object's Tail() to go on.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "caraway/consensus/raft.h"
#include "caraway/runtime/data_folder_files.h"

namespace caraway {

struct DataFolderState; // data_folder_state.h

struct DataFolderSettings
{
  uint64_t mSegmentBytes = 16 << 20; // a segment of this size is closed
  uint32_t mPartBytes = 256 * 1024;  // of one part of a snapshot transfer
  size_t mMaxOpenBlobs = 128;        // descriptors in the LRU cache
  FileWatch mWatch;                  // for tests; empty: none
};

// What Open found, for the log.
struct RecoveryReport
{
  uint64_t mSegments = 0;  // read
  uint64_t mLeftovers = 0; // removed earlier, back after a power loss
  uint64_t mCutBytes = 0;  // of the torn end of the newest segment
  bool mSetAside = false;  // the folder held data that was set aside
};

// Up to where the log is known to be synced. After a failed write or sync, what
// follows may be in the page cache only, from which it would be read as if it
// were durable.
struct SyncedTail
{
  uint64_t mSequence = 0; // of the last segment; 0: nothing is known
  uint64_t mLength = 0;   // bytes of it
  // They were read from the page cache, and their sync failed: they have to be
  // written again before a sync tells anything.
  bool mRewrite = false;
};

// Result of StoreSnapshotPart. The mark and the state are set once the snapshot
// is complete, synced and installed.
struct StoredSnapshotPart
{
  SnapshotPartReply mReply; // term and send time are not set
  SnapshotMark mMark;
  std::string mState;
};

// A sync of the log that another thread may carry out.
struct PendingSync
{
  std::shared_ptr<const FileDescriptor> mFile;
  std::string mPath;
  std::string mFolder; // to be synced as well; empty: not
  std::shared_ptr<SharedSyncs> mSyncs;
  FileWatch mWatch;
  uint64_t mSequence = 0;      // of the segment
  uint64_t mLength = 0;        // bytes of it that are durable afterwards
  uint64_t mFolderChanges = 0; // covered by the sync of the folder
};

// A sync of the blobs that were written since their last one.
struct PendingBlobSync
{
  struct Blob
  {
    std::string mName;
    std::string mPath;
    std::shared_ptr<const FileDescriptor> mFile;
    uint64_t mWrites = 0; // covered by the sync
  };
  std::vector<Blob> mBlobs;
  std::string mFolder; // as above
  std::shared_ptr<SharedSyncs> mSyncs;
  FileWatch mWatch;
  uint64_t mFolderChanges = 0;
};

// A snapshot that another thread may store.
struct PendingSnapshot
{
  SnapshotMark mMark;
  std::string mState;
  PendingBlobSync mBlobs;
  std::string mFolder;
};

class DataFolder
{
public:
  // Recovers the folder, or creates it. Fails if another process has locked it,
  // if its data is damaged, or with eDiskFailed. aTail, if given, cuts the log
  // where it ended for certain; it is updated if the call fails.
  static absl::StatusOr<std::unique_ptr<DataFolder>> Open(
    const std::string& aPath,
    const DataFolderSettings& aSettings = {},
    SyncedTail* aTail = nullptr);

  // Moves all data of a folder that can't be opened into its subfolder for
  // damaged data, in place of an older copy, and returns the subfolder's path.
  // The next Open finds an empty folder and gives it a new identity. After a
  // power loss in between Open fails with eCorruptData, and SetAside goes on.
  static absl::StatusOr<std::string> SetAside(
    const std::string& aPath,
    const DataFolderSettings& aSettings = {});

  // Removes the data that was set aside, for its space. That the folder held
  // some is kept.
  static absl::Status RemoveSetAside(const std::string& aPath);

  RecoveryReport Report() const;

  // Whether this replica founded its group as its only member. MarkFounder is
  // durable when it returns.
  bool IsFounder() const;
  absl::Status MarkFounder();

  // Writes, syncs and removes a small file, to tell whether the disk of an
  // existing folder takes writes at all. Cheaper than an Open that fails.
  static absl::Status Probe(const std::string& aPath);

  ~DataFolder();
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  SyncedTail Tail() const;

  // The log and the state recovered by Open. The first call moves them out.
  RaftRecovered Recovered();
  std::string RecoveredState(); // empty if there is no snapshot

  // Appends to the open segment; the write is durable after the next Sync.
  absl::Status Append(const RaftWrite& aWrite);
  absl::Status Sync();

  // Syncs the blobs, stores the snapshot and drops the log entries it covers.
  absl::Status SaveSnapshot(const SnapshotMark& aMark, std::string aState);

  // The same in three steps: the first and the last here, the middle one on any
  // thread, while the folder is in use. At most one sync of the log, one of
  // blobs and one snapshot may be in progress. The last step takes the status
  // of the middle one, and is left out if the folder is gone by then.
  PendingSync BeginSync() const;
  static absl::Status RunSync(const PendingSync& aSync);
  absl::Status FinishSync(const PendingSync& aSync,
                          const absl::Status& aStatus);

  PendingBlobSync BeginBlobSync() const;
  static absl::Status RunBlobSync(const PendingBlobSync& aSync);
  absl::Status FinishBlobSync(const PendingBlobSync& aSync,
                              const absl::Status& aStatus);

  PendingSnapshot BeginSnapshot(const SnapshotMark& aMark,
                                std::string aState) const;
  static absl::Status RunSnapshot(const PendingSnapshot& aSnapshot);
  absl::Status FinishSnapshot(const PendingSnapshot& aSnapshot,
                              const absl::Status& aStatus);

  // The part of the newest snapshot at this position. Files come in the order
  // of a transfer: blobs sorted by name, then "state". At the end of a file,
  // returns the first part of the next one.
  absl::StatusOr<SnapshotPart> ReadSnapshotPart(const std::string& aFile,
                                                uint64_t aOffset);

  // Stores the part if it continues the transfer; otherwise discards it. The
  // reply holds the position received so far; an empty file name in it asks the
  // sender to restart the transfer.
  absl::StatusOr<StoredSnapshotPart> StoreSnapshotPart(
    const SnapshotPart& aPart);

  // Names are letters, digits, '-', '_' and '.', without a leading dot.
  absl::Status WriteBlob(const std::string& aName,
                         uint64_t aOffset,
                         std::string_view aBytes);
  // Returns fewer bytes at the end of the file.
  absl::StatusOr<std::string> ReadBlob(const std::string& aName,
                                       uint64_t aOffset,
                                       uint32_t aLength);
  // Succeeds if the blob does not exist, since a replay of the log repeats
  // removals.
  absl::Status RemoveBlob(const std::string& aName);

private:
  explicit DataFolder(std::unique_ptr<DataFolderState> aState);

  std::unique_ptr<DataFolderState> mState;
};

} // namespace caraway
