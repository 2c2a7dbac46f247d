#pragma once
// Format of log segments and snapshot files, as pure functions.
//
// A segment is a header and records. Each record states how many bytes of its
// segment were synced before it was written. That tells a torn tail from a
// damaged disk: bytes that a later record calls synced must not be bad.

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "caraway/consensus/raft.h"

namespace caraway {

// Header of a new segment.
std::string
EncodeSegmentHeader(uint64_t aSequence);

// One write as one record, to be placed at aOffset of its segment.
std::string
EncodeLogRecord(const RaftWrite& aWrite, uint64_t aOffset, uint64_t aSynced);

// What a segment holds: the writes in order, and the length of the sound part.
struct SegmentContents
{
  std::vector<RaftWrite> mWrites; // mWrite is not stored
  uint64_t mLength = 0;           // to be cut here; 0: not even a whole header
};

// aLast: a torn tail is only possible in the newest segment. Errors are
// kCorruptData and name aFile and the offset.
absl::StatusOr<SegmentContents>
DecodeSegment(std::string_view aBytes,
              std::string_view aFile,
              uint64_t aSequence,
              bool aLast);

// Carries the writes of all segments together with the snapshot. Fails when
// entries are missing.
absl::StatusOr<RaftRecovered>
ReplayWrites(std::vector<RaftWrite> aWrites, const SnapshotMark& aSnapshot);

// The file with the folder's identity.
std::string
EncodeMetaFile(uint64_t aDisk);

absl::StatusOr<uint64_t>
DecodeMetaFile(std::string_view aBytes, std::string_view aFile);

struct SnapshotContents
{
  SnapshotMark mMark;
  std::string mState;
};

std::string
EncodeSnapshotFile(const SnapshotMark& aMark, std::string_view aState);

absl::StatusOr<SnapshotContents>
DecodeSnapshotFile(std::string_view aBytes, std::string_view aFile);

} // namespace caraway
