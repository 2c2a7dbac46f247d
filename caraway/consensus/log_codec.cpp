// Encoding of log segments, snapshot files and the meta file.

#include "caraway/consensus/log_codec.h"

#include <cstring>

#include <xxhash.h>

#include "absl/strings/str_cat.h"
#include "caraway/base/absl_view.h"
#include "caraway/base/error.h"
#include "caraway/consensus/serialize_raft.h"
#include "caraway/wire/codec.h"

namespace caraway {

template<class Archive>
void
serialize(Archive& aArchive, RaftWrite& aValue)
{
  aArchive(aValue.mHard, aValue.mTruncateFrom, aValue.mAppend);
}

template<class Archive>
void
serialize(Archive& aArchive, SnapshotContents& aValue)
{
  aArchive(aValue.mMark, aValue.mState);
}

namespace {

constexpr uint32_t kVersion = 1;
constexpr std::string_view kSegmentMagic = "CRWYLOG";
constexpr std::string_view kSnapshotMagic = "CRWYSNP";
constexpr std::string_view kMetaMagic = "CRWYMET";
constexpr std::string_view kRecordMagic = "RECD";

struct FileHeader
{
  char mMagic[8] = {};
  uint32_t mVersion = kVersion;
  uint32_t mUnused = 0;
  uint64_t mSequence = 0; // segment number, payload length or folder identity
  uint64_t mCheck = 0;    // of the fields above and, in a snapshot, the payload
};

struct RecordHeader
{
  char mMagic[4] = {};
  uint32_t mLength = 0; // of the payload
  uint64_t mSynced = 0; // bytes of the segment synced before this record
  uint64_t mCheck = 0;  // of the fields above and the payload; seed: offset
};

static_assert(sizeof(FileHeader) == 32 && sizeof(RecordHeader) == 24);

template<class Header>
uint64_t
Checksum(const Header& aHeader, std::string_view aPayload, uint64_t aSeed)
{
  const uint64_t first =
    XXH3_64bits_withSeed(&aHeader, offsetof(Header, mCheck), aSeed);
  return XXH3_64bits_withSeed(aPayload.data(), aPayload.size(), first);
}

template<class Header>
std::string
Join(const Header& aHeader, std::string_view aPayload)
{
  std::string out(sizeof(aHeader) + aPayload.size(), '\0');
  std::memcpy(out.data(), &aHeader, sizeof(aHeader));
  if (!aPayload.empty()) {
    std::memcpy(out.data() + sizeof(aHeader), aPayload.data(), aPayload.size());
  }
  return out;
}

template<class Header>
Header
ReadHeader(std::string_view aBytes)
{
  Header header;
  std::memcpy(&header, aBytes.data(), sizeof(header));
  return header;
}

absl::Status
Corrupt(std::string_view aFile, uint64_t aOffset, std::string_view aWhat)
{
  return MakeError(
    ErrorKind::eCorruptData,
    StdView(absl::StrCat(AbslView(aFile),
                         " is damaged at offset ",
                         aOffset,
                         ": ",
                         AbslView(aWhat))),
    "replace this replica: start it with an empty data folder and a new "
    "replica id");
}

absl::Status
CheckFileHeader(const FileHeader& aHeader,
                std::string_view aMagic,
                std::string_view aPayload,
                std::string_view aFile)
{
  if (std::memcmp(aHeader.mMagic, aMagic.data(), aMagic.size()) != 0 ||
      Checksum(aHeader, aPayload, 0) != aHeader.mCheck) {
    return Corrupt(aFile, 0, "bad header or checksum");
  }
  if (aHeader.mVersion != kVersion) {
    // Not damaged: it must not be set aside.
    return MakeError(ErrorKind::eConflict,
                     StdView(absl::StrCat(AbslView(aFile),
                                          " has format version ",
                                          aHeader.mVersion)),
                     "start the program version that wrote it");
  }
  return absl::OkStatus();
}

std::string
MakeFile(std::string_view aMagic, uint64_t aSequence, std::string_view aPayload)
{
  FileHeader header;
  std::memcpy(header.mMagic, aMagic.data(), aMagic.size());
  header.mSequence = aSequence;
  header.mCheck = Checksum(header, aPayload, 0);
  return Join(header, aPayload);
}

// A record with a valid checksum.
struct Record
{
  uint64_t mSynced = 0;
  std::string_view mPayload;
};

// None if there is no valid record at this offset.
std::optional<Record>
RecordAt(std::string_view aBytes, uint64_t aOffset)
{
  const std::string_view rest = aBytes.substr(aOffset);
  if (rest.size() < sizeof(RecordHeader) || !rest.starts_with(kRecordMagic)) {
    return std::nullopt;
  }
  const auto header = ReadHeader<RecordHeader>(rest);
  if (header.mLength > rest.size() - sizeof(header)) {
    return std::nullopt;
  }
  const std::string_view payload = rest.substr(sizeof(header), header.mLength);
  if (Checksum(header, payload, aOffset) != header.mCheck) {
    return std::nullopt;
  }
  return Record{ header.mSynced, payload };
}

// True if a valid record further on states that the bytes here were synced.
bool
IsKnownSynced(std::string_view aBytes, uint64_t aOffset)
{
  for (size_t at = aBytes.find(kRecordMagic, aOffset + 1);
       at != std::string_view::npos;
       at = aBytes.find(kRecordMagic, at + 1)) {
    const std::optional<Record> record = RecordAt(aBytes, at);
    if (record && record->mSynced > aOffset) {
      return true;
    }
  }
  return false;
}

} // namespace

std::string
EncodeSegmentHeader(uint64_t aSequence)
{
  return MakeFile(kSegmentMagic, aSequence, {});
}

std::string
EncodeLogRecord(const RaftWrite& aWrite, uint64_t aOffset, uint64_t aSynced)
{
  const std::string payload = EncodeWith(aWrite);
  RecordHeader header;
  std::memcpy(header.mMagic, kRecordMagic.data(), kRecordMagic.size());
  header.mLength = static_cast<uint32_t>(payload.size());
  header.mSynced = aSynced;
  header.mCheck = Checksum(header, payload, aOffset);
  return Join(header, payload);
}

absl::StatusOr<SegmentContents>
DecodeSegment(std::string_view aBytes,
              std::string_view aFile,
              uint64_t aSequence,
              bool aLast)
{
  SegmentContents contents;
  absl::Status header = Corrupt(aFile, 0, "the header is cut off");
  if (aBytes.size() >= sizeof(FileHeader)) {
    const auto stored = ReadHeader<FileHeader>(aBytes);
    header = CheckFileHeader(stored, kSegmentMagic, {}, aFile);
    if (header.ok() && stored.mSequence != aSequence) {
      header =
        Corrupt(aFile, 0, "the sequence number does not match the file name");
    }
  }
  if (!header.ok()) {
    if (aLast && !IsKnownSynced(aBytes, 0)) {
      return contents;
    }
    return header;
  }
  contents.mLength = sizeof(FileHeader);
  while (contents.mLength < aBytes.size()) {
    const std::optional<Record> record = RecordAt(aBytes, contents.mLength);
    if (!record) {
      if (aLast && !IsKnownSynced(aBytes, contents.mLength)) {
        return contents;
      }
      return Corrupt(aFile, contents.mLength, "bad record");
    }
    auto write = DecodeWith<RaftWrite>(record->mPayload);
    if (!write.ok()) {
      return Corrupt(aFile, contents.mLength, "a record cannot be decoded");
    }
    contents.mWrites.push_back(*std::move(write));
    contents.mLength += sizeof(RecordHeader) + record->mPayload.size();
  }
  return contents;
}

namespace {

// aBefore: where the log ended before the first write; 0: unknown.
absl::Status
ReplayOne(RaftRecovered& aState, RaftWrite& aWrite, uint64_t& aBefore)
{
  if (aWrite.mHard) {
    aState.mHard = *aWrite.mHard;
  }
  std::vector<LogEntry>& entries = aState.mEntries;
  if (!aWrite.mTruncateFrom.IsNone()) {
    while (!entries.empty() && entries.back().mIndex >= aWrite.mTruncateFrom) {
      entries.pop_back();
    }
    aBefore = std::min(aBefore, aWrite.mTruncateFrom.mValue - 1);
  }
  for (LogEntry& entry : aWrite.mAppend) {
    if (!entries.empty() &&
        entry.mIndex.mValue != entries.back().mIndex.mValue + 1) {
      return Corrupt("the log", 0, "entries are missing or out of order");
    }
    entries.push_back(std::move(entry));
  }
  return absl::OkStatus();
}

// False if the entry at the snapshot's index has another term: the log was then
// replaced by the snapshot.
bool
ContinuesSnapshot(const RaftRecovered& aState)
{
  for (const LogEntry& entry : aState.mEntries) {
    if (entry.mIndex == aState.mSnapshot.mIndex) {
      return entry.mTerm == aState.mSnapshot.mTerm;
    }
  }
  return true;
}

} // namespace

bool
StatesLogEnd(const RaftWrite& aWrite)
{
  return !aWrite.mTruncateFrom.IsNone() && aWrite.mAppend.empty();
}

absl::StatusOr<RaftRecovered>
ReplayWrites(std::vector<RaftWrite> aWrites, const SnapshotMark& aSnapshot)
{
  RaftRecovered state;
  state.mSnapshot = aSnapshot;
  uint64_t before = 0;
  if (!aWrites.empty() && StatesLogEnd(aWrites.front())) {
    before = aWrites.front().mTruncateFrom.mValue - 1;
  }
  for (RaftWrite& write : aWrites) {
    if (absl::Status status = ReplayOne(state, write, before); !status.ok()) {
      return status;
    }
  }
  std::vector<LogEntry>& entries = state.mEntries;
  if (!ContinuesSnapshot(state)) {
    entries.clear();
  }
  std::erase_if(entries, [&](const LogEntry& aEntry) {
    return aEntry.mIndex <= aSnapshot.mIndex;
  });
  const uint64_t covered = aSnapshot.mIndex.mValue;
  if (entries.empty() ? before > covered
                      : entries.front().mIndex.mValue != covered + 1) {
    return Corrupt("the log", 0, "entries after the snapshot are missing");
  }
  return state;
}

std::string
EncodeMetaFile(uint64_t aDisk)
{
  return MakeFile(kMetaMagic, aDisk, {});
}

absl::StatusOr<uint64_t>
DecodeMetaFile(std::string_view aBytes, std::string_view aFile)
{
  if (aBytes.size() != sizeof(FileHeader)) {
    return Corrupt(aFile, 0, "wrong length");
  }
  const auto header = ReadHeader<FileHeader>(aBytes);
  if (absl::Status status = CheckFileHeader(header, kMetaMagic, {}, aFile);
      !status.ok()) {
    return status;
  }
  return header.mSequence;
}

std::string
EncodeSnapshotFile(const SnapshotMark& aMark, std::string_view aState)
{
  const std::string payload =
    EncodeWith(SnapshotContents{ aMark, std::string(aState) });
  return MakeFile(kSnapshotMagic, payload.size(), payload);
}

absl::StatusOr<SnapshotContents>
DecodeSnapshotFile(std::string_view aBytes, std::string_view aFile)
{
  if (aBytes.size() < sizeof(FileHeader)) {
    return Corrupt(aFile, 0, "the header is cut off");
  }
  const auto header = ReadHeader<FileHeader>(aBytes);
  const std::string_view payload = aBytes.substr(sizeof(FileHeader));
  if (absl::Status status =
        CheckFileHeader(header, kSnapshotMagic, payload, aFile);
      !status.ok()) {
    return status;
  }
  auto contents = DecodeWith<SnapshotContents>(payload);
  if (!contents.ok()) {
    return Corrupt(aFile, sizeof(FileHeader), "the state cannot be decoded");
  }
  return contents;
}

} // namespace caraway
