#pragma once
// The data folder of one control replica.
//
//   lock          held while a process uses the folder
//   meta          identity of the folder
//   log-*.seg     log segments: checksummed records (see log_codec.h)
//   snap-*        the newest snapshot
//   snap.part     state of a snapshot that is being received
//   blobs/        files and results of batch jobs
//
// Every failure of a write or sync is final: all later calls return it, since
// the kernel may have dropped the pages that it could not write.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "caraway/consensus/raft.h"

namespace caraway {

struct DataFolderState; // data_folder_state.h

struct DataFolderSettings
{
  uint64_t mSegmentBytes = 16 << 20; // a new segment is begun above this
  uint32_t mPartBytes = 256 * 1024;  // piece of a snapshot transfer
  size_t mMaxOpenBlobs = 128;        // cached descriptors
};

// Result of StoreSnapshotPart. The mark is set and the state filled when the
// snapshot is complete, synced and in place.
struct StoredSnapshotPart
{
  SnapshotPartReply mReply; // without term and send time
  SnapshotMark mMark;
  std::string mState;
};

class DataFolder
{
public:
  // Recovers the folder, or creates it. Fails if another process uses it or if
  // data is damaged.
  static absl::StatusOr<std::unique_ptr<DataFolder>> Open(
    const std::string& aPath,
    const DataFolderSettings& aSettings = {});

  ~DataFolder();
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  // What was found at Open. Moved out by the first call.
  RaftRecovered Recovered();
  std::string RecoveredState(); // empty without a snapshot

  // Writes to the segment; durable after the next Sync.
  absl::Status Append(const RaftWrite& aWrite);
  absl::Status Sync();

  // Syncs the blobs, stores the snapshot, drops the log that it covers.
  absl::Status SaveSnapshot(const SnapshotMark& aMark, std::string_view aState);

  // The piece of the newest snapshot at this position: blobs in the order of
  // their names, then "state". At the end of a file, the next file's first one.
  absl::StatusOr<SnapshotPart> ReadSnapshotPart(const std::string& aFile,
                                                uint64_t aOffset);

  // A piece that does not continue what is held is answered with the position
  // held; an empty file name asks for the transfer to start anew.
  absl::StatusOr<StoredSnapshotPart> StoreSnapshotPart(
    const SnapshotPart& aPart);

  // Names are letters, digits, '-', '_' and '.', without a leading dot.
  absl::Status WriteBlob(const std::string& aName,
                         uint64_t aOffset,
                         std::string_view aBytes);
  // Fewer bytes come back at the end of the file.
  absl::StatusOr<std::string> ReadBlob(const std::string& aName,
                                       uint64_t aOffset,
                                       uint32_t aLength);
  // Removing a blob that does not exist succeeds, since replay repeats it.
  absl::Status RemoveBlob(const std::string& aName);

private:
  explicit DataFolder(std::unique_ptr<DataFolderState> aState);

  std::unique_ptr<DataFolderState> mState;
};

} // namespace caraway
