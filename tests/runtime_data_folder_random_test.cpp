// Compares the data folder with a model under random writes, syncs, snapshots
// and power losses.
#define BOOST_TEST_MODULE runtime_data_folder_random
#include <boost/test/unit_test.hpp>

#include "caraway/base/random.h"
#include "tests/data_folder_fixture.h"

using namespace caraway;

namespace {

// Expected contents of the folder: the entries after the snapshot.
struct Model
{
  LogIndex mSnapshot;
  std::vector<LogEntry> mEntries;
  HardState mHard;

  uint64_t Last() const { return mSnapshot.mValue + mEntries.size(); }

  bool IsEqual(const RaftRecovered& aFound) const
  {
    return aFound.mSnapshot.mIndex == mSnapshot &&
           aFound.mHard.mTerm == mHard.mTerm &&
           std::equal(mEntries.begin(),
                      mEntries.end(),
                      aFound.mEntries.begin(),
                      aFound.mEntries.end(),
                      [](const LogEntry& aOne, const LogEntry& aOther) {
                        return aOne.mIndex == aOther.mIndex &&
                               aOne.mTerm == aOther.mTerm;
                      });
  }
};

// A write of one or two entries that may replace up to three of the last ones.
RaftWrite
RandomWrite(Random& aRandom, Model& aModel)
{
  const uint64_t replaced =
    DrawBelow(aRandom, 4) == 0
      ? DrawBelow(aRandom, std::min<uint64_t>(aModel.mEntries.size(), 3) + 1)
      : 0;
  RaftWrite write;
  if (replaced > 0) {
    aModel.mEntries.resize(aModel.mEntries.size() - replaced);
    write.mTruncateFrom = LogIndex(aModel.Last() + 1);
    aModel.mHard.mTerm = Term(aModel.mHard.mTerm.mValue + 1);
  }
  write.mHard = aModel.mHard;
  for (uint64_t count = DrawBelow(aRandom, 2) + 1; count > 0; --count) {
    RaftWrite one = WriteOf(aModel.Last() + 1,
                            std::max<uint64_t>(aModel.mHard.mTerm.mValue, 1));
    write.mAppend.push_back(one.mAppend[0]);
    aModel.mEntries.push_back(one.mAppend[0]);
  }
  return write;
}

} // namespace

// Guards against sequences of writes, syncs, snapshots and power losses that
// lose synced data or leave a folder that cannot be opened.
BOOST_AUTO_TEST_CASE(random_writes_and_power_losses_keep_synced_data)
{
  TemporaryFolder place;
  DataFolderSettings settings;
  settings.mSegmentBytes = 900;
  Random random(11);
  auto folder = MustOpen(place.mPath, settings);
  std::vector<Model> possible{ Model{} }; // oldest first
  uint64_t synced = 0;                    // bytes synced in the newest segment
  const auto newest = [&] {
    return FilesWithPrefix(place.mPath, "log-").back();
  };
  for (int step = 0; step < 1500; ++step) {
    const uint64_t choice = DrawBelow(random, 12);
    if (choice < 6) {
      Model next = possible.back();
      const fs::path before = newest();
      BOOST_REQUIRE(folder->Append(RandomWrite(random, next)).ok());
      possible.push_back(next);
      synced = newest() == before ? synced : 0;
    } else if (choice < 9) {
      BOOST_REQUIRE(folder->Sync().ok());
      possible.erase(possible.begin(), possible.end() - 1);
      synced = fs::file_size(newest());
    } else if (choice == 9 && !possible.back().mEntries.empty()) {
      Model next = possible.back();
      const size_t count = DrawBelow(random, next.mEntries.size()) + 1;
      const LogEntry last = next.mEntries[count - 1];
      BOOST_REQUIRE(
        folder->SaveSnapshot({ last.mIndex, last.mTerm, {} }, "state").ok());
      next.mSnapshot = last.mIndex;
      next.mEntries.erase(next.mEntries.begin(),
                          next.mEntries.begin() +
                            static_cast<std::ptrdiff_t>(count));
      possible.assign(1, next);
      synced = fs::file_size(newest());
    } else if (choice > 9) {
      folder.reset();
      const uint64_t size = fs::file_size(newest());
      fs::resize_file(newest(), size - DrawBelow(random, size - synced + 1));
      folder = MustOpen(place.mPath, settings);
      const RaftRecovered found = folder->Recovered();
      const auto match = std::find_if(
        possible.begin(), possible.end(), [&](const Model& aModel) {
          return aModel.IsEqual(found);
        });
      BOOST_REQUIRE_MESSAGE(match != possible.end(), "step " << step);
      possible.assign(1, Model(*match));
      synced = fs::file_size(newest());
    }
  }
}
