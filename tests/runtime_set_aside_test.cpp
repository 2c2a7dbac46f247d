// Guards against a replica that ends at each start since its data is damaged,
// and against one that goes on with a part of that data or under its old id.
#define BOOST_TEST_MODULE runtime_set_aside
#include <boost/test/unit_test.hpp>

#include "caraway/base/error.h"
#include "caraway/runtime/control_host.h"
#include "tests/data_folder_fixture.h"
#include "tests/disk_model.h"

using namespace caraway;

namespace {

FileSet
ReadFiles(const std::string& aRoot)
{
  FileSet files;
  for (const auto& file : fs::recursive_directory_iterator(aRoot)) {
    const std::string name = fs::relative(file.path(), aRoot).string();
    if (file.is_regular_file() && name != "lock") {
      std::ifstream in(file.path(), std::ios::binary);
      files[name] = std::string(std::istreambuf_iterator<char>(in), {});
    }
  }
  return files;
}

// A folder with entries, blobs and, if wanted, a snapshot.
FileSet
SoundFolder(bool aSnapshot, uint64_t& aDisk)
{
  TemporaryFolder place{ Parent() };
  DataFolderSettings settings;
  settings.mSegmentBytes = 300;
  {
    auto folder = MustOpen(place.mPath, settings);
    aDisk = folder->Recovered().mDisk;
    BOOST_REQUIRE(folder->MarkFounder().ok());
    AppendRange(*folder, 1, 8, 1);
    BOOST_REQUIRE(folder->WriteBlob("b1", 0, "one").ok());
    BOOST_REQUIRE(folder->WriteBlob("b2", 0, "two").ok());
    if (aSnapshot) {
      BOOST_REQUIRE(folder->SaveSnapshot(MarkOf(6, 1), "state").ok());
    }
  }
  return ReadFiles(place.mPath);
}

struct Damaged
{
  const char* mName;
  FileSet mFiles;
  uint64_t mDisk = 0;
};

std::vector<Damaged>
DamagedFolders()
{
  std::vector<Damaged> all;
  Damaged one{ "a lost segment", {}, 0 };
  one.mFiles = SoundFolder(false, one.mDisk);
  one.mFiles.erase("log-00000000000000000001.seg");
  all.push_back(one);
  one.mName = "a lost identity";
  one.mFiles = SoundFolder(true, one.mDisk);
  one.mFiles.erase("meta");
  all.push_back(one);
  one.mName = "a snapshot with a wrong byte";
  one.mFiles = SoundFolder(true, one.mDisk);
  one.mFiles["snap-00000000000000000006"].back() ^= 1;
  all.push_back(one);
  one.mName = "a segment with a wrong byte";
  one.mFiles = SoundFolder(false, one.mDisk);
  one.mFiles["log-00000000000000000001.seg"][50] ^= 1;
  all.push_back(one);
  return all;
}

// Opens the folder as a start does. Returns the new identity; 0: failed.
uint64_t
StartOn(const std::string& aPath, const DataFolderSettings& aSettings)
{
  auto folder = DataFolder::Open(aPath, aSettings);
  if (KindOf(folder.status()) == ErrorKind::eCorruptData) {
    if (!DataFolder::SetAside(aPath, aSettings).ok()) {
      return 0;
    }
    folder = DataFolder::Open(aPath, aSettings);
  }
  if (!folder.ok()) {
    return 0;
  }
  const RaftRecovered found = (*folder)->Recovered();
  BOOST_TEST((*folder)->Report().mSetAside);
  BOOST_TEST(!(*folder)->IsFounder());
  BOOST_TEST(found.mEntries.empty());
  BOOST_TEST(found.mHard.mTerm.IsNone());
  BOOST_TEST(found.mSnapshot.mIndex.IsNone());
  BOOST_TEST((*folder)->RecoveredState().empty());
  return found.mDisk;
}

// Whether the folder holds these files. Attempts to open them may have appended
// to the log.
bool
Holds(const std::string& aPath, const FileSet& aFiles)
{
  const FileSet kept = ReadFiles(aPath);
  return kept.size() == aFiles.size() &&
         std::equal(kept.begin(),
                    kept.end(),
                    aFiles.begin(),
                    [](const auto& aKept, const auto& aFile) {
                      return aKept.first == aFile.first &&
                             (aKept.first.starts_with("log-")
                                ? aKept.second.starts_with(aFile.second)
                                : aKept.second == aFile.second);
                    });
}

} // namespace

BOOST_AUTO_TEST_CASE(damaged_data_is_set_aside_whenever_power_is_lost)
{
  for (const Damaged& damaged : DamagedFolders()) {
    BOOST_TEST_CONTEXT(damaged.mName)
    {
      TemporaryFolder place{ Parent() };
      WriteFiles(place.mPath, damaged.mFiles);
      std::vector<RecordedChange> changes;
      DataFolderSettings settings;
      settings.mWatch = RecordChanges(place.mPath, [&](auto aChange) {
        changes.push_back(std::move(aChange));
      });
      const uint64_t disk = StartOn(place.mPath, settings);
      BOOST_TEST(disk != 0);
      BOOST_TEST(disk != damaged.mDisk);
      BOOST_TEST(Holds(place.mPath + "/damaged", damaged.mFiles));
      Random random(1);
      DiskModel model(damaged.mFiles);
      size_t states = 0;
      for (size_t at = 0; at <= changes.size(); ++at) {
        for (const FileSet& files : StatesAfterLoss(model, 40, random)) {
          ++states;
          TemporaryFolder after{ Parent() };
          WriteFiles(after.mPath, files);
          const uint64_t found = StartOn(after.mPath, {});
          BOOST_TEST(found != 0);
          BOOST_TEST(found != damaged.mDisk);
          BOOST_TEST(Holds(after.mPath + "/damaged", damaged.mFiles));
        }
        if (at < changes.size()) {
          model.Apply(changes[at]);
        }
      }
      BOOST_TEST_MESSAGE(damaged.mName << ": " << states << " states");
    }
  }
}

BOOST_AUTO_TEST_CASE(damaged_data_is_set_aside_whatever_the_disk_refuses)
{
  for (const Damaged& damaged : DamagedFolders()) {
    bool refused = true;
    for (size_t which = 0; refused; ++which) {
      refused = false;
      size_t count = 0;
      TemporaryFolder place{ Parent() };
      WriteFiles(place.mPath, damaged.mFiles);
      DataFolderSettings settings;
      settings.mWatch = [&](const FileChange&) -> std::optional<absl::Status> {
        if (count++ != which) {
          return std::nullopt;
        }
        refused = true;
        return MakeError(
          ErrorKind::eDiskFailed, "the disk refuses", "wait until it answers");
      };
      uint64_t disk = StartOn(place.mPath, settings);
      if (disk == 0) {
        disk = StartOn(place.mPath, settings);
      }
      BOOST_TEST(disk != 0);
      BOOST_TEST(disk != damaged.mDisk);
      BOOST_TEST(Holds(place.mPath + "/damaged", damaged.mFiles));
    }
  }
}

BOOST_AUTO_TEST_CASE(newer_damaged_data_replaces_the_older)
{
  TemporaryFolder place{ Parent() };
  const std::vector<Damaged> all = DamagedFolders();
  WriteFiles(place.mPath, all[0].mFiles);
  BOOST_TEST(StartOn(place.mPath, {}) != 0);
  {
    AppendRange(*MustOpen(place.mPath), 1, 2, 1);
  }
  fs::remove(place.mPath + "/meta");
  FileSet newer;
  for (const auto& [name, bytes] : ReadFiles(place.mPath)) {
    if (!name.starts_with("damaged")) {
      newer[name] = bytes;
    }
  }
  BOOST_TEST(StartOn(place.mPath, {}) != 0);
  BOOST_TEST(Holds(place.mPath + "/damaged", newer));
  BOOST_TEST(DataFolder::RemoveSetAside(place.mPath).ok());
  BOOST_TEST(Holds(place.mPath + "/damaged", {}));
  BOOST_TEST(MustOpen(place.mPath)->Report().mSetAside);
}

// The replica of a group that manages itself starts; one with a given id, whose
// votes are lost, does not.
BOOST_AUTO_TEST_CASE(replica_starts_on_damaged_data_unless_its_id_is_given)
{
  const Damaged damaged = DamagedFolders().front();
  for (const bool given : { false, true }) {
    TemporaryFolder place{ Parent() };
    WriteFiles(place.mPath, damaged.mFiles);
    ControlSettings settings;
    settings.mReplica = ReplicaId(given ? 1 : 0);
    PeerSettings peer;
    peer.mListen = "127.0.0.1:0";
    HttpServerSettings http;
    http.mListen = "127.0.0.1:0";
    Loop loop;
    ControlHost host(loop, settings, place.mPath, peer, http);
    const absl::Status status = host.Start();
    BOOST_TEST(status.ok() == !given);
    BOOST_TEST(fs::exists(place.mPath + "/damaged") == !given);
    BOOST_TEST((given ? Holds(place.mPath, damaged.mFiles)
                      : Holds(place.mPath + "/damaged", damaged.mFiles)));
  }
}
