// Fuzzes the decoders of log segments, snapshot files, the identity file and
// replica sets. Random bytes hardly ever pass the checksums, so the input is
// also used as the payload of a record and of a snapshot, which must be read
// back unchanged.
#include "caraway/consensus/log_codec.h"
#include "caraway/consensus/replica_codec.h"
#include "fuzz/decode/decode.h"

using namespace caraway;

int
LLVMFuzzerTestOneInput(const uint8_t* aData, size_t aSize)
{
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  CheckRoundTrip(input, DecodeReplicaSet, EncodeReplicaSet);
  for (const bool last : { false, true }) {
    const auto contents = DecodeSegment(input, "log-7", 7, last);
    if (contents.ok()) {
      Require(contents->mLength <= input.size(), "a segment grew");
      (void)ReplayWrites(contents->mWrites, {});
    }
  }
  (void)DecodeMetaFile(input, "meta");
  CheckRoundTrip(
    input,
    [](std::string_view aBytes) {
      return DecodeSnapshotFile(aBytes, "snap-1");
    },
    [](const SnapshotContents& aContents) {
      return EncodeSnapshotFile(aContents.mMark, aContents.mState);
    });

  RaftWrite write;
  write.mHard = HardState{ Term(3), ReplicaId(2) };
  LogEntry entry;
  entry.mIndex = LogIndex(1);
  entry.mTerm = Term(3);
  entry.mPayload = input;
  write.mAppend.push_back(entry);
  std::string segment = EncodeSegmentHeader(7);
  segment += EncodeLogRecord(write, segment.size(), segment.size());
  const auto contents = DecodeSegment(segment, "log-7", 7, false);
  Require(contents.ok() && contents->mLength == segment.size() &&
            contents->mWrites.size() == 1 &&
            contents->mWrites[0].mAppend.at(0).mPayload == input,
          "a record was not read back");
  const auto snapshot = DecodeSnapshotFile(
    EncodeSnapshotFile({ LogIndex(1), Term(3), {} }, input), "snap-1");
  Require(snapshot.ok() && snapshot->mState == input,
          "a snapshot was not read back");
  return 0;
}
