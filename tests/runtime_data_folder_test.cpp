// Tests of the data folder on a real file system. Each test names the loss or
// damage it guards against.
#define BOOST_TEST_MODULE runtime_data_folder
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <fstream>
#include <functional>

#include <sys/resource.h>

#include "caraway/base/error.h"
#include "caraway/consensus/log_codec.h"
#include "tests/data_folder_fixture.h"

using namespace caraway;

namespace {

void
FlipByte(const fs::path& aFile, uint64_t aOffset)
{
  std::fstream file(aFile, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(static_cast<std::streamoff>(aOffset));
  const int byte = file.get();
  file.seekp(static_cast<std::streamoff>(aOffset));
  file.put(static_cast<char>(byte ^ 0x20));
}

// Transfers the newest snapshot of one folder to another. aDisturb is called
// before each part is stored; true drops the part.
SnapshotMark
Transfer(DataFolder& aFrom,
         std::unique_ptr<DataFolder>& aTo,
         const std::function<bool(const SnapshotPart&)>& aDisturb)
{
  std::string file;
  uint64_t offset = 0;
  for (int piece = 0; piece < 1000; ++piece) {
    auto part = aFrom.ReadSnapshotPart(file, offset);
    BOOST_REQUIRE_MESSAGE(part.ok(), part.status().ToString());
    if (aDisturb(*part)) {
      continue;
    }
    auto stored = aTo->StoreSnapshotPart(*part);
    BOOST_REQUIRE_MESSAGE(stored.ok(), stored.status().ToString());
    if (stored->mReply.mInstalled) {
      BOOST_TEST(stored->mState == "the state");
      return stored->mMark;
    }
    file = stored->mReply.mFile;
    offset = stored->mReply.mNextOffset;
  }
  BOOST_FAIL("the transfer does not end");
  return {};
}

} // namespace

// Guards against a leader that lists the folder of blobs for each part that it
// sends, which keeps it from its heartbeats once there are thousands.
BOOST_AUTO_TEST_CASE(parts_of_a_snapshot_come_without_a_listing)
{
  TemporaryFolder place;
  {
    auto folder = MustOpen(place.mPath);
    for (const char* name : { "b", "d", "gone" }) {
      BOOST_REQUIRE(folder->WriteBlob(name, 0, name).ok());
    }
  }
  auto folder = MustOpen(place.mPath);
  BOOST_REQUIRE(folder->WriteBlob("a", 0, "a").ok());
  BOOST_REQUIRE(folder->WriteBlob("c", 0, "c").ok());
  BOOST_REQUIRE(folder->RemoveBlob("gone").ok());
  BOOST_REQUIRE(folder->SaveSnapshot(MarkOf(1, 1), "the state").ok());
  // Only a listing would show it.
  std::ofstream(fs::path(place.mPath) / "blobs" / "by-hand") << "x";
  std::vector<std::string> files;
  for (std::string at; files.empty() || files.back() != "state";) {
    auto part = folder->ReadSnapshotPart(at, at.empty() ? 0 : at.size());
    BOOST_REQUIRE_MESSAGE(part.ok(), part.status().ToString());
    files.push_back(part->mFile);
    at = part->mFile;
  }
  const std::vector<std::string> expected{ "a", "b", "c", "d", "state" };
  BOOST_TEST(files == expected, boost::test_tools::per_element());
}

// Guards against a leader that waits for the disk with each part that it sends.
BOOST_AUTO_TEST_CASE(parts_of_a_snapshot_sync_nothing)
{
  TemporaryFolder place;
  size_t syncs = 0;
  DataFolderSettings settings;
  settings.mMaxOpenBlobs = 2;
  settings.mWatch =
    [&](const FileChange& aChange) -> std::optional<absl::Status> {
    syncs += aChange.mKind == FileChange::Kind::eSync ? 1 : 0;
    return std::nullopt;
  };
  auto folder = MustOpen(place.mPath, settings);
  for (const char* name : { "a", "b", "c", "d", "e" }) {
    BOOST_REQUIRE(folder->WriteBlob(name, 0, name).ok());
  }
  BOOST_REQUIRE(folder->SaveSnapshot(MarkOf(1, 1), "the state").ok());
  // Not synced yet.
  for (const char* name : { "d", "e" }) {
    BOOST_REQUIRE(folder->WriteBlob(name, 1, "more").ok());
  }
  syncs = 0;
  size_t bytes = 0;
  std::string file;
  for (uint64_t offset = 0; file != "state";) {
    auto part = folder->ReadSnapshotPart(file, offset);
    BOOST_REQUIRE_MESSAGE(part.ok(), part.status().ToString());
    bytes += part->mBytes.size();
    file = part->mFile;
    offset = part->mOffset + part->mBytes.size();
  }
  BOOST_TEST(bytes > 13u); // of the blobs, and the state
  BOOST_TEST(syncs == 0u);
}

// Guards against losing the log, the vote or the folder's identity on restart.
BOOST_AUTO_TEST_CASE(reopening_recovers_synced_data)
{
  TemporaryFolder place;
  uint64_t disk = 0;
  {
    auto folder = MustOpen(place.mPath);
    disk = folder->Recovered().mDisk;
    AppendRange(*folder, 1, 5, 3);
    RaftWrite replace = WriteOf(4, 4);
    replace.mTruncateFrom = LogIndex(4);
    BOOST_REQUIRE(folder->Append(replace).ok());
    BOOST_REQUIRE(folder->Sync().ok());
  }
  const RaftRecovered recovered = MustOpen(place.mPath)->Recovered();
  BOOST_TEST(disk != 0u);
  BOOST_TEST(recovered.mDisk == disk);
  BOOST_TEST(recovered.mHard.mTerm.mValue == 4u);
  BOOST_TEST(recovered.mHard.mVotedFor.mValue == 2u);
  BOOST_REQUIRE_EQUAL(recovered.mEntries.size(), 4u);
  BOOST_TEST(recovered.mEntries[3].mTerm.mValue == 4u);
}

// Guards against two processes writing to the same log.
BOOST_AUTO_TEST_CASE(folder_is_locked)
{
  TemporaryFolder place;
  auto folder = MustOpen(place.mPath);
  BOOST_TEST(
    (KindOf(DataFolder::Open(place.mPath).status()) == ErrorKind::eConflict));
  folder.reset();
  MustOpen(place.mPath);
}

// Guards against a replica that cannot start after a power loss during a write,
// and against one that appends after the torn record.
BOOST_AUTO_TEST_CASE(torn_tail_is_truncated_and_the_log_continues)
{
  for (uint64_t lost = 1; lost < 150; lost += 7) {
    TemporaryFolder place;
    {
      AppendRange(*MustOpen(place.mPath), 1, 3, 1);
    }
    const fs::path segment = FilesWithPrefix(place.mPath, "log-").back();
    fs::resize_file(segment, fs::file_size(segment) - lost);
    {
      auto folder = MustOpen(place.mPath);
      BOOST_TEST(folder->Recovered().mEntries.size() == 2u);
      AppendRange(*folder, 3, 4, 2);
    }
    BOOST_TEST(MustOpen(place.mPath)->Recovered().mEntries.size() == 4u);
  }
}

// Guards against losing the vote when only the start of a new segment reached
// the disk.
BOOST_AUTO_TEST_CASE(torn_new_segment_keeps_the_vote)
{
  TemporaryFolder place;
  DataFolderSettings settings;
  settings.mSegmentBytes = 300;
  {
    AppendRange(*MustOpen(place.mPath, settings), 1, 3, 7);
  }
  const auto segments = FilesWithPrefix(place.mPath, "log-");
  BOOST_REQUIRE(segments.size() >= 2u);
  for (uint64_t length : { 40, 32, 10, 0 }) {
    fs::resize_file(FilesWithPrefix(place.mPath, "log-").back(), length);
    const RaftRecovered recovered =
      MustOpen(place.mPath, settings)->Recovered();
    BOOST_TEST(recovered.mHard.mTerm.mValue == 7u);
    BOOST_TEST(!recovered.mEntries.empty());
  }
}

// Guards against a replica that truncates acknowledged entries after a damaged
// record instead of reporting the damage.
BOOST_AUTO_TEST_CASE(damage_before_the_tail_is_rejected)
{
  TemporaryFolder place;
  {
    AppendRange(*MustOpen(place.mPath), 1, 5, 1);
  }
  const fs::path segment = FilesWithPrefix(place.mPath, "log-").front();
  FlipByte(segment, 300);
  const absl::Status status = DataFolder::Open(place.mPath).status();
  BOOST_TEST((KindOf(status) == ErrorKind::eCorruptData));
  const std::string text(status.message());
  BOOST_TEST(text.find(segment.filename().string()) != std::string::npos);
  BOOST_TEST(text.find("offset") != std::string::npos);
  FlipByte(segment, 300);
  BOOST_TEST(MustOpen(place.mPath)->Recovered().mEntries.size() == 5u);
}

// Guards against starting without the vote or log entries of a deleted file.
BOOST_AUTO_TEST_CASE(missing_files_are_rejected)
{
  DataFolderSettings settings;
  settings.mSegmentBytes = 300;
  for (const char* victim : { "log-", "meta" }) {
    TemporaryFolder place;
    {
      AppendRange(*MustOpen(place.mPath, settings), 1, 8, 1);
    }
    const auto files = FilesWithPrefix(place.mPath, victim);
    fs::remove(files[files.size() / 2]);
    BOOST_TEST((KindOf(DataFolder::Open(place.mPath).status()) ==
                ErrorKind::eCorruptData));
  }
  TemporaryFolder place;
  {
    AppendRange(*MustOpen(place.mPath), 1, 2, 1);
  }
  fs::remove(FilesWithPrefix(place.mPath, "log-").front());
  // Again and again: a refusal leaves nothing that looks like a new folder.
  for (int attempt = 0; attempt < 2; ++attempt) {
    BOOST_TEST((KindOf(DataFolder::Open(place.mPath).status()) ==
                ErrorKind::eCorruptData));
  }
}

// Guards against a log that grows without bound, and against losing entries
// after the snapshot when covered segments are removed.
BOOST_AUTO_TEST_CASE(snapshot_replaces_the_covered_log)
{
  TemporaryFolder place;
  DataFolderSettings settings;
  settings.mSegmentBytes = 500;
  {
    auto folder = MustOpen(place.mPath, settings);
    AppendRange(*folder, 1, 40, 2);
    const size_t before = FilesWithPrefix(place.mPath, "log-").size();
    BOOST_REQUIRE(folder->SaveSnapshot(MarkOf(37, 2), "the state").ok());
    BOOST_TEST(before > 10u);
    BOOST_TEST(FilesWithPrefix(place.mPath, "log-").size() <= 4u);
    AppendRange(*folder, 41, 42, 2);
    BOOST_REQUIRE(folder->SaveSnapshot(MarkOf(38, 2), "newer").ok());
    BOOST_TEST(FilesWithPrefix(place.mPath, "snap-").size() == 1u);
  }
  auto folder = MustOpen(place.mPath, settings);
  const RaftRecovered recovered = folder->Recovered();
  BOOST_TEST(folder->RecoveredState() == "newer");
  BOOST_TEST(recovered.mSnapshot.mIndex.mValue == 38u);
  BOOST_REQUIRE_EQUAL(recovered.mEntries.size(), 4u);
  BOOST_TEST(recovered.mEntries[0].mIndex.mValue == 39u);
  BOOST_TEST(recovered.mHard.mTerm.mValue == 2u);
  // After recovery, the log is still known to continue the snapshot, so the
  // next snapshot keeps the entry after it.
  BOOST_REQUIRE(folder->SaveSnapshot(MarkOf(41, 2), "third").ok());
  folder.reset();
  BOOST_TEST(MustOpen(place.mPath)->Recovered().mEntries.size() == 1u);
}

// Guards against entries of a deposed leader that reappear after an installed
// snapshot, also after a power loss right after the snapshot's rename.
BOOST_AUTO_TEST_CASE(conflicting_log_does_not_survive_a_snapshot)
{
  TemporaryFolder place;
  {
    AppendRange(*MustOpen(place.mPath), 1, 12, 1);
  }
  std::ofstream(place.mPath + "/snap-00000000000000000010", std::ios::binary)
    << EncodeSnapshotFile(MarkOf(10, 2), "the state");
  {
    auto folder = MustOpen(place.mPath);
    BOOST_TEST(folder->Recovered().mEntries.empty());
    AppendRange(*folder, 11, 11, 3);
  }
  const RaftRecovered recovered = MustOpen(place.mPath)->Recovered();
  BOOST_REQUIRE_EQUAL(recovered.mEntries.size(), 1u);
  BOOST_TEST(recovered.mEntries[0].mTerm.mValue == 3u);
}

// Guards against a replica that loads a damaged state.
BOOST_AUTO_TEST_CASE(damaged_snapshot_is_rejected)
{
  TemporaryFolder place;
  {
    auto folder = MustOpen(place.mPath);
    AppendRange(*folder, 1, 3, 1);
    BOOST_REQUIRE(folder->SaveSnapshot(MarkOf(2, 1), "the state").ok());
  }
  FlipByte(FilesWithPrefix(place.mPath, "snap-").front(), 50);
  BOOST_TEST((KindOf(DataFolder::Open(place.mPath).status()) ==
              ErrorKind::eCorruptData));
}

// Guards against a transfer that loses or mixes up parts: every third part is
// lost, every second one is duplicated, and the receiver restarts once.
BOOST_AUTO_TEST_CASE(transfer_survives_loss_duplication_and_restart)
{
  TemporaryFolder one;
  TemporaryFolder two;
  DataFolderSettings settings;
  settings.mPartBytes = 10;
  auto from = MustOpen(one.mPath, settings);
  AppendRange(*from, 1, 5, 2);
  const std::string data = "0123456789abcdefghijklmnopq";
  BOOST_REQUIRE(from->WriteBlob("batch_1.data", 0, data).ok());
  BOOST_REQUIRE(from->WriteBlob("batch_1.index", 0, "").ok());
  BOOST_REQUIRE(from->WriteBlob("file-2", 5, data).ok());
  BOOST_REQUIRE(from->SaveSnapshot(MarkOf(4, 2), "the state").ok());

  auto to = MustOpen(two.mPath, settings);
  AppendRange(*to, 1, 9, 1); // from a deposed leader
  BOOST_REQUIRE(to->WriteBlob("file-0", 0, "removed long ago").ok());
  int count = 0;
  bool restarted = false;
  const SnapshotMark mark = Transfer(*from, to, [&](const SnapshotPart& aPart) {
    ++count;
    if (aPart.mFile == "file-2" && !std::exchange(restarted, true)) {
      to.reset();
      to = MustOpen(two.mPath, settings);
    }
    if (count % 2 == 0 && !aPart.mAllDone) {
      BOOST_REQUIRE(to->StoreSnapshotPart(aPart).ok());
    }
    return count % 3 == 0;
  });
  BOOST_TEST(restarted);
  BOOST_TEST(mark.mIndex.mValue == 4u);
  BOOST_TEST(*to->ReadBlob("batch_1.data", 0, 100) == data);
  BOOST_TEST(*to->ReadBlob("batch_1.index", 0, 100) == "");
  BOOST_TEST(*to->ReadBlob("file-2", 5, 100) == data);
  BOOST_TEST(
    (KindOf(to->ReadBlob("file-0", 0, 1).status()) == ErrorKind::eNotFound));
  AppendRange(*to, 5, 6, 2);
  to.reset();
  const RaftRecovered recovered = MustOpen(two.mPath)->Recovered();
  BOOST_TEST(recovered.mSnapshot.mIndex.mValue == 4u);
  BOOST_TEST(recovered.mEntries.size() == 2u);
}

// Guards against a transfer that never ends because a blob is removed while it
// is sent.
BOOST_AUTO_TEST_CASE(transfer_ends_if_a_blob_is_removed_meanwhile)
{
  TemporaryFolder one;
  TemporaryFolder two;
  DataFolderSettings settings;
  settings.mPartBytes = 10;
  auto from = MustOpen(one.mPath, settings);
  AppendRange(*from, 1, 5, 2);
  const std::string data = "0123456789abcdefghijklmnopq";
  for (const char* name : { "file-1", "file-2", "file-3" }) {
    BOOST_REQUIRE(from->WriteBlob(name, 0, data).ok());
  }
  BOOST_REQUIRE(from->SaveSnapshot(MarkOf(4, 2), "the state").ok());
  auto to = MustOpen(two.mPath, settings);
  const SnapshotMark mark = Transfer(*from, to, [&](const SnapshotPart& aPart) {
    if (aPart.mFile == "file-2" && aPart.mOffset == 10) {
      BOOST_REQUIRE(from->RemoveBlob("file-2").ok());
    }
    return false;
  });
  BOOST_TEST(mark.mIndex.mValue == 4u);
  BOOST_TEST(*to->ReadBlob("file-1", 0, 100) == data);
  BOOST_TEST(*to->ReadBlob("file-3", 0, 100) == data);
}

// Guards against blob names that point outside the folder, and against running
// out of file descriptors.
BOOST_AUTO_TEST_CASE(invalid_blob_names_are_rejected_and_open_blobs_bounded)
{
  TemporaryFolder place;
  DataFolderSettings settings;
  settings.mMaxOpenBlobs = 4;
  auto folder = MustOpen(place.mPath, settings);
  for (const char* name :
       { "", ".", "..", "../meta", "a/b", ".hidden", "state", "a\nb" }) {
    BOOST_TEST(
      (KindOf(folder->WriteBlob(name, 0, "x")) == ErrorKind::eInvalidArgument));
    BOOST_TEST(!folder->ReadBlob(name, 0, 1).ok());
    BOOST_TEST(!folder->RemoveBlob(name).ok());
  }
  const auto open = [] {
    return std::distance(fs::directory_iterator("/proc/self/fd"),
                         fs::directory_iterator());
  };
  const auto before = open();
  for (int number = 0; number < 50; ++number) {
    const std::string name = "file-" + std::to_string(number);
    BOOST_REQUIRE(folder->WriteBlob(name, 0, name).ok());
  }
  BOOST_TEST(open() - before <= 4);
  BOOST_TEST(*folder->ReadBlob("file-7", 0, 100) == "file-7");
  BOOST_TEST(folder->RemoveBlob("file-7").ok());
  BOOST_TEST(folder->RemoveBlob("file-7").ok());
  BOOST_TEST(!folder->ReadBlob("file-7", 0, 100).ok());
}

// Guards against a replica that continues after a failed write. A file size
// limit simulates a full disk.
BOOST_AUTO_TEST_CASE(failed_write_is_final)
{
  TemporaryFolder place;
  auto folder = MustOpen(place.mPath);
  AppendRange(*folder, 1, 3, 1);
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit old = {};
  ::getrlimit(RLIMIT_FSIZE, &old);
  rlimit low = old;
  low.rlim_cur = 1000;
  BOOST_REQUIRE(::setrlimit(RLIMIT_FSIZE, &low) == 0);
  absl::Status status;
  uint64_t index = 4;
  while (status.ok() && index < 100) {
    status = folder->Append(WriteOf(index++, 1));
  }
  ::setrlimit(RLIMIT_FSIZE, &old);
  BOOST_TEST((KindOf(status) == ErrorKind::eDiskFailed));
  BOOST_TEST(
    (KindOf(folder->Append(WriteOf(index, 1))) == ErrorKind::eDiskFailed));
  BOOST_TEST((KindOf(folder->Sync()) == ErrorKind::eDiskFailed));
  BOOST_TEST((KindOf(folder->SaveSnapshot(MarkOf(2, 1), "s")) ==
              ErrorKind::eDiskFailed));
  folder.reset();
  BOOST_TEST(MustOpen(place.mPath)->Recovered().mEntries.size() >= 3u);
}

// Guards against a replica that takes for durable what a failed sync left in
// the page cache: the next power loss would take back a vote or an acknowledged
// entry.
BOOST_AUTO_TEST_CASE(reopening_after_a_failure_keeps_what_is_synced_only)
{
  TemporaryFolder place;
  DataFolderSettings settings;
  settings.mSegmentBytes = 1500;
  for (uint64_t synced = 1; synced <= 12; ++synced) {
    fs::remove_all(place.mPath);
    SyncedTail tail;
    {
      auto folder = MustOpen(place.mPath, settings);
      AppendRange(*folder, 1, synced, 1);
      tail = folder->Tail();
      // Not synced, as if the sync had failed.
      BOOST_REQUIRE(folder->Append(WriteOf(synced + 1, 7)).ok());
    }
    auto reopened = DataFolder::Open(place.mPath, settings, &tail);
    BOOST_REQUIRE_MESSAGE(reopened.ok(), reopened.status().ToString());
    RaftRecovered recovered = (*reopened)->Recovered();
    BOOST_TEST(recovered.mEntries.size() == synced);
    BOOST_TEST(recovered.mHard.mTerm.mValue == 1u);
    AppendRange(**reopened, synced + 1, synced + 3, 2);
    reopened->reset();
    BOOST_TEST(MustOpen(place.mPath, settings)->Recovered().mEntries.size() ==
               synced + 3);
  }
}

// Each file size at which the disk can refuse, while the folder is in use and
// while it is opened again.
BOOST_AUTO_TEST_CASE(folder_is_opened_again_after_any_refused_write)
{
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit old = {};
  ::getrlimit(RLIMIT_FSIZE, &old);
  const auto limit = [&](rlim_t aBytes) {
    rlimit low = old;
    low.rlim_cur = aBytes;
    BOOST_REQUIRE(::setrlimit(RLIMIT_FSIZE, &low) == 0);
  };
  DataFolderSettings settings;
  settings.mSegmentBytes = 1200;
  for (rlim_t bytes = 0; bytes < 2400; bytes += 60) {
    TemporaryFolder place;
    uint64_t synced = 3;
    SyncedTail tail;
    {
      auto folder = MustOpen(place.mPath, settings);
      AppendRange(*folder, 1, synced, 1);
      limit(bytes);
      for (uint64_t index = 4; index < 30; ++index) {
        if (!folder->Append(WriteOf(index, 1)).ok() || !folder->Sync().ok()) {
          break;
        }
        synced = index;
      }
      tail = folder->Tail();
    }
    for (int attempt = 0; attempt < 3; ++attempt) {
      (void)DataFolder::Open(place.mPath, settings, &tail);
    }
    limit(old.rlim_cur);
    auto folder = DataFolder::Open(place.mPath, settings, &tail);
    BOOST_REQUIRE_MESSAGE(folder.ok(), folder.status().ToString());
    BOOST_TEST((*folder)->Recovered().mEntries.size() == synced);
    AppendRange(**folder, synced + 1, synced + 2, 2);
  }
}
