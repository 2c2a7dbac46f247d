#pragma once
// Encoding of log segments, snapshot files and the meta file, as pure
// functions.
//
// A segment is a header followed by records. Each record states how many bytes
// of its segment were synced before it was written. This tells a torn tail from
// a damaged disk: invalid bytes that a later record states as synced are
// damage.

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "caraway/consensus/raft.h"

namespace caraway {

// The header of a new segment.
std::string
EncodeSegmentHeader(uint64_t aSequence);

// One write as one record. aOffset: where the record starts in its segment,
// which its checksum covers; aSynced: bytes of the segment synced so far.
std::string
EncodeLogRecord(const RaftWrite& aWrite, uint64_t aOffset, uint64_t aSynced);

// The writes of a segment in order, and the length of its valid part.
struct SegmentContents
{
  std::vector<RaftWrite> mWrites; // mWrite is not stored
  uint64_t mLength = 0; // truncate the file to this; 0: incomplete header
};

// aLast: this is the newest segment, the only one that may have a torn tail.
// Errors are eCorruptData, or eConflict for a file of another program version,
// and name aFile.
absl::StatusOr<SegmentContents>
DecodeSegment(std::string_view aBytes,
              std::string_view aFile,
              uint64_t aSequence,
              bool aLast);

// True for a record that changes no entries and states where the log ends
// before it: at the entry before mTruncateFrom.
bool
StatesLogEnd(const RaftWrite& aWrite);

// Rebuilds the recovered state from the writes of all segments, in order, and
// the newest snapshot. Fails if entries are missing; entries before the first
// write are, if it states where the log ended and the snapshot ends before
// that.
absl::StatusOr<RaftRecovered>
ReplayWrites(std::vector<RaftWrite> aWrites, const SnapshotMark& aSnapshot);

// The meta file holds the identity of the data folder.
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
