// Guards against entries that are lost or made up when a replica reads its
// files after a crash or from a damaged disk.
#define BOOST_TEST_MODULE consensus_log_codec
#include <boost/test/unit_test.hpp>

#include "caraway/base/absl_view.h"
#include "caraway/base/error.h"
#include "caraway/base/random.h"
#include "caraway/consensus/log_codec.h"

using namespace caraway;

namespace {

RaftWrite
WriteOf(uint64_t aIndex, uint64_t aTerm)
{
  RaftWrite write;
  write.mHard = HardState{ Term(aTerm), ReplicaId(2) };
  LogEntry entry;
  entry.mIndex = LogIndex(aIndex);
  entry.mTerm = Term(aTerm);
  entry.mPayload = "payload " + std::to_string(aIndex);
  write.mAppend.push_back(entry);
  return write;
}

struct Segment
{
  std::string mBytes = EncodeSegmentHeader(7);
  // Offsets where the header and each record end.
  std::vector<size_t> mEnds{ mBytes.size() };

  void Add(const RaftWrite& aWrite, uint64_t aSynced)
  {
    mBytes += EncodeLogRecord(aWrite, mBytes.size(), aSynced);
    mEnds.push_back(mBytes.size());
  }
};

// A segment in which each record was synced before the next one was written.
Segment
SyncedSegment(uint64_t aCount)
{
  Segment segment;
  for (uint64_t index = 1; index <= aCount; ++index) {
    segment.Add(WriteOf(index, 1), segment.mBytes.size());
  }
  return segment;
}

bool
NamesFileAndOffset(const absl::Status& aStatus, size_t aOffset)
{
  const std::string_view text = StdView(aStatus.message());
  return KindOf(aStatus) == ErrorKind::eCorruptData &&
         text.find("log-7") != std::string_view::npos &&
         text.find("offset " + std::to_string(aOffset) + ":") !=
           std::string_view::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(torn_tail_is_cut_at_every_length)
{
  const Segment segment = SyncedSegment(4);
  for (size_t length = 0; length <= segment.mBytes.size(); ++length) {
    const std::string cut = segment.mBytes.substr(0, length);
    const auto contents = DecodeSegment(cut, "log-7", 7, true);
    BOOST_REQUIRE(contents.ok());
    size_t whole = 0;
    for (size_t end : segment.mEnds) {
      whole = end <= length ? end : whole;
    }
    BOOST_TEST(contents->mLength == whole);
    const bool atEnd = length != 0 && whole == length;
    BOOST_TEST(DecodeSegment(cut, "log-7", 7, false).ok() == atEnd);
  }
}

BOOST_AUTO_TEST_CASE(every_flipped_byte_is_detected)
{
  const Segment segment = SyncedSegment(4);
  for (size_t at = 0; at < segment.mBytes.size(); ++at) {
    std::string bytes = segment.mBytes;
    bytes[at] ^= 0x10;
    const auto contents = DecodeSegment(bytes, "log-7", 7, true);
    size_t start = 0;
    for (size_t end : segment.mEnds) {
      start = end <= at ? end : start;
    }
    if (start >= segment.mEnds[3]) {
      // Damage in the last record may also be a torn write.
      BOOST_REQUIRE(contents.ok());
      BOOST_TEST(contents->mLength == segment.mEnds[3]);
    } else {
      BOOST_TEST(NamesFileAndOffset(contents.status(), start));
    }
  }
}

// Unsynced pages may reach the disk in any order, so a later record can be
// whole while an earlier one is not.
BOOST_AUTO_TEST_CASE(hole_in_unsynced_records_is_a_torn_tail)
{
  Segment segment = SyncedSegment(2);
  const uint64_t synced = segment.mBytes.size();
  segment.Add(WriteOf(3, 1), synced);
  segment.Add(WriteOf(4, 1), synced);
  segment.mBytes[synced + 30] ^= 1;
  const auto contents = DecodeSegment(segment.mBytes, "log-7", 7, true);
  BOOST_REQUIRE(contents.ok());
  BOOST_TEST(contents->mLength == synced);
  BOOST_TEST(contents->mWrites.size() == 2u);
}

BOOST_AUTO_TEST_CASE(segment_under_another_name_is_refused)
{
  const Segment segment = SyncedSegment(2);
  BOOST_TEST(!DecodeSegment(segment.mBytes, "log-8", 8, false).ok());
}

BOOST_AUTO_TEST_CASE(replay_follows_truncation_and_snapshot)
{
  RaftWrite replace = WriteOf(2, 3);
  replace.mTruncateFrom = LogIndex(2);
  const auto plain =
    ReplayWrites({ WriteOf(1, 1), WriteOf(2, 1), WriteOf(3, 1), replace }, {});
  BOOST_REQUIRE(plain.ok());
  BOOST_REQUIRE_EQUAL(plain->mEntries.size(), 2u);
  BOOST_TEST(plain->mEntries[1].mTerm.mValue == 3u);
  BOOST_TEST(plain->mHard.mTerm.mValue == 3u);

  const SnapshotMark same{ LogIndex(2), Term(1), {} };
  const auto kept =
    ReplayWrites({ WriteOf(1, 1), WriteOf(2, 1), WriteOf(3, 1) }, same);
  BOOST_REQUIRE(kept.ok());
  BOOST_TEST(kept->mEntries.size() == 1u);

  // The entry at the snapshot has another term: the entries after it are
  // dropped, too.
  const SnapshotMark other{ LogIndex(2), Term(2), {} };
  const auto dropped =
    ReplayWrites({ WriteOf(1, 1), WriteOf(2, 1), WriteOf(3, 1) }, other);
  BOOST_REQUIRE(dropped.ok());
  BOOST_TEST(dropped->mEntries.empty());
}

BOOST_AUTO_TEST_CASE(missing_entries_are_refused)
{
  const auto gap = ReplayWrites({ WriteOf(1, 1), WriteOf(3, 1) }, {});
  BOOST_TEST((KindOf(gap.status()) == ErrorKind::eCorruptData));
  const SnapshotMark mark{ LogIndex(5), Term(1), {} };
  const auto late = ReplayWrites({ WriteOf(7, 1) }, mark);
  BOOST_TEST((KindOf(late.status()) == ErrorKind::eCorruptData));
}

BOOST_AUTO_TEST_CASE(snapshot_file_round_trip_and_damage)
{
  SnapshotMark mark{ LogIndex(9), Term(4), {} };
  mark.mReplicas.mReplicas.push_back({ ReplicaId(3), "a:1", true, 77 });
  const std::string bytes = EncodeSnapshotFile(mark, "the state");
  const auto contents = DecodeSnapshotFile(bytes, "snap-9");
  BOOST_REQUIRE(contents.ok());
  BOOST_TEST(contents->mState == "the state");
  BOOST_TEST(contents->mMark.mReplicas.mReplicas.at(0).mDisk == 77u);
  for (size_t at = 0; at < bytes.size(); ++at) {
    std::string damaged = bytes;
    damaged[at] ^= 1;
    BOOST_TEST((KindOf(DecodeSnapshotFile(damaged, "snap-9").status()) ==
                ErrorKind::eCorruptData));
    BOOST_TEST(!DecodeSnapshotFile(bytes.substr(0, at), "snap-9").ok());
  }
}

BOOST_AUTO_TEST_CASE(random_bytes_never_crash)
{
  Random random(5);
  const Segment segment = SyncedSegment(3);
  for (int round = 0; round < 5000; ++round) {
    std::string bytes = segment.mBytes;
    for (int change = 0; change < 4; ++change) {
      bytes[DrawBelow(random, bytes.size())] =
        static_cast<char>(random.mEngine());
    }
    const auto contents = DecodeSegment(bytes, "log-7", 7, round % 2 == 0);
    if (contents.ok()) {
      BOOST_TEST(contents->mLength <= bytes.size());
    }
  }
}
